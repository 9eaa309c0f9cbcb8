#include "forwarding/connection/cold_start_budget.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Lower bound of this instance's share of a server's rate, in requests per second. At a lower rate,
// one request would take longer than any caller waits.
constexpr double MinRate = 0.05;

// How long a server stays recorded after the time at which it could receive another flow.
constexpr duration IdleLifetime = 30s;

} // namespace

void cold_start_budget::setInstances(std::size_t count)
{
    m_instances = std::max<std::size_t>(1, count);
}

duration cold_start_budget::intervalFor(double requestsPerSecond) const
{
    const double share = requestsPerSecond / static_cast<double>(m_instances);
    return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1.0 / std::max(share, MinRate)));
}

bool cold_start_budget::allows(server_key server, double requestsPerSecond, time_point now) const
{
    if (requestsPerSecond <= 0) {
        return false;
    }
    const auto next = m_nextAllowed.find(server);
    return next == m_nextAllowed.end() || now >= next->second;
}

void cold_start_budget::spend(server_key server, double requestsPerSecond, time_point now)
{
    m_nextAllowed[server] = now + intervalFor(requestsPerSecond);
}

void cold_start_budget::removeIdle(time_point now)
{
    std::erase_if(m_nextAllowed,
                  [now](const auto &item) { return now - item.second > IdleLifetime; });
}

} // namespace ebonyway
