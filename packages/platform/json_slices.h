#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace ebonyway::platform {

/**
 * Returns the texts of the elements of a JSON array, or nothing if the text is not one array. Does
 * not read the elements, so one that no parser accepts does not hide the others, and needs no stack
 * for nested values.
 */
std::optional<std::vector<std::string_view>> sliceJsonArray(std::string_view text);

/**
 * Returns the text of a member's value in a JSON object, of the last one if there are several;
 * nothing if the text is not one object or has no such member. `name` is compared with the member
 * as written, so it must need no escapes.
 */
std::optional<std::string_view> sliceJsonMember(std::string_view text, std::string_view name);

} // namespace ebonyway::platform
