#include "connection/flow_engine.h"

#include "connection/admission_policy.h"
#include "version/route_plan.h"

#include <algorithm>
#include <cmath>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Maximum number of relays: one to the home, and one more if the home has just changed. */
constexpr std::uint8_t HopLimit = 2;
/** A SYN repeated sooner than this is a network duplicate, not a retransmission. */
constexpr duration DuplicateSynWindow = 500ms;
/**
 * How long after adopting a drain a slot in the Announced phase may still send new flows to the
 * draining server. Together with 0.5 s for adopting the note this keeps the limit of 3 s.
 */
constexpr duration DrainGracePeriod = 2400ms;
/** How long a slot's new flows stay tracked after its target last refused one. */
constexpr duration DeviationHoldTime = 3s;

} // namespace

flow_engine::flow_engine(flow_engine_options options, admission_policy &admission,
                         domain_predicate mayUseDomain)
    : m_options(std::move(options))
    , m_admission(admission)
    , m_mayUseDomain(std::move(mayUseDomain))
    , m_hash(m_options.deploymentKey)
    , m_store(m_options.establishedCapacity, m_options.probationCapacity, *this)
    , m_exchange(m_options.session)
    , m_copier(m_store, m_exchange)
    , m_seenUdp(m_options.udpSeenCapacity)
    , m_udpReporter(m_seenUdp, m_exchange)
    , m_settledRoute(m_hash, m_seenUdp)
    , m_clock(m_options.freshnessLimit)
{
    m_cluster.self = m_options.self;
}

route_decision flow_engine::route(const packet_view &packet, const packet_origin &origin,
                                  time_point now)
{
    if (const auto decision = m_settledRoute.decide(packet, origin, now)) {
        return *decision;
    }
    if (!m_plan) {
        return drop_action{drop_reason::NoIntent};
    }
    const std::optional<service_id> service = m_plan->serviceFor(packet.key);
    if (!service || m_plan->slotTable(*service) == nullptr) {
        return drop_action{drop_reason::UnknownService};
    }
    const flow_hash hash = hashFlow(packet.key, m_hash);
    return routeSlowPath({packet, origin, *service, hash, m_plan->slotOf(*service, hash), now});
}

route_decision flow_engine::routeSlowPath(const packet_context &context)
{
    if (m_clock.hasJumped(context.receivedAt)) {
        beginSync(context.receivedAt);
    }
    if (!m_synchronised) {
        return routeUnsynchronised(context);
    }
    slot_home *home = m_store.find(context.slot);
    if (home != nullptr && home->isActive()) {
        return routeAtHome(*home, context);
    }
    if (lacksMarks(context.slot)) {
        const std::optional<instance_id> assignedHome = m_assignment.owners(context.slot).home;
        return assignedHome && *assignedHome != m_options.self
                       ? relayTo(*assignedHome, context)
                       : drop_action{drop_reason::OutcomeUnknown};
    }
    return isSettled(context.slot) ? routeSettled(context) : routeUnsettled(context);
}

route_decision flow_engine::routeUnsynchronised(const packet_context &context) const
{
    const slot_owners owners = m_assignment.owners(context.slot);
    for (const std::optional<instance_id> &owner : {owners.home, owners.backup}) {
        if (owner && *owner != m_options.self) {
            return relayTo(*owner, context);
        }
    }
    return drop_action{drop_reason::NoIntent};
}

route_decision flow_engine::relayTo(instance_id peer, const packet_context &context) const
{
    if (context.origin.hops >= HopLimit) {
        // Guessing the backend server could break the flow; a retransmission may take another path.
        return drop_action{drop_reason::HopLimit};
    }
    return relay_action{peer, static_cast<std::uint8_t>(context.origin.hops + 1)};
}

