#pragma once

#include "connection/cluster_view.h"

#include <optional>

namespace ebonyway {

/** Returns whether a newer heartbeat of the member was learned within the limit. */
bool isFresh(const member &other, time_point now, duration limit);

/**
 * Detects that this instance itself stood still: a step between two events that is longer than the
 * freshness limit. Heartbeats that queued up meanwhile would otherwise make old knowledge look new.
 */
class clock_watch
{
public:
    explicit clock_watch(duration limit);

    /** Notes the time of an event and returns whether the clock jumped since the last one. */
    bool hasJumped(time_point now);

private:
    duration m_limit;
    std::optional<time_point> m_last;
};

} // namespace ebonyway
