#pragma once

#include "forwarding/connection/service_demand.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace ebonyway {

/**
 * Measures the demand that this instance sees for each service and route, smoothed over half a
 * second. Runs on the traffic thread and receives the time as a parameter.
 */
class demand_meter
{
public:
    /**
     * A caller that admission let through has opened a flow. `weight` is one over the share of
     * callers that were let through; the callers that were refused are thereby counted once,
     * however often they try again.
     */
    void onNewFlow(std::uint32_t service, std::uint32_t route, double weight);
    /** Admission has refused a new flow. */
    void onRefused(std::uint32_t service, std::uint32_t route);
    /** A request has begun. `first`: the first one of its flow. */
    void onRequest(std::uint32_t service, std::uint32_t route, bool first);
    /** A request was answered after `time`. */
    void onAnswer(std::uint32_t service, std::uint32_t route, duration time);
    /** A request has ended without an answer. */
    void onAbandoned(std::uint32_t service, std::uint32_t route);

    /**
     * Updates the smoothed figures; call it every 200 ms. `isLightlyLoaded` tells whether the
     * servers of a service hardly queue requests now, so that answer times show the work time.
     */
    void tick(const std::function<bool(std::uint32_t service)> &isLightlyLoaded, time_point now);

    /** Returns the demands, the largest first. Demands that have ceased are left out. */
    std::vector<service_demand> demands() const;

private:
    struct meter
    {
        // Since the last tick.
        double newFlows = 0;
        std::uint32_t laterRequests = 0;
        std::uint32_t refused = 0;

        /** Mean answer time while the service is not lightly loaded; zero before the first one. */
        duration loadedAnswerTime{};
        std::uint32_t pending = 0; ///< Requests that wait for their answers now.
        service_demand smoothed;
    };

    meter *find(std::uint32_t service, std::uint32_t route);

    std::map<std::pair<std::uint32_t, std::uint32_t>, meter> m_meters; ///< By service and route.
    time_point m_lastTick;
    /** Services whose answer times show the work time, as of the last tick. */
    std::set<std::uint32_t> m_lightlyLoaded;
};

} // namespace ebonyway
