#pragma once

#include "core/time.h"

#include <optional>

namespace ebonyway {

/**
 * Detects that the machine was suspended or the process was stopped: too much time has passed
 * between two periodic checks by the monotonic clock or by the boot-time clock, which includes
 * suspended time.
 */
class pause_detector
{
public:
    /**
     * Must be called about every 50 ms. `sinceBoot` is the time since boot including suspended
     * time. Returns the length of a pause that has just ended.
     */
    std::optional<duration> check(time_point now, duration sinceBoot);

private:
    std::optional<time_point> m_lastCheck;
    duration m_lastSinceBoot{};
};

} // namespace ebonyway
