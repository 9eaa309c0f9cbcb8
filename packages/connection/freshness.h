#pragma once

#include "connection/cluster_view.h"

#include <optional>

namespace ebonyway {

/** Returns whether a newer heartbeat of the member arrived within the limit. */
bool isFresh(const member &other, time_point now, duration limit);

/**
 * Detects that this process was paused, from the time between two events exceeding the limit. After
 * a pause, heartbeats that were queued during it must not make stale state look fresh.
 */
class clock_jump_detector
{
public:
    explicit clock_jump_detector(duration limit);

    /** Records the time of an event and returns whether the clock jumped since the last one. */
    bool hasJumped(time_point now);

private:
    duration m_limit;
    std::optional<time_point> m_last;
};

} // namespace ebonyway
