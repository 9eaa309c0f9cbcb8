#include "forwarding/connection/domain_spread.h"

namespace ebonyway {

std::vector<double> domainShares(const std::vector<domain_room> &domains, const std::string &own)
{
    std::vector<double> shares;
    for (const domain_room &one : domains) {
        shares.push_back(one.failureDomain == own ? 1 : 0);
    }
    return shares;
}

} // namespace ebonyway
