#include "connection/freshness.h"

namespace ebonyway {

bool isFresh(const member &other, time_point now, duration limit)
{
    return now - other.lastHeard <= limit;
}

clock_watch::clock_watch(duration limit)
    : m_limit(limit)
{ }

bool clock_watch::hasJumped(time_point now)
{
    const bool jumped = m_last && now - *m_last > m_limit;
    m_last = now;
    return jumped;
}

} // namespace ebonyway