route_decision flow_engine::routeSettled(const packet_context &context)
{
    const slot_table &table = *m_plan->slotTable(context.service);
    const backend_server_id target = table.targets[context.slot.index];
    const slot_owners owners = m_assignment.owners(context.slot);
    const member *home = owners.home ? findMember(*owners.home) : nullptr;
    if (target == NoBackendServer) {
        return drop_action{drop_reason::NoServerAvailable};
    }
    const bool homeCutOff = home != nullptr && isDomainCutOff(home->failureDomain);
    if (homeCutOff || !isReachable(target)) {
        return routeDuringPartition(context);
    }
    // The home is silent, but its domain is not: the home crashed, or only the path to it failed.
    if (context.origin.hops == 0 && owners.backup && *owners.backup != m_options.self) {
        return relayTo(*owners.backup, context);
    }
    const bool homeIsSelf = owners.home == m_options.self;
    const bool known = context.packet.kind == packet_kind::Udp
                       && m_seenUdp.record(context.service, context.hash, context.receivedAt);
    const bool first = context.packet.kind == packet_kind::TcpSyn
                       || (context.packet.kind == packet_kind::Udp && !known);
    if (first && !homeIsSelf) {
        return drop_action{drop_reason::OutcomeUnknown};
    }
    return forward_action{target, first};
}

route_decision flow_engine::routeUnsettled(const packet_context &context)
{
    if (context.packet.kind == packet_kind::Udp) {
        m_seenUdp.record(context.service, context.hash, context.receivedAt);
    }
    const slot_owners owners = m_assignment.owners(context.slot);
    if (!owners.home) {
        return drop_action{drop_reason::NoServerAvailable};
    }
    if (*owners.home != m_options.self) {
        const member *home = findMember(*owners.home);
        const bool cutOff = home != nullptr && isDomainCutOff(home->failureDomain);
        return cutOff ? routeDuringPartition(context) : relayTo(*owners.home, context);
    }
    if (const auto awaited = m_pendingHandovers.find(context.slot);
        awaited != m_pendingHandovers.end()) {
        return relayTo(awaited->second.formerHome, context);
    }
    slot_home *home = openHome(context.slot, context.receivedAt);
    if (home == nullptr) {
        return drop_action{drop_reason::OutcomeUnknown};
    }
    return routeAtHome(*home, context);
}

route_decision flow_engine::routeDuringPartition(const packet_context &context)
{
    const std::optional<instance_id> acting = actingHome(context.slot);
    if (!acting) {
        return drop_action{drop_reason::PartitionSuspected};
    }
    if (*acting != m_options.self) {
        return context.origin.hops == 0 ? relayTo(*acting, context)
                                        : drop_action{drop_reason::PartitionSuspected};
    }
    if (context.packet.kind == packet_kind::TcpSyn) {
        m_partitionSignal.onHeld(context.hash, context.receivedAt);
    }
    return drop_action{drop_reason::PartitionSuspected};
}

route_decision flow_engine::routeAtHome(slot_home &home, const packet_context &context)
{
    if (context.packet.kind == packet_kind::Udp) {
        m_seenUdp.record(context.service, context.hash, context.receivedAt);
    }
    tracked_flow *flow = m_store.findFlow(context.hash);
    const bool isSyn = context.packet.kind == packet_kind::TcpSyn;
    if (flow != nullptr && isSyn
        && (flow->has(tracked_flow::Closing)
            || isGivenUp(flow->backendServer, context.receivedAt))) {
        // The caller reuses the port for a new flow.
        m_store.end(*flow);
        flow = nullptr;
    }
    if (flow != nullptr) {
        return routeTrackedFlow(home, *flow, context);
    }
    const bool isNewUdp = context.packet.kind == packet_kind::Udp && home.udpComplete();
    return isSyn || isNewUdp ? routeFirstPacket(home, context) : routeUnknownFlow(home, context);
}

