#pragma once

#include "core/seeded_random.h"
#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/**
 * Rate limiter for new flows to cold backend servers. A few instances of a server's failure domain
 * may send to it, each at its part of the rate that the server bears from all instances together,
 * so that the sum stays within the limit whatever the number of instances and their demand.
 */
class cold_start_quota
{
public:
    /** `instance` is the name of this instance. */
    cold_start_quota(std::string instance, std::uint64_t seed);

    /** Sets the names of all known instances by failure domain, including this one. */
    void setInstances(std::map<std::string, std::vector<std::string>> instances, time_point now);

    /** Returns whether another flow may be sent to the server now. */
    bool allows(server_key server, const std::string &failureDomain, double requestsPerSecond,
                time_point now);
    /** Records that a flow was sent to the server. */
    void spend(server_key server, double requestsPerSecond, time_point now);

    /** Removes servers that were not asked about for a while. */
    void removeIdle(time_point now);
};

} // namespace ebonyway
