#include "forwarding/connection/placement.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

// A feed waits for its caller most of the time: 1 request/s of about 60 ms.
constexpr double IdleFlowWeight = 0.06;

// A server of another failure domain is chosen only when it has this many fewer requests per slot.
// Half of the slots keeps answers within the callers' goals and survives a cut between domains.
constexpr double ForeignDomainPenalty = 0.5;

} // namespace

const char *placementTierName(placement_tier tier)
{
    switch (tier) {
    case placement_tier::Warm:
        return "warm";
    case placement_tier::Cold:
        return "cold";
    case placement_tier::Doubtful:
        return "doubtful";
    case placement_tier::SetAside:
        return "set_aside";
    }
    return "warm";
}

placement::placement(std::string failureDomain, std::uint64_t seed)
    : m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{ }

void placement::setSilentDomains(std::set<std::string> domains)
{
    m_silentDomains = std::move(domains);
}

double placement::loadOf(const directory_server &server, const server_condition &state) const
{
    // What others send is known only some hundred milliseconds late, several times the length of a
    // request; with it, all instances chose the same servers at once.
    const double busy = state.busy + state.opening;
    const double open = state.open;
    const double work = busy + IdleFlowWeight * std::max(0.0, open - busy);
    return work / static_cast<double>(std::max(1U, server.entry.slots));
}

std::optional<placement_choice> placement::choose(const directory &known,
                                                  const server_evidence &evidence,
                                                  const cold_start_budget &coldStarts,
                                                  const std::string &service,
                                                  const followed_flow *previous, time_point now)
{
    const auto limits = known.routes().services.find(service);
    const bool hasLimits = limits != known.routes().services.end();
    const double coldRate = hasLimits ? limits->second.coldRequestsPerSecond : 0.0;
    const std::uint32_t maxConnections = hasLimits ? limits->second.maxConnections : 0;

    std::optional<placement_choice> best;
    double bestCost = 0;
    std::size_t candidates = 0;
    for (const std::size_t index : known.candidates(service)) {
        const directory_server &server = known.servers()[index];
        const server_key key = server.entry.key;
        if (previous && previous->wasOfferedTo(key)) {
            continue;
        }
        const server_condition &state = evidence.condition(key);
        if (maxConnections > 0 && state.open + state.opening + state.peersOpen >= maxConnections) {
            continue;
        }
        const server_trust trust = evidence.trustIn(key, now);
        auto tier = placement_tier::Warm;
        if (now < server.coldUntil) {
            if (!coldStarts.allows(key, coldRate, now)) {
                continue;
            }
            tier = placement_tier::Cold;
        }
        if (trust == server_trust::SetAside) {
            tier = placement_tier::SetAside;
        } else if (trust != server_trust::Answering
                   || m_silentDomains.contains(server.entry.failureDomain)) {
            tier = placement_tier::Doubtful;
        }
        ++candidates;
        const double load = loadOf(server, state);
        const bool foreign = server.entry.failureDomain != m_failureDomain;
        const double tieBreak = m_random.unit() * 1e-3;
        const double cost = load + (foreign ? ForeignDomainPenalty : 0.0) + tieBreak;
        if (best && (tier > best->tier || (tier == best->tier && cost >= bestCost))) {
            continue;
        }
        best = placement_choice{&server, tier, load, 0};
        bestCost = cost;
    }
    if (best) {
        best->candidates = candidates;
    }
    return best;
}

const std::string *placement::chooseService(const route &from)
{
    std::uint64_t total = 0;
    for (const service_share &share : from.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return from.shares.empty() ? nullptr : &from.shares.front().service;
    }
    std::uint64_t ticket = m_random.below(total);
    for (const service_share &share : from.shares) {
        if (ticket < share.weight) {
            return &share.service;
        }
        ticket -= share.weight;
    }
    return &from.shares.back().service;
}

} // namespace ebonyway
