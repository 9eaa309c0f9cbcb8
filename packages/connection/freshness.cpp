#include "connection/freshness.h"

namespace ebonyway {

bool isFresh(const member &other, time_point now, duration limit)
{
    return now - other.lastHeard <= limit;
}

clock_watch::clock_watch(duration limit)
    : m_limit(limit)
{ }

bool clock_watch::wouldJump(time_point now) const
{
    return m_last && now - *m_last > m_limit;
}

bool clock_watch::hasJumped(time_point now)
{
    const bool jumped = wouldJump(now);
    m_last = now;
    return jumped;
}

} // namespace ebonyway
