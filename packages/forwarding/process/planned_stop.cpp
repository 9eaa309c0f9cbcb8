#include "forwarding/process/planned_stop.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Time after which the routers have removed an instance that reports that it is not ready. Routers
// check readiness twice a second and remove an instance after two failed checks.
constexpr duration RouterRemovalTime = 1200ms;

// Time without packets from callers after which the process may exit, once RouterRemovalTime has
// passed. Callers retransmit lost packets after 200 ms, so silence for this long means that the
// routers send no more packets.
constexpr duration IdleTimeBeforeExit = 500ms;

// Time reserved for the exit itself before the process is killed.
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
