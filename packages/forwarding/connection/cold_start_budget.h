#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <unordered_map>

namespace ebonyway {

/**
 * Rate limiter for new flows to cold backend servers. Each instance may use an equal share of the
 * rate that a cold server can handle from all instances together.
 */
class cold_start_budget
{
public:
    /** Sets the number of instances that share the rate. Zero counts as one. */
    void setInstances(std::size_t count);

    /** Returns whether another flow may be sent to the server now. */
    bool allows(server_key server, double requestsPerSecond, time_point now) const;
    /** Records that a flow was sent to the server. */
    void spend(server_key server, double requestsPerSecond, time_point now);

    /** Removes servers that could have received another flow for more than 30 s. */
    void removeIdle(time_point now);

private:
    duration intervalFor(double requestsPerSecond) const;

    std::size_t m_instances = 1;
    std::unordered_map<server_key, time_point> m_nextAllowed;
};

} // namespace ebonyway
