#include "forwarding/connection/domain_spread.h"

#include <algorithm>
#include <cstddef>

namespace ebonyway {

namespace {

// Share of the slots of the own domain up to which all flows stay there. Above it, requests wait
// for slots often enough that a trip to another domain, of milliseconds, is shorter.
constexpr double HomeUtilization = 0.7;

} // namespace

std::vector<double> domainShares(const std::vector<domain_room> &domains, const std::string &own)
{
    double demand = 0;
    double slots = 0;
    const domain_room *home = nullptr;
    for (const domain_room &one : domains) {
        demand += one.demand;
        slots += one.slots;
        home = one.failureDomain == own ? &one : home;
    }
    // The mean utilization is the lowest level to which all domains can be filled. Domains below it
    // take from the others what lifts them to it, and no more.
    const double level = std::max(HomeUtilization, slots > 0 ? demand / slots : 0.0);
    const bool homeHasSlots = home && home->slots > 0;
    double homeShare = 0;
    if (homeHasSlots) {
        homeShare = home->demand > 0 ? std::min(1.0, level * home->slots / home->demand) : 1.0;
    }
    double room = 0;
    for (const domain_room &one : domains) {
        room += &one == home ? 0.0 : std::max(0.0, level * one.slots - one.demand);
    }
    if (home && room <= 0 && (homeHasSlots || slots <= 0)) {
        homeShare = 1;
    }
    const double otherSlots = slots - (home ? home->slots : 0.0);
    std::vector<double> shares;
    for (const domain_room &one : domains) {
        if (&one == home) {
            shares.push_back(homeShare);
            continue;
        }
        double part = 0;
        if (room > 0) {
            part = std::max(0.0, level * one.slots - one.demand) / room;
        } else if (otherSlots > 0) {
            part = one.slots / otherSlots;
        } else {
            part = 1.0 / static_cast<double>(domains.size() - (home ? 1 : 0));
        }
        shares.push_back((1 - homeShare) * part);
    }
    return shares;
}

} // namespace ebonyway
