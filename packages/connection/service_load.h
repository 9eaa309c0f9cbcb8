#pragma once

#include <cstddef>
#include <vector>

namespace ebonyway {

/** What bounded load and the trust in alarms need to know about one backend server. */
struct server_load
{
    double openFlows = 0; ///< Estimated over all instances.
    double weight = 0; ///< Relative share of new flows; over 0.
    double busySlots = 0; ///< As reported.
    double usableSlots = 0; ///< Slots, less what a cold or dead backend server lacks.
    bool comparable = false; ///< Warm, alive and with a usable report.
    double failedRatio = 0; ///< Recent flows that were not answered, in [0, 1].
    bool enoughFailures = false; ///< The ratio is more than packet loss.
    bool dead = false;
};

/** Load of all backend servers of one service that accept new flows, at one moment. */
struct service_load
{
    double flowsPerWeight = 0; ///< Mean over the comparable backend servers; 0 if there are none.
    double busyShare = 0; ///< Reported busy slots relative to the usable slots.
    double toleratedRatio = 0.05; ///< Failed flows that do not show a cold backend server.
    std::size_t servers = 0;
    std::size_t failing = 0;
    std::size_t dead = 0;

    /** More than half look dead: the alarms have a common cause, likely on this side. */
    bool distrustsDead() const { return dead * 2 > servers; }
    /** More than half are failing: overload or a fault on the way, not a cold backend server. */
    bool distrustsFailing() const { return failing * 2 > servers; }

    bool isFailing(const server_load &server) const
    {
        return server.enoughFailures && server.failedRatio > toleratedRatio;
    }
};

/**
 * Sums up the loads. A backend server counts in the mean with at least half and at most one and a
 * half times the median, so that a misleading endpoint hardly moves the bound of the others.
 */
service_load summarise(const std::vector<server_load> &loads);

} // namespace ebonyway
