#include "forwarding/process/planned_stop.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Routers ask twice a second and take an instance out after two misses.
constexpr duration RotationTime = 1200ms;

// Without packets for this long after that, the routers send no more. Callers repeat lost packets
// after 200 ms.
constexpr duration QuietTime = 500ms;

// Left for the exit itself before the process would be killed.
constexpr duration ExitTime = 1s;

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
    const duration longest = std::max<duration>(m_grace - ExitTime, m_grace / 2);
    if (now - *m_requestedAt >= longest) {
        return true;
    }
    return now - *m_requestedAt >= RotationTime && now - lastPacket >= QuietTime;
}

} // namespace ebonyway
