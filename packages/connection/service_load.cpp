#include "connection/service_load.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Loads outside these multiples of the median come from restarts or wrong load reports.
constexpr double LowestOfMedian = 0.5;
constexpr double HighestOfMedian = 1.5;

// Ratio of flows that a backend server may leave unanswered: a cold start needs 95% of answers
// (design section 6). Twice the median ratio is added, for services that are slow to answer.
constexpr double BaseTolerance = 0.05;
constexpr double UsualFailures = 2;

// Upper bound of the tolerated ratio, however high the median is.
constexpr double HighestTolerance = 0.5;

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
        if (load.comparable) {
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
        if (!load.comparable) {
            continue;
        }
        const double bounded = std::clamp(load.openFlows / load.weight, LowestOfMedian * middle,
                                          HighestOfMedian * middle);
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
    return std::min(HighestTolerance, BaseTolerance + UsualFailures * usual);
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
        sum.failing += sum.isFailing(load) ? 1 : 0;
        sum.dead += load.dead ? 1 : 0;
    }
    sum.busyShare = slots > 0 ? sum.busyShare / slots : 1;
    return sum;
}

} // namespace ebonyway
