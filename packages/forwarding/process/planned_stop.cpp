#include "forwarding/process/planned_stop.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Routers check readiness twice a second and remove an instance after two failed checks.
constexpr duration RouterRemovalTime = 1200ms;

// After RouterRemovalTime, this long without packets means that the routers send no more. Callers
// retransmit lost packets after 200 ms.
constexpr duration IdleTimeBeforeExit = 500ms;

// Reserved for the exit itself before the process is killed.
constexpr duration ExitReserve = 1s;

} // namespace

planned_stop::planned_stop(duration grace)
    : m_grace(grace)
{ }

void planned_stop::request(time_point now)
{
    if (!m_requestedAt) {
        m_requestedAt = now;
    }
}

bool planned_stop::mayExit(time_point now, time_point lastPacket) const
{
    if (!m_requestedAt) {
        return false;
    }
    const duration longest = std::max<duration>(m_grace - ExitReserve, m_grace / 2);
    if (now - *m_requestedAt >= longest) {
        return true;
    }
    return now - *m_requestedAt >= RouterRemovalTime && now - lastPacket >= IdleTimeBeforeExit;
}

} // namespace ebonyway
