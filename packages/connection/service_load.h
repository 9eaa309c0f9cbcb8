#pragma once

#include <cstddef>
#include <vector>

namespace ebonyway {

/** Load and health of one backend server, as input to the summary of its service. */
struct server_load
{
    double openFlows = 0; ///< Estimated over all instances.
    double weight = 0; ///< Relative share of new flows; over 0.
    double busySlots = 0; ///< As reported.
    double usableSlots = 0; ///< Slots, reduced for a cold backend server; 0 for a dead one.
    bool includedInMean = false; ///< Warm, alive and with a report that is not too old.
    double failedRatio = 0; ///< Recent flows that were not answered, in [0, 1].
    bool enoughFailures = false; ///< There are more failures than packet loss explains.
    bool dead = false;
};

/** Load of all backend servers of one service that accept new flows, at one moment. */
struct service_load
{
    double flowsPerWeight = 0; ///< Mean over the servers with includedInMean; 0 if there are none.
    double busyShare = 0; ///< Reported busy slots relative to the usable slots.
    double toleratedRatio = 0.05; ///< Ratio of failed flows that does not indicate a cold server.
    std::size_t servers = 0;
    std::size_t failingServers = 0;
    std::size_t deadServers = 0;

    /** More than half seem dead: there is a common cause, probably near this instance. */
    bool mostSeemDead() const { return deadServers * 2 > servers; }
    /** More than half are failing: overload or a network fault, not a cold backend server. */
    bool mostAreFailing() const { return failingServers * 2 > servers; }

    bool isFailing(const server_load &server) const
    {
        return server.enoughFailures && server.failedRatio > toleratedRatio;
    }
};

/**
 * Summarises the loads of a service. In the mean, each load is clamped to between 0.5 and 1.5 times
 * the median, so that an endpoint with wrong reports hardly changes the load bound of the other
 * servers.
 */
service_load summarise(const std::vector<server_load> &loads);

} // namespace ebonyway
