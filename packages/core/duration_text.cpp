#include "core/duration_text.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace ebonyway {

namespace {

struct duration_unit
{
    char suffix;
    std::int64_t seconds;
};

/** Largest unit first. */
constexpr std::array<duration_unit, 4> Units{{{'d', 86400}, {'h', 3600}, {'m', 60}, {'s', 1}}};

/** Keeps the product of count and unit far from overflow. */
constexpr std::int64_t MaxCount = 1'000'000'000;

} // namespace

std::optional<std::chrono::seconds> parseNoteDuration(const std::string &text)
{
    if (text.size() < 2) {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const char *end = text.data() + text.size() - 1;
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc{} || parsed.ptr != end || count < 0 || count > MaxCount) {
        return std::nullopt;
    }
    for (const duration_unit &unit : Units) {
        if (unit.suffix == text.back()) {
            return std::chrono::seconds{count * unit.seconds};
        }
    }
    return std::nullopt;
}

std::string durationText(std::chrono::seconds length)
{
    const std::int64_t seconds = length.count();
    for (const duration_unit &unit : Units) {
        if (seconds != 0 && seconds % unit.seconds == 0) {
            return std::to_string(seconds / unit.seconds) + unit.suffix;
        }
    }
    return "0s";
}

} // namespace ebonyway
