#include "connection/freshness.h"

namespace ebonyway {

bool isFresh(const member &other, time_point now, duration limit)
{
    return now - other.lastHeard <= limit;
}

clock_jump_detector::clock_jump_detector(duration limit)
    : m_limit(limit)
{ }

bool clock_jump_detector::hasJumped(time_point now)
{
    const bool jumped = m_last && now - *m_last > m_limit;
    m_last = now;
    return jumped;
}

} // namespace ebonyway