route_decision flow_engine::routeTrackedFlow(slot_home &home, tracked_flow &flow,
                                             const packet_context &context)
{
    const backend_server_id server = flow.backendServer;
    if (isGivenUp(server, context.receivedAt)) {
        // The entry stays until the flow is silent, so that no other server gets its packets.
        return refuse_action{refusal_reason::GivenUp};
    }
    if (!isReachable(server)) {
        return drop_action{drop_reason::PartitionSuspected};
    }
    updateTrackedFlow(home, flow, context);
    return forward_action{server, false};
}

void flow_engine::updateTrackedFlow(slot_home &home, tracked_flow &flow,
                                    const packet_context &context)
{
    const flow_time now = toFlowTime(context.receivedAt);
    switch (context.packet.kind) {
    case packet_kind::IcmpError:
        return;
    case packet_kind::TcpRst:
        m_store.end(flow);
        return;
    case packet_kind::TcpSyn:
        if (!flow.has(tracked_flow::Answered)
            && now - flow.lastSeen >= toFlowTime(DuplicateSynWindow)) {
            m_admission.onEvidence(flow.backendServer, flow_evidence::Retransmitted,
                                   context.receivedAt);
        }
        flow.lastSeen = now;
        return;
    case packet_kind::TcpFin:
        flow.set(tracked_flow::Closing);
        break;
    case packet_kind::TcpMidFlow:
    case packet_kind::Udp:
        break;
    }
    flow.lastSeen = now;
    const bool wasOnProbation = flow.has(tracked_flow::Probation);
    if (wasOnProbation && m_store.flows().promote(flow)
        && flow.backendServer != home.state().defaultServer) {
        m_copier.queueFlow(flow.hash);
    }
}

route_decision flow_engine::routeUnknownFlow(slot_home &home, const packet_context &context)
{
    const backend_server_id server = home.state().defaultServer;
    const packet_kind kind = context.packet.kind;
    if (isGivenUp(server, context.receivedAt)) {
        if (kind == packet_kind::Udp) {
            // Whether the flow is new is unknown until all reports of UDP flows have arrived.
            return drop_action{drop_reason::OutcomeUnknown};
        }
        return refuse_action{refusal_reason::GivenUp};
    }
    if (!isReachable(server)) {
        return drop_action{drop_reason::PartitionSuspected};
    }
    const bool ends = kind == packet_kind::TcpRst || kind == packet_kind::IcmpError;
    const bool flowsDiffer =
            home.state().phase == slot_phase::Diverting
            || (kind == packet_kind::Udp && home.state().phase == slot_phase::Announced);
    if (!flowsDiffer || ends) {
        return forward_action{server, false};
    }
    tracked_flow flow{context.hash, toFlowTime(context.receivedAt), context.slot, server, 0};
    if (kind == packet_kind::Udp) {
        // The flow may have started after the other instances sent their reports.
        m_store.trackOnProbation(home, flow);
    } else if (m_store.trackEstablished(home, flow) == nullptr) {
        // The default must not change while a live flow on it is untracked.
        home.restartPhaseTimer(context.receivedAt);
    }
    return forward_action{server, false};
}

route_decision flow_engine::routeFirstPacket(slot_home &home, const packet_context &context)
{
    if (m_isolated) {
        // Another instance may have taken over this slot and would not know a flow started here.
        return drop_action{drop_reason::OutcomeUnknown};
    }
    if (home.state().phase == slot_phase::Announced) {
        const backend_server_id server = home.state().defaultServer;
        if (isGivenUp(server, context.receivedAt) || !isReachable(server)
            || isDrainOverdue(server, context.receivedAt)) {
            return drop_action{drop_reason::OutcomeUnknown};
        }
        // Tracked so that a retransmission reaches the same server after the phase has changed.
        tracked_flow flow{context.hash, toFlowTime(context.receivedAt), context.slot, server, 0};
        m_store.trackOnProbation(home, flow);
        return forward_action{server, true};
    }
    bool admitted = false;
    const std::optional<backend_server_id> server = chooseServer(home, context, admitted);
    if (!server) {
        return refuseFirstPacket(home, context);
    }
    return startFlow(home, *server, admitted, context);
}

