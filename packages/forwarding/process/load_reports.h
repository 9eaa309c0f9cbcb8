#pragma once

#include "forwarding/connection/shared_load.h"
#include "forwarding/process/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/**
 * Keeps the last load report of each instance and estimates the load of the whole deployment from
 * those that are recent. The cost follows the number of reports received in that time, which does
 * not grow with the deployment.
 */
class load_reports
{
public:
    /** `self` is the name of this instance, whose own report is added like those of the others. */
    explicit load_reports(std::string self);

    /**
     * Adds a report, which replaces the instance's earlier one. Repeated reports and those older
     * than the last one of the instance are ignored, and so are implausible entries.
     */
    void add(const peer_entry &sender, const std::vector<peer_server_load> &loads,
             const std::vector<service_demand> &demands, time_point now);
    /**
     * Adds a report of an instance that does not measure demand; it counts among those whose demand
     * is unknown.
     */
    void addLoads(const peer_entry &sender, const std::vector<peer_server_load> &loads,
                  time_point now);
    /** Drops the report of an instance that leaves. Its earlier reports are ignored from now on. */
    void remove(const peer_entry &sender, time_point now);

    /**
     * Estimates the load of all instances. `instances` is the number of known instances in each
     * failure domain, including this one; sums of a domain are scaled to it, so that reports that
     * are lost or late do not lower the estimate.
     */
    shared_load estimate(const std::map<std::string, std::size_t> &instances, time_point now);

    /** Returns the number of implausible entries since the start. */
    std::uint64_t ignoredEntries() const { return m_ignoredEntries; }

private:
    struct report
    {
        std::string failureDomain;
        std::uint64_t boot = 0;
        std::uint64_t heartbeat = 0;
        bool isLeaving = false;
        bool hasDemands = false; ///< False if the instance does not measure demand.
        time_point receivedAt;
        std::vector<peer_server_load> loads;
        std::vector<service_demand> demands;
    };

    /** Returns whether an instance's last report is as late as the heartbeat or later. */
    bool isOutdated(const peer_entry &sender) const;
    static bool countsForDemand(const report &one, time_point now);
    void sumDemands(const std::map<std::string, std::size_t> &instances, time_point now,
                    shared_load &shared) const;
    void sumServers(const std::map<std::string, std::size_t> &instances, shared_load &shared) const;

    std::string m_self;
    std::map<std::string, report> m_reports; ///< By the name of the instance.
    std::uint64_t m_ignoredEntries = 0;
};

} // namespace ebonyway
