#include "platform/json_slices.h"

#include <cstddef>

namespace ebonyway::platform {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Spaces = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Spaces);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Spaces) - first + 1);
}

/** Returns the index behind the string that starts with the quote at `start`. */
std::optional<std::size_t> endOfString(std::string_view text, std::size_t start)
{
    for (std::size_t i = start + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return std::nullopt;
}

/** Splits the contents of an array or object at its commas. */
std::optional<std::vector<std::string_view>> sliceParts(std::string_view text, char open,
                                                        char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t partStart = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (character == '"') {
            const auto end = endOfString(text, i);
            if (!end) {
                return std::nullopt;
            }
            i = *end - 1;
        } else if (character == '{' || character == '[') {
            ++depth;
        } else if (character == '}' || character == ']') {
            if (depth == 0) {
                return std::nullopt;
            }
            --depth;
        } else if (character == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(partStart, i - partStart)));
            partStart = i + 1;
        }
    }
    if (depth != 0) {
        return std::nullopt;
    }
    const std::string_view last = trimmed(text.substr(partStart));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

} // namespace

std::optional<std::vector<std::string_view>> sliceJsonArray(std::string_view text)
{
    return sliceParts(text, '[', ']');
}

std::optional<std::string_view> sliceJsonMember(std::string_view text, std::string_view name)
{
    std::optional<std::string_view> value;
    const auto members = sliceParts(text, '{', '}');
    if (!members) {
        return value;
    }
    for (const std::string_view member : *members) {
        const auto nameEnd = member.starts_with('"') ? endOfString(member, 0) : std::nullopt;
        if (!nameEnd || member.substr(1, *nameEnd - 2) != name) {
            continue;
        }
        const std::string_view rest = trimmed(member.substr(*nameEnd));
        if (rest.starts_with(':')) {
            value = trimmed(rest.substr(1));
        }
    }
    return value;
}

} // namespace ebonyway::platform
