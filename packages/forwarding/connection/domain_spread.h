#pragma once

#include <string>
#include <vector>

namespace ebonyway {

/** Demand of the callers of a failure domain for a service, and room of its servers there. */
struct domain_room
{
    std::string failureDomain;
    double demand = 0; ///< In slots: the mean number of requests under way.
    double slots = 0; ///< Of the servers that accept new flows.
};

/**
 * Returns for each domain the share of new flows that the callers of `own` send there. The shares
 * add up to 1. Flows stay in their own domain while it has room, and go to others as far as needed.
 */
std::vector<double> domainShares(const std::vector<domain_room> &domains, const std::string &own);

} // namespace ebonyway
