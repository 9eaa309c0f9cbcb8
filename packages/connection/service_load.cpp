#include "connection/service_load.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Bounds to which a load is clamped in the mean, as multiples of the median. Loads outside them
// come from restarts or wrong load reports.
constexpr double MinimumMedianFactor = 0.5;
constexpr double MaximumMedianFactor = 1.5;

// The tolerated ratio of failed flows is BaseTolerance plus MedianRatioFactor times the median
// ratio. A cold start needs 95% of answers (design section 6); the median is added for services
// that are slow to answer.
constexpr double BaseTolerance = 0.05;
constexpr double MedianRatioFactor = 2;

// Upper bound of the tolerated ratio, however high the median is.
constexpr double MaximumTolerance = 0.5;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double robustMean(const std::vector<server_load> &loads)
{
    std::vector<double> perWeight;
    for (const server_load &load : loads) {
        if (load.includedInMean) {
            perWeight.push_back(load.openFlows / load.weight);
        }
    }
    if (perWeight.empty()) {
        return 0;
    }
    const double middle = median(perWeight);
    double flows = 0;
    double weight = 0;
    for (const server_load &load : loads) {
        if (!load.includedInMean) {
            continue;
        }
        const double bounded =
                std::clamp(load.openFlows / load.weight, MinimumMedianFactor * middle,
                           MaximumMedianFactor * middle);
        flows += bounded * load.weight;
        weight += load.weight;
    }
    return flows / weight;
}

double toleratedRatio(const std::vector<server_load> &loads)
{
    std::vector<double> ratios;
    ratios.reserve(loads.size());
    for (const server_load &load : loads) {
        ratios.push_back(load.failedRatio);
    }
    const double usual = ratios.empty() ? 0 : median(ratios);
    return std::min(MaximumTolerance, BaseTolerance + MedianRatioFactor * usual);
}

} // namespace

service_load summarise(const std::vector<server_load> &loads)
{
    service_load sum;
    sum.servers = loads.size();
    sum.flowsPerWeight = robustMean(loads);
    sum.toleratedRatio = toleratedRatio(loads);
    double slots = 0;
    for (const server_load &load : loads) {
        sum.busyShare += load.busySlots;
        slots += load.usableSlots;
        sum.failingServers += sum.isFailing(load) ? 1 : 0;
        sum.deadServers += load.dead ? 1 : 0;
    }
    sum.busyShare = slots > 0 ? sum.busyShare / slots : 1;
    return sum;
}

} // namespace ebonyway
