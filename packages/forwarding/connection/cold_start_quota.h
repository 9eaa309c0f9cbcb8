#pragma once

#include "core/seeded_random.h"
#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
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

private:
    struct server_quota
    {
        std::uint64_t instancesVersion = 0; ///< Of the instances that `senders` was taken from.
        std::size_t senders = 0; ///< Instances that share the rate; zero if this one may not send.
        time_point nextAllowed;
        time_point lastAsked;
    };

    /** Returns how many instances share the rate of the server, or zero if this one does not. */
    std::size_t sendersOf(server_key server, const std::string &failureDomain) const;

    std::string m_instance;
    seeded_random m_random;
    std::map<std::string, std::vector<std::string>> m_instances;
    std::uint64_t m_instancesVersion = 0;
    time_point m_knownSince; ///< When instances were first set.
    std::unordered_map<server_key, server_quota> m_servers;
};

} // namespace ebonyway