route_decision flow_engine::startFlow(slot_home &home, backend_server_id server, bool admitted,
                                      const packet_context &context)
{
    const bool deviating = context.receivedAt - home.deviationNeededAt < DeviationHoldTime;
    const bool covered = server == home.state().defaultServer
                         && home.state().phase == slot_phase::Switched && !deviating;
    if (covered) {
        return forward_action{server, true};
    }
    tracked_flow flow{context.hash, toFlowTime(context.receivedAt), context.slot, server, 0};
    if (admitted) {
        flow.set(tracked_flow::Admitted);
    }
    if (m_store.trackOnProbation(home, flow) == nullptr) {
        if (admitted) {
            m_admission.onFlowEnded(server, context.receivedAt);
        }
        return drop_action{drop_reason::TableFull};
    }
    return forward_action{server, true};
}

route_decision flow_engine::refuseFirstPacket(const slot_home &home,
                                              const packet_context &context) const
{
    const auto &servers = m_plan->currentIntent().backendServers;
    const bool none = std::none_of(servers.begin(), servers.end(), [&](const auto &server) {
        return server.service == context.service && acceptsPackets(m_plan->currentIntent(), server);
    });
    if (none) {
        return drop_action{drop_reason::NoServerAvailable};
    }
    const bool partitioned = !m_cluster.suspectedPartitions.empty();
    if (!partitioned && home.hasSeenAllFirstPackets(context.receivedAt)) {
        return refuse_action{refusal_reason::Overloaded};
    }
    return drop_action{drop_reason::OutcomeUnknown};
}

std::optional<backend_server_id>
flow_engine::chooseServer(slot_home &home, const packet_context &context, bool &admitted)
{
    const backend_server_id target = home.state().target;
    const auto accepts = [&](backend_server_id server) {
        return !isGivenUp(server, context.receivedAt) && isReachable(server);
    };
    const bool deviating = context.receivedAt - home.deviationNeededAt < DeviationHoldTime;
    const bool targetAccepts = accepts(target);
    if (targetAccepts && home.state().phase == slot_phase::Switched && !deviating) {
        return target;
    }
    admitted = true;
    if (targetAccepts && m_admission.admitFlow(target, context.receivedAt) == admission::Admit) {
        return target;
    }
    for (const backend_server_id next : fallbackServers(context.service, context.hash, target)) {
        if (accepts(next) && m_admission.admitFlow(next, context.receivedAt) == admission::Admit) {
            return next;
        }
    }
    return std::nullopt;
}

