#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace ebonyway {

/** Parses a whole number with the unit s, m, h or d, for example "900s"; nothing if malformed. */
std::optional<std::chrono::seconds> parseNoteDuration(const std::string &text);

/** Writes a duration with the largest unit that needs no fraction, for example "15m". */
std::string durationText(std::chrono::seconds length);

} // namespace ebonyway
