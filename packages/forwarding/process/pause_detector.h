#pragma once

#include "core/time.h"

#include <optional>

namespace ebonyway {

/**
 * Notices that the machine or the process stood still: the clock that counts suspended time ran
 * ahead of the monotonic clock, or a periodic call came much too late.
 */
class pause_detector
{
public:
    /** Call it about every 50 ms. Returns the length of a pause that has just ended. */
    std::optional<duration> check(time_point now, duration sinceBoot);

private:
    std::optional<time_point> m_lastCheck;
    duration m_lastSinceBoot{};
};

} // namespace ebonyway
