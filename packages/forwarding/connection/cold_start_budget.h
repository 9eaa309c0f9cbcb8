#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <unordered_map>

namespace ebonyway {

/**
 * Limits the new flows that this instance sends to each cold backend server to its share of the
 * rate that the server bears from all instances together.
 */
class cold_start_budget
{
public:
    /** Sets among how many instances the rate is shared; at least one. */
    void setInstances(std::size_t count);

    /** Returns whether one more flow may go to the server now. */
    bool allows(server_key server, double requestsPerSecond, time_point now) const;
    /** Counts a flow that went to the server. */
    void spend(server_key server, double requestsPerSecond, time_point now);

    /** Forgets servers that got no flow for a while. */
    void removeIdle(time_point now);

private:
    duration intervalFor(double requestsPerSecond) const;

    std::size_t m_instances = 1;
    std::unordered_map<server_key, time_point> m_nextAllowed;
};

} // namespace ebonyway
