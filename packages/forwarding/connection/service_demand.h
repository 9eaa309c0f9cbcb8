#pragma once

#include "core/ip_address.h"
#include "core/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>

namespace ebonyway {

/** Returns the tag that stands for a service's name in messages: the low 32 bits of its hash. */
std::uint32_t demandTag(std::string_view name);
/** Returns the tag that stands for a route's public address in messages. */
std::uint32_t demandTag(const endpoint &address);

/**
 * Encodes a non-negative figure in steps of 1/scale. Figures above the range are cut off; negative
 * ones and NaN become zero.
 */
template <typename Number>
Number encodeFigure(double figure, double scale)
{
    if (std::isnan(figure)) {
        return 0;
    }
    const double most = static_cast<double>(std::numeric_limits<Number>::max());
    return static_cast<Number>(std::clamp(std::round(figure * scale), 0.0, most));
}

/**
 * Demand for one service over one route: as one instance sees it, or estimated over the instances
 * of a failure domain.
 */
struct service_demand
{
    std::uint32_t service = 0; ///< demandTag() of the service's name.
    std::uint32_t route = 0; ///< demandTag() of the route's public address.
    double newFlows = 0; ///< New flows per second, without the retries of refused callers.
    double laterRequests = 0; ///< Requests per second on flows that have carried one before.
    double refused = 0; ///< New flows per second that admission has refused, with retries.
    double underWay = 0; ///< Mean number of requests that wait for their answers.
    duration workTime{}; ///< Answer time of a lightly loaded server; zero if unknown.

    static constexpr double RateScale = 8; ///< Rates are encoded in eighths.
    static constexpr double UnderWayScale = 16;
    static constexpr std::chrono::microseconds WorkTimeStep{250};

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto flows = encodeFigure<std::uint16_t>(newFlows, RateScale);
        auto later = encodeFigure<std::uint16_t>(laterRequests, RateScale);
        auto refusals = encodeFigure<std::uint16_t>(refused, RateScale);
        auto waiting = encodeFigure<std::uint16_t>(underWay, UnderWayScale);
        auto work = encodeFigure<std::uint16_t>(static_cast<double>(workTime / WorkTimeStep), 1);
        archive(service, route, flows, later, refusals, waiting, work);
        newFlows = flows / RateScale;
        laterRequests = later / RateScale;
        refused = refusals / RateScale;
        underWay = waiting / UnderWayScale;
        workTime = work * WorkTimeStep;
    }
};

} // namespace ebonyway
