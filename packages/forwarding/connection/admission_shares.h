#pragma once

#include <cstdint>
#include <vector>

namespace ebonyway {

/** Demand of one group of callers, those of one failure domain on one route, in slots. */
struct admission_group
{
    std::uint32_t priority = 0; ///< Zero is the most urgent.
    double newFlows = 0; ///< Demand of flows that are yet to open.
    double openFlows = 0; ///< Demand on flows that are open, which cannot be refused.
};

/** Lowest share: no group starves, and what each asks for can be measured. */
constexpr double MinAdmissionShare = 0.05;

/**
 * Returns for each group the share of its new flows that fits into `capacity` slots, from
 * MinAdmissionShare to 1. Groups are served by priority, and by max-min fairness within a priority.
 */
std::vector<double> admissionShares(const std::vector<admission_group> &groups, double capacity);

} // namespace ebonyway
