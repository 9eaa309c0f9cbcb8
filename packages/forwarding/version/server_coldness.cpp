#include "forwarding/version/server_coldness.h"

#include <algorithm>

namespace ebonyway {

void server_coldness::onReport(store_position position, duration remaining, time_point now)
{
    m_reportedUntil = now + remaining;
    if (remaining <= duration::zero()) {
        return;
    }
    m_lastColdReport = std::max(m_lastColdReport, position);
    if (position > m_evacuationEnd) {
        m_expectedUntil = {};
    }
}

void server_coldness::onEvacuationEnd(store_position position, time_point expectedUntil)
{
    if (position <= m_evacuationEnd) {
        return;
    }
    m_evacuationEnd = position;
    if (m_lastColdReport <= position) {
        m_expectedUntil = std::max(m_expectedUntil, expectedUntil);
    }
}

void server_coldness::onPeerEstimate(duration remaining, time_point now)
{
    m_expectedUntil = std::max(m_expectedUntil, now + remaining);
}

time_point server_coldness::until() const
{
    return std::max(m_reportedUntil, m_expectedUntil);
}

} // namespace ebonyway
