#include "forwarding/connection/placement.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

// Load of an open flow without a pending request. A feed sends about 1 request/s, which takes about
// 60 ms, and is idle in between.
constexpr double IdleFlowWeight = 0.06;

// A server in another failure domain is chosen only if its load is lower by this many requests per
// slot. With half of the slots in use, answers stay within the callers' goals, and the service
// survives a network partition between domains.
constexpr double OtherDomainPenalty = 0.5;

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
    // The load that other instances report is left out. It is some hundred milliseconds old,
    // several times the duration of a request; when it was included, all instances chose the same
    // servers at once.
    const double busyFlows = state.busyFlows + state.openingFlows;
    const double openFlows = state.openFlows;
    const double work = busyFlows + IdleFlowWeight * std::max(0.0, openFlows - busyFlows);
    return work / static_cast<double>(std::max(1U, server.entry.slots));
}

std::optional<placement_choice> placement::choose(const directory &serverDirectory,
                                                  const server_evidence &evidence,
                                                  const cold_start_budget &coldStarts,
                                                  const std::string &service,
                                                  const flow_table_entry *previous, time_point now)
{
    const auto limits = serverDirectory.routes().services.find(service);
    const bool hasLimits = limits != serverDirectory.routes().services.end();
    const double coldRate = hasLimits ? limits->second.coldRequestsPerSecond : 0.0;
    const std::uint32_t maxConnections = hasLimits ? limits->second.maxConnections : 0;

    std::optional<placement_choice> best;
    double bestCost = 0;
    std::size_t candidates = 0;
    for (const std::size_t index : serverDirectory.candidates(service)) {
        const directory_server &server = serverDirectory.servers()[index];
        const server_key key = server.entry.key;
        if (previous && previous->wasOfferedTo(key)) {
            continue;
        }
        const server_condition &state = evidence.condition(key);
        if (maxConnections > 0
            && state.openFlows + state.openingFlows + state.peerFlows >= maxConnections) {
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
        const bool inOtherDomain = server.entry.failureDomain != m_failureDomain;
        const double tieBreak = m_random.unit() * 1e-3;
        const double cost = load + (inOtherDomain ? OtherDomainPenalty : 0.0) + tieBreak;
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
    std::uint64_t pick = m_random.below(total);
    for (const service_share &share : from.shares) {
        if (pick < share.weight) {
            return &share.service;
        }
        pick -= share.weight;
    }
    return &from.shares.back().service;
}

} // namespace ebonyway
