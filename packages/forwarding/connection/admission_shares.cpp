#include "forwarding/connection/admission_shares.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace ebonyway {

namespace {

// Halvings of the interval in which the fair level lies; the error is then far below one request.
constexpr int LevelSteps = 40;

double demandOf(const admission_group &group)
{
    return group.newFlows + group.openFlows;
}

/** What a group gets if each may have up to `level`; open flows cannot be refused. */
double allotment(const admission_group &group, double level)
{
    return std::min(demandOf(group), std::max(group.openFlows, level));
}

/** Returns the level at which the allotments of the groups add up to the capacity. */
double fairLevel(const std::vector<admission_group> &groups,
                 const std::vector<std::size_t> &members, double capacity)
{
    double low = 0;
    double high = 0;
    for (const std::size_t index : members) {
        high = std::max(high, demandOf(groups[index]));
    }
    for (int step = 0; step < LevelSteps; ++step) {
        const double middle = (low + high) / 2;
        double sum = 0;
        for (const std::size_t index : members) {
            sum += allotment(groups[index], middle);
        }
        (sum > capacity ? high : low) = middle;
    }
    return low;
}

} // namespace

std::vector<double> admissionShares(const std::vector<admission_group> &groups, double capacity)
{
    std::vector<double> shares(groups.size(), 1.0);
    std::map<std::uint32_t, std::vector<std::size_t>> byPriority;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        byPriority[groups[i].priority].push_back(i);
    }
    double remaining = capacity;
    for (const auto &[priority, members] : byPriority) {
        double demand = 0;
        for (const std::size_t index : members) {
            demand += demandOf(groups[index]);
        }
        if (demand <= remaining) {
            remaining -= demand;
            continue;
        }
        const double level = fairLevel(groups, members, remaining);
        for (const std::size_t index : members) {
            const admission_group &group = groups[index];
            if (group.newFlows <= 0) {
                continue;
            }
            const double admitted = allotment(group, level) - group.openFlows;
            shares[index] = std::clamp(admitted / group.newFlows, MinAdmissionShare, 1.0);
        }
        remaining = 0;
    }
    return shares;
}

} // namespace ebonyway