std::vector<backend_server_id> flow_engine::fallbackServers(service_id service, flow_hash hash,
                                                            backend_server_id except) const
{
    const intent &current = m_plan->currentIntent();
    std::vector<std::pair<double, backend_server_id>> scores;
    for (const backend_server &server : current.backendServers) {
        if (server.service != service || server.id == except || !acceptsNewFlows(current, server)) {
            continue;
        }
        constexpr double Scale = 1.0 / (1ULL << 53);
        const std::uint64_t mixed = m_hash(hash.value, server.id.value) >> 11;
        const double unit = (static_cast<double>(mixed) + 0.5) * Scale;
        scores.emplace_back(-std::log(unit) / server.weight, server.id);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<backend_server_id> choices;
    choices.reserve(scores.size());
    for (const auto &[score, server] : scores) {
        choices.push_back(server);
    }
    return choices;
}

answer_decision flow_engine::onAnswer(const packet_view &packet, backend_server_id sender,
                                      time_point now, const packet_origin &origin)
{
    if (!m_plan) {
        return drop_crossed_action{};
    }
    const std::optional<service_id> service = m_plan->serviceFor(packet.key);
    if (!service || m_plan->slotTable(*service) == nullptr) {
        return drop_crossed_action{};
    }
    const flow_hash hash = hashFlow(packet.key, m_hash);
    const slot_id slot = m_plan->slotOf(*service, hash);
    const packet_context context{packet, origin, *service, hash, slot, now};
    slot_home *home = m_store.find(slot);
    if (m_synchronised && home != nullptr && home->isActive()) {
        return decideAnswerAtHome(*home, context, sender);
    }
    return decideAnswerElsewhere(context, sender);
}

answer_decision flow_engine::decideAnswerAtHome(slot_home &home, const packet_context &context,
                                                backend_server_id sender)
{
    tracked_flow *flow = m_store.findFlow(context.hash);
    if (isGivenUp(sender, context.receivedAt)) {
        return drop_crossed_action{};
    }
    if (flow == nullptr) {
        return sender == home.state().defaultServer ? answer_decision{pass_action{}}
                                                    : answer_decision{drop_crossed_action{}};
    }
    if (flow->backendServer != sender) {
        return drop_crossed_action{};
    }
    flow->lastSeen = toFlowTime(context.receivedAt);
    const bool reset = context.packet.kind == packet_kind::TcpRst;
    if (!flow->has(tracked_flow::Answered)) {
        flow->set(tracked_flow::Answered);
        m_admission.onEvidence(sender, reset ? flow_evidence::Reset : flow_evidence::Answered,
                               context.receivedAt);
    }
    if (reset) {
        m_store.end(*flow);
    }
    return pass_action{};
}

answer_decision flow_engine::decideAnswerElsewhere(const packet_context &context,
                                                   backend_server_id sender) const
{
    const slot_table &table = *m_plan->slotTable(context.service);
    const backend_server_id target = table.targets[context.slot.index];
    const bool settled = m_synchronised && isSettled(context.slot);
    if (settled) {
        return sender == target ? answer_decision{pass_action{}}
                                : answer_decision{drop_crossed_action{}};
    }
    std::optional<instance_id> home = actingHome(context.slot);
    if (const auto awaited = m_pendingHandovers.find(context.slot);
        awaited != m_pendingHandovers.end()) {
        home = awaited->second.formerHome;
    }
    if (home && *home != m_options.self && context.origin.hops < HopLimit) {
        return relay_action{*home, static_cast<std::uint8_t>(context.origin.hops + 1)};
    }
    const std::optional<slot_mark> mark = m_marks.find(context.slot);
    const auto earlier = mark ? table.targetAt(context.slot.index, mark->note) : std::nullopt;
    const bool plausible = sender == target || (earlier && sender == *earlier);
    return plausible ? answer_decision{pass_action{}} : answer_decision{drop_crossed_action{}};
}

bool flow_engine::isReachable(backend_server_id server) const
{
    return m_settledRoute.isUsable(server);
}

bool flow_engine::isGivenUp(backend_server_id server, time_point now) const
{
    const intent &current = m_plan->currentIntent();
    const backend_server *known = findBackendServer(current, server);
    if (known == nullptr || !acceptsPackets(current, *known)) {
        return true;
    }
    // Servers behind a partition only look dead from here; their flows are not given up.
    return !isDomainCutOff(known->failureDomain)
           && m_admission.health(server, now) == backend_health::Dead;
}

bool flow_engine::isDrainOverdue(backend_server_id server, time_point now) const
{
    const auto since = m_drainingSince.find(server);
    if (since == m_drainingSince.end()) {
        return false;
    }
    // An instance that has just started, resumed or been cut off does not know when the drain
    // began, so it treats the drain as overdue.
    return m_synchronisedAt >= since->second || now - since->second > DrainGracePeriod;
}

bool flow_engine::isDomainCutOff(failure_domain_id domain) const
{
    const auto &cut = m_cluster.suspectedPartitions;
    return std::find(cut.begin(), cut.end(), domain) != cut.end()
           || (m_mayUseDomain && !m_mayUseDomain(domain));
}

void flow_engine::refreshUsableServers()
{
    if (!m_plan) {
        return;
    }
    const intent &current = m_plan->currentIntent();
    std::vector<std::uint8_t> usable(current.nextBackendServerId, 0);
    for (const backend_server &server : current.backendServers) {
        usable[server.id.value] =
                acceptsPackets(current, server) && !isDomainCutOff(server.failureDomain) ? 1 : 0;
    }
    m_settledRoute.setUsableServers(std::move(usable));
}

void flow_engine::onFlowEnd(const tracked_flow &flow)
{
    const slot_home *home = m_store.find(flow.slot);
    if (home == nullptr || !home->isActive()) {
        return;
    }
    m_copier.queueFlowEnd(flow);
}

void flow_engine::onFlowForgotten(const tracked_flow &flow)
{
    // Also reported for flows that continue untracked, because their end will not be seen here.
    if (flow.has(tracked_flow::Admitted)) {
        m_admission.onFlowEnded(flow.backendServer, m_now);
    }
}

std::shared_ptr<const settled_route> flow_engine::publishSettledRoute() const
{
    return std::make_shared<const settled_route>(m_settledRoute);
}

std::vector<service_slot_status> flow_engine::slotStatus() const
{
    std::map<service_id, service_slot_status> services;
    if (m_plan) {
        for (const service &current : m_plan->currentIntent().services) {
            const slot_table *table = m_plan->slotTable(current.id);
            const std::size_t slots = table == nullptr ? 0 : table->targets.size();
            services[current.id] = {current.id, static_cast<std::uint32_t>(slots), 0, 0};
        }
    }
    for (const slot_id slot : m_unsettledSlots) {
        ++services[slot.service].unsettled;
    }
    for (const auto &[slot, home] : m_store.homes()) {
        services[slot.service].openHomes += home.isActive() ? 1 : 0;
    }
    std::vector<service_slot_status> entries;
    entries.reserve(services.size());
    for (const auto &[id, entry] : services) {
        entries.push_back(entry);
    }
    return entries;
}

std::vector<server_flow_status> flow_engine::serverFlowStatus() const
{
    std::vector<server_flow_status> entries;
    if (!m_plan) {
        return entries;
    }
    const std::map<backend_server_id, std::uint32_t> flows = m_store.flowsPerServer();
    entries.reserve(m_plan->currentIntent().backendServers.size());
    for (const backend_server &server : m_plan->currentIntent().backendServers) {
        const auto count = flows.find(server.id);
        const auto since = m_drainingSince.find(server.id);
        const time_point drainingSince =
                since == m_drainingSince.end() ? time_point{} : since->second;
        entries.push_back({server.id, count == flows.end() ? 0 : count->second, server.draining,
                           drainingSince});
    }
    return entries;
}

std::size_t flow_engine::openHomeCount() const
{
    const auto &homes = m_store.homes();
    return static_cast<std::size_t>(std::count_if(
            homes.begin(), homes.end(), [](const auto &entry) { return entry.second.isActive(); }));
}

std::size_t flow_engine::memoryBytes() const
{
    return m_store.flows().memoryBytes() + m_seenUdp.memoryBytes();
}

bool flow_engine::readyToJoin() const
{
    if (!m_synchronised || !m_plan) {
        return false;
    }
    return std::all_of(m_cluster.members.begin(), m_cluster.members.end(),
                       [this](const auto &other) {
                           const bool isHome =
                                   other.id != m_options.self && other.state == member_state::Ready;
                           return !isHome || m_membersStreamedFrom.contains(other.id);
                       });
}

bool flow_engine::readyToLeave(time_point now) const
{
    // Time for peers to receive the announcement and to choose other backups.
    constexpr duration AnnouncementTime = 1s;
    const member *self = selfMember();
    const bool announced = self != nullptr && self->state == member_state::Leaving
                           && now - m_leavingSince >= AnnouncementTime;
    return announced && openHomeCount() == 0 && m_exchange.isIdle();
}

} // namespace ebonyway
