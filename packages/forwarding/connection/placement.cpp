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

// Number of backend servers of a service up to which all are examined for each new flow. With few
// servers, this instance's own flows tell most of what there is to know.
constexpr std::size_t MaxServersExamined = 32;

// Number of servers that are drawn at random for a new flow in larger services. Two would already
// avoid most long queues; with four, one is nearly always in a good state.
constexpr std::size_t SampleSize = 4;

// A server that is reserved for more urgent flows takes others only if the expected wait elsewhere
// is longer by this factor.
constexpr int ReservedServerFactor = 3;

} // namespace

const char *placementTierName(placement_tier tier)
{
    switch (tier) {
    case placement_tier::Warm:
        return "warm";
    case placement_tier::SlowStart:
        return "slow_start";
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
    // The load that other instances report is left out. It is older than a request takes; when it
    // was included in the choice from all servers, all instances chose the same servers at once.
    const double busyFlows = state.busyFlows + state.openingFlows;
    const double openFlows = state.openFlows;
    const double work = busyFlows + IdleFlowWeight * std::max(0.0, openFlows - busyFlows);
    return work / static_cast<double>(std::max(1U, server.entry.slots));
}

std::optional<placement_tier> placement::tierOf(const placement_inputs &inputs,
                                                const directory_server &server,
                                                const server_limits &limits,
                                                const flow_table_entry *previous, time_point now)
{
    const server_key key = server.entry.key;
    if (previous && previous->wasOfferedTo(key)) {
        return std::nullopt;
    }
    const server_condition &state = inputs.evidence.condition(key);
    if (limits.maxConnections > 0
        && state.openFlows + state.openingFlows + state.peerFlows >= limits.maxConnections) {
        return std::nullopt;
    }
    auto tier = placement_tier::Warm;
    if (now < server.coldUntil) {
        if (!inputs.coldStarts.allows(key, server.entry.failureDomain, limits.coldRate, now)) {
            return std::nullopt;
        }
        // While requests queue elsewhere, the rate that a cold server bears is of use to callers.
        tier = limits.isQueueing ? placement_tier::Warm : placement_tier::Cold;
    } else if (const double share = inputs.pace.share(key); share < 1 && m_random.unit() >= share) {
        tier = placement_tier::SlowStart;
    }
    const server_trust trust = inputs.evidence.trustIn(key, now);
    if (trust == server_trust::SetAside) {
        return placement_tier::SetAside;
    }
    if (trust != server_trust::Answering || m_silentDomains.contains(server.entry.failureDomain)) {
        return placement_tier::Doubtful;
    }
    return tier;
}

std::optional<placement_choice> placement::choose(const placement_inputs &inputs,
                                                  const std::string &service,
                                                  std::uint32_t priority,
                                                  const flow_table_entry *previous, time_point now)
{
    const auto found = inputs.servers.routes().services.find(service);
    server_limits limits;
    if (found != inputs.servers.routes().services.end()) {
        limits.coldRate = found->second.coldRequestsPerSecond;
        limits.maxConnections = found->second.maxConnections;
    }
    const service_room *room = inputs.load.find(service);
    limits.isQueueing = room && room->usual.requestsPerSlot > 1;
    if (inputs.servers.candidates(service).size() > MaxServersExamined) {
        auto sampled = chooseFromSample(inputs, service, limits, room, priority, previous, now);
        if (sampled && sampled->tier == placement_tier::Warm) {
            return sampled;
        }
    }
    return chooseFromAll(inputs, service, limits, previous, now);
}

std::optional<placement_choice> placement::chooseFromAll(const placement_inputs &inputs,
                                                         const std::string &service,
                                                         const server_limits &limits,
                                                         const flow_table_entry *previous,
                                                         time_point now)
{
    std::optional<placement_choice> best;
    double bestCost = 0;
    std::size_t candidates = 0;
    for (const std::size_t index : inputs.servers.candidates(service)) {
        const directory_server &server = inputs.servers.servers()[index];
        const auto tier = tierOf(inputs, server, limits, previous, now);
        if (!tier) {
            continue;
        }
        ++candidates;
        const double load = loadOf(server, inputs.evidence.condition(server.entry.key));
        const bool inOtherDomain = server.entry.failureDomain != m_failureDomain;
        const double tieBreak = m_random.unit() * 1e-3;
        const double cost = load + (inOtherDomain ? OtherDomainPenalty : 0.0) + tieBreak;
        if (best && (*tier > best->tier || (*tier == best->tier && cost >= bestCost))) {
            continue;
        }
        best = placement_choice{&server, *tier, load, {}, 0};
        bestCost = cost;
    }
    if (best) {
        best->candidates = candidates;
    }
    return best;
}

const std::string &placement::drawDomain(const service_room *room)
{
    if (!room) {
        return m_failureDomain;
    }
    double pick = m_random.unit();
    for (std::size_t i = 0; i < room->domains.size(); ++i) {
        pick -= room->shares[i];
        if (pick < 0) {
            return room->domains[i].failureDomain;
        }
    }
    return m_failureDomain;
}

std::optional<placement_choice>
placement::chooseFromSample(const placement_inputs &inputs, const std::string &service,
                            const server_limits &limits, const service_room *room,
                            std::uint32_t priority, const flow_table_entry *previous,
                            time_point now)
{
    const auto &byDomain = inputs.servers.candidatesByDomain(service);
    const auto found = byDomain.find(drawDomain(room));
    if (found == byDomain.end()) {
        return std::nullopt;
    }
    const std::vector<std::size_t> &indexes = found->second;
    const double reserved = room ? room->reservedShare(priority) : 0;
    std::optional<placement_choice> best;
    for (std::size_t i = 0; i < SampleSize; ++i) {
        const directory_server &server =
                inputs.servers.servers()[indexes[m_random.below(indexes.size())]];
        const auto tier = tierOf(inputs, server, limits, previous, now);
        if (!tier || (best && *tier > best->tier)) {
            continue;
        }
        const server_condition &state = inputs.evidence.condition(server.entry.key);
        const server_queue queue = queueOf(inputs.load, server, state);
        const usual_queue usual = room ? room->usualOf(server.entry.key) : usual_queue{};
        duration wait = expectedWait(queue, usual);
        if (reserved > 0 && isReserved(server.entry.key, reserved)) {
            wait *= ReservedServerFactor;
        }
        const bool isBetter = !best || *tier < best->tier || wait < best->wait;
        if (isBetter) {
            best = placement_choice{&server, *tier, loadOf(server, state), wait, indexes.size()};
        }
    }
    return best;
}

server_queue placement::queueOf(const deployment_load &load, const directory_server &server,
                                const server_condition &state) const
{
    server_queue queue;
    queue.slots = std::max(1U, server.entry.slots);
    queue.ownRequests = loadOf(server, state) * queue.slots;
    if (const server_usage *usage = load.usageOf(server.entry.key)) {
        queue.answerTime = usage->answerTime;
        queue.answerReporters = usage->answerReporters;
    }
    return queue;
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
