#pragma once

#include "core/ip_address.h"
#include "forwarding/connection/admission_shares.h"
#include "forwarding/connection/service_demand.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Returns the number of the minute, in which the same callers are refused by all instances. */
std::uint64_t refusalRound(std::chrono::system_clock::time_point wallClock);

/** Demand of the callers of one failure domain on one route of a service. */
struct admission_demand
{
    std::string failureDomain;
    std::uint32_t priority = 0; ///< Zero is the most urgent.
    service_demand demand;
};

/** Demand for a service and the slots of its servers, over all failure domains in reach. */
struct admission_input
{
    std::uint32_t service = 0; ///< demandTag() of the service's name.
    double slots = 0;
    std::vector<admission_demand> demands;
};

/** State of load shedding of a service, as it begins, once a second, and as it ends. */
struct admission_change
{
    enum class phase : std::uint8_t { Started, Continues, Ended };

    std::uint32_t service = 0;
    phase state = phase::Started;
    double demand = 0; ///< In slots.
    double openFlowDemand = 0; ///< Part of it that open flows ask for.
    double slots = 0;
    double pressure = 0; ///< Requests under way per slot.
    double capacityFactor = 1; ///< Correction of the capacity that the slots suggest.
    double leastShare = 1; ///< Lowest share of this domain's callers that are let through.
};

/**
 * Decides which new flows are refused when a service cannot serve all that is asked for: the least
 * urgent first, as many as necessary, and the same share at every instance that has the same
 * reports. Answers the load of a service whose callers ask for more than its slots bear.
 */
class flow_admission
{
public:
    /** `failureDomain` is the one of this instance; its callers are the ones that are refused. */
    explicit flow_admission(std::string failureDomain);

    /** Recomputes the shares of all services; call it every 200 ms. */
    void update(const std::vector<admission_input> &services, time_point now);

    /** Returns the share of callers on the route that are let through now, in (0, 1]. */
    double share(std::uint32_t service, std::uint32_t route) const;
    /**
     * Returns whether a caller is let through. If requests wait for longer than `timeout` (zero for
     * none), only the share of callers is that can be answered in time. Callers that are refused
     * stay refused when they try again in the same round, at any instance with the same share.
     */
    bool admits(std::uint32_t service, std::uint32_t route, const ip_address &caller,
                std::uint64_t round, duration timeout = {}) const;

    /** Returns the requests under way per slot of the service; zero if unknown. */
    double pressure(std::uint32_t service) const;
    /**
     * Returns how long a new request of the service waits for a slot on average. Zero while load
     * shedding keeps the queues short: the figure is a second old, and refusing all callers by it
     * would also refuse those that have been let through.
     */
    duration expectedDelay(std::uint32_t service) const;
    /** Returns whether servers of the service hardly queue requests; false if that is unknown. */
    bool isLightlyLoaded(std::uint32_t service) const;

    /** Returns and clears the changes since the last call. */
    std::vector<admission_change> takeChanges();

private:
    struct service_state
    {
        bool hasSlots = false;
        double pressure = 0;
        duration workTime{};
        bool shedding = false;
        /** Corrects the capacity that the slots and the work time suggest. */
        double capacityFactor = 1;
        time_point reportedAt; ///< When the last change was reported.
        std::map<std::uint32_t, double> shares; ///< Of this domain's callers, by route.
    };

    void updateService(const admission_input &input, duration elapsed, time_point now);
    void reportChange(const admission_input &input, service_state &state,
                      const std::vector<admission_group> &groups, bool sheds, time_point now);
    void updateCapacity(service_state &state, duration elapsed) const;
    const service_state *find(std::uint32_t service) const;

    std::string m_failureDomain;
    time_point m_lastUpdate;
    std::unordered_map<std::uint32_t, service_state> m_services;
    std::vector<admission_change> m_changes;
};

} // namespace ebonyway
