#include "forwarding/connection/forwarder.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Number of the last copy of an opening packet. Callers send the original, number 0, and two
// copies. The last copy is the last packet that a reset can answer before the caller gives up.
constexpr std::uint32_t LastCopyNumber = 2;

// Maximum amount of unacknowledged data of a caller: 16 packets of 1,200 bytes.
constexpr std::uint32_t CallerWindowBytes = 16 * 1'200;

// A caller retransmits all unacknowledged packets at once, at least 200 ms after the previous time.
// Retransmissions within this time count as a single suspicion.
constexpr duration RetransmissionRoundTime = 150ms;

// Offers are checked every 20 ms. A gap longer than this means that the instance got too little CPU
// time.
constexpr duration MaxOfferCheckGap = 50ms;

// How long the last answer of a server is reported to other instances. Matches the lifetime of
// suspicions.
constexpr duration AnswerReportTime = 2s;

// Time after which an unanswered request may count as ended. A server resets a flow that it cannot
// hold without this instance seeing it; such requests once counted as under way until the flow's
// idle timeout, so that the service seemed overloaded for 15 s. Services whose answers take longer
// get more time.
constexpr duration MinRequestLifetime = 1s;

// Time after which callers retransmit data at the earliest.
constexpr duration MinRetransmissionTime = 200ms;

/**
 * Returns whether the data that the packet acknowledges reached the caller recently. The
 * acknowledgement in a retransmission can be old if other instances have forwarded packets of the
 * flow since `lastSeen`.
 */
bool isRecentAcknowledgement(const flow_packet &packet, time_point lastSeen, time_point now)
{
    return packet.dataLength == 0 || now - lastSeen < MinRetransmissionTime;
}

/** Compares sequence numbers, which wrap around. */
bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

forwarder::forwarder(const forwarder_options &options, forwarding_observer &observer)
    : m_placement(options.failureDomain, options.seed)
    , m_observer(observer)
    , m_flows(options.flowCapacity)
    , m_coldStarts(options.instance, options.seed)
    , m_load(options.failureDomain)
    , m_admission(options.failureDomain)
    , m_failureDomain(options.failureDomain)
{ }

void forwarder::adopt(std::shared_ptr<const directory> newDirectory, time_point now)
{
    if (!m_directory) {
        for (const directory_server &server : newDirectory->servers()) {
            if (server.acceptsNewFlows() && server.coldUntil > now) {
                m_pace.begin(server.entry.key, server.coldUntil);
            }
        }
    } else {
        beginSlowStarts(*newDirectory, now);
        for (const directory_server &server : newDirectory->servers()) {
            const directory_server *before = m_directory->byKey(server.entry.key);
            if (before && before->entry.startedAt != server.entry.startedAt) {
                // The server has restarted under the same id, so earlier observations are void.
                m_evidence.forget(server.entry.key);
            }
        }
    }
    m_directory = std::move(newDirectory);
    m_evidence.adopt(*m_directory);
}

void forwarder::beginSlowStarts(const directory &newDirectory, time_point now)
{
    for (const directory_server &server : newDirectory.servers()) {
        if (!server.acceptsNewFlows()) {
            continue;
        }
        const server_key key = server.entry.key;
        const directory_server *before = m_directory->byKey(key);
        const bool isBack = before && !before->acceptsNewFlows();
        const bool isColder = before && server.coldUntil > std::max(before->coldUntil, now);
        if (before && !isBack && !isColder && before->entry.startedAt == server.entry.startedAt) {
            continue;
        }
        // A cold server gets what it bears first; the slow start leads from there to its full
        // share.
        m_pace.begin(key, std::max(now, server.coldUntil));
    }
    for (const directory_server &server : m_directory->servers()) {
        if (!newDirectory.byKey(server.entry.key)) {
            m_pace.forget(server.entry.key);
        }
    }
}

void forwarder::setInstances(std::map<std::string, std::vector<std::string>> instances,
                             time_point now)
{
    m_coldStarts.setInstances(std::move(instances), now);
}

void forwarder::setSharedLoad(const shared_load &shared, time_point now)
{
    if (!m_directory) {
        return;
    }
    m_load.update(*m_directory, m_evidence, shared, m_silentDomains, now);
    m_admission.update(m_load.admissionInputs(), now);
    for (const admission_change &change : m_admission.takeChanges()) {
        m_observer.onAdmissionChange(m_load.serviceName(change.service), change);
    }
}

std::vector<service_load_figures> forwarder::serviceLoads() const
{
    std::vector<service_load_figures> figures;
    for (const admission_input &input : m_load.admissionInputs()) {
        service_load_figures one;
        one.service = m_load.serviceName(input.service);
        one.slots = input.slots;
        one.pressure = m_admission.pressure(input.service);
        for (const admission_demand &part : input.demands) {
            const service_demand &demand = part.demand;
            one.demand += (demand.newFlows + demand.laterRequests)
                          * std::chrono::duration<double>(demand.workTime).count();
            one.leastAdmitted =
                    std::min(one.leastAdmitted, m_admission.share(input.service, demand.route));
        }
        if (const service_room *room = m_load.find(one.service)) {
            for (std::size_t i = 0; i < room->domains.size(); ++i) {
                if (room->domains[i].failureDomain == m_failureDomain) {
                    one.ownDomainShare = room->shares[i];
                }
            }
        }
        figures.push_back(std::move(one));
    }
    return figures;
}

void forwarder::setPeerLoads(const std::vector<peer_server_load> &loads, time_point now)
{
    for (const auto &[key, state] : m_evidence.conditions()) {
        if (state.peerFlows + state.suspiciousPeers > 0) {
            m_evidence.setPeerLoad(key, 0, 0, {});
        }
    }
    for (const peer_server_load &load : loads) {
        const bool answered = load.answeredAgo < peer_server_load::NeverAnswered;
        m_evidence.setPeerLoad(load.server, load.flowCount, load.suspiciousInstances,
                               answered ? now - load.answeredAgo : time_point{});
        if (answered && m_pace.share(load.server) < 1) {
            const server_usage *usage = m_load.usageOf(load.server);
            m_pace.onPeerAnswer(load.server, now - load.answeredAgo,
                                usage ? usage->answerTime : duration::zero(),
                                usualAnswerTime(load.server));
        }
    }
}

duration forwarder::usualAnswerTime(server_key server) const
{
    const directory_server *found = m_directory ? m_directory->byKey(server) : nullptr;
    return found ? m_load.usualAnswerTime(found->entry.service) : duration::zero();
}

void forwarder::setSilentDomains(std::set<std::string> domains)
{
    m_evidence.setSilentDomains(domains);
    m_placement.setSilentDomains(domains);
    m_silentDomains = std::move(domains);
}

std::vector<peer_server_load> forwarder::loads(time_point now) const
{
    std::vector<peer_server_load> loads;
    for (const auto &[key, state] : m_evidence.conditions()) {
        const duration answeredAgo = now - state.lastAnswer;
        const bool answered = answeredAgo < AnswerReportTime;
        if (state.openFlows + state.openingFlows == 0 && !answered) {
            continue;
        }
        const bool hasAnswerTime = now - state.lastAnswerTime < AnswerReportTime;
        loads.push_back({key, state.openFlows + state.openingFlows,
                         m_evidence.confirmsSilence(key, now) ? 1U : 0U,
                         answered ? std::chrono::floor<std::chrono::milliseconds>(answeredAgo)
                                  : peer_server_load::NeverAnswered,
                         state.meanBusyFlows, hasAnswerTime ? state.answerTime : duration::zero()});
    }
    return loads;
}

bool forwarder::isOpening(const flow_id &flow) const
{
    const flow_table_entry *record = m_flows.find(flow);
    return record && record->state == flow_table_entry::phase::Opening;
}

forwarding_decision forwarder::decide(const flow_packet &packet, time_point now)
{
    if (!m_directory) {
        return refuse(packet, forwarding_refusal::NotReady, false);
    }
    if (packet.opens && packet.acknowledges) {
        // Only backend servers send SYN with ACK, and their packets do not pass through an
        // instance.
        return refuse(packet, forwarding_refusal::Malformed, false);
    }
    return packet.opens ? decideOpening(packet, now) : decideOpen(packet, now);
}

forwarding_decision forwarder::decideOpening(const flow_packet &packet, time_point now)
{
    flow_table_entry *record = m_flows.find(packet.flow);
    const bool isCopy = packet.acknowledged > 0;
    const auto found = m_directory->routes().routes.find(packet.flow.service);
    if (found == m_directory->routes().routes.end()) {
        // Another instance may have forwarded an earlier copy, so the flow may be open already.
        return refuse(packet, forwarding_refusal::NoRoute, !isCopy);
    }
    if (record && record->isReusedBy(packet.sequence)) {
        reuse(*record, now);
    }
    if (record && record->state == flow_table_entry::phase::Open) {
        const directory_server *server = m_directory->byKey(record->server);
        if (server) {
            return forward_packet{server->entry.key, server->entry.address, server->token};
        }
    }
    if (record && record->state == flow_table_entry::phase::Opening && record->offerCount > 0) {
        if (!isCopy || now - record->offeredAt < OfferTimeout) {
            // The network duplicated the packet, or this instance was stalled and forwarded the
            // previous copy only moments ago.
            const directory_server *server = m_directory->byKey(record->server);
            if (server) {
                return forward_packet{server->entry.key, server->entry.address, server->token};
            }
        }
        m_evidence.onSilence(record->server, now);
    }
    return offer(packet, found->second, record, now);
}

forwarding_decision forwarder::offer(const flow_packet &packet, const route &to,
                                     flow_table_entry *record, time_point now)
{
    const std::string *service = m_placement.chooseService(to);
    if (!service) {
        return refuse(packet, forwarding_refusal::NoServerUsable, packet.acknowledged == 0);
    }
    const bool offeredBefore = record && record->offerCount > 0;
    // The packet can be a duplicate of one whose flow is open at a server unknown here. With a full
    // table, duplicates of offered packets cannot be told from new ones.
    const bool isNew = record ? record->state == flow_table_entry::phase::Opening && !offeredBefore
                              : !m_flows.isFull();
    if (packet.acknowledged == 0 && isNew && isShed(packet, to, *service)) {
        return refuse(packet, forwarding_refusal::LoadShed, true);
    }
    const auto choice = m_placement.choose(inputs(), *service, to.priority,
                                           offeredBefore ? record : nullptr, now);
    if (choice) {
        if (!record) {
            record = m_flows.add(packet.flow, now);
        }
        if (record) {
            record->openingSequence = packet.sequence;
        }
        return place(packet.flow, *service, *choice, packet.acknowledged, record, now);
    }
    if (offeredBefore) {
        // No other server is left. The last one may not have received the packet, so offer it
        // again.
        const directory_server *server = m_directory->byKey(record->server);
        if (server && server->acceptsNewFlows()) {
            const placement_choice again{server, placement_tier::SetAside, 0.0, {}, 0};
            return place(packet.flow, *service, again, packet.acknowledged, record, now);
        }
    }
    return deferOrRefuse(packet, *service, record, now);
}

bool forwarder::isShed(const flow_packet &packet, const route &to, const std::string &service)
{
    const std::uint32_t serviceTag = demandTag(service);
    const std::uint32_t routeTag = demandTag(packet.flow.service);
    if (m_admission.admits(serviceTag, routeTag, packet.flow.caller.address, m_refusalRound,
                           to.timeout)) {
        return false;
    }
    m_meter.onRefused(serviceTag, routeTag);
    return true;
}

forward_packet forwarder::place(const flow_id &flow, const std::string &service,
                                const placement_choice &choice, std::uint32_t copy,
                                flow_table_entry *record, time_point now)
{
    const directory_server &server = *choice.server;
    const server_key key = server.entry.key;
    if (now < server.coldUntil) {
        const auto limits = m_directory->routes().services.find(service);
        const bool hasLimits = limits != m_directory->routes().services.end();
        m_coldStarts.spend(key, hasLimits ? limits->second.coldRequestsPerSecond : 0.0, now);
    }
    if (record) {
        if (record->offerCount == 0) {
            record->serviceTag = demandTag(service);
            record->routeTag = demandTag(flow.service);
            m_meter.onNewFlow(record->serviceTag, record->routeTag,
                              1 / m_admission.share(record->serviceTag, record->routeTag));
        }
        record->state = flow_table_entry::phase::Opening;
        record->server = key;
        record->offeredAt = now;
        record->lastSeen = now;
        if (record->offerCount < MaxOffers) {
            record->offers[record->offerCount++] = key;
        }
        m_evidence.onOffer(key, now);
        m_offers.emplace_back(now, flow);
    }
    m_observer.onPlacement({flow, service, key, server.entry.address, server.token, choice.tier,
                            choice.load, choice.wait, choice.candidates, copy,
                            m_directory->serial(), m_directory->routes().version});
    return forward_packet{key, server.entry.address, server.token};
}

std::vector<further_offer> forwarder::offerAgain(time_point now)
{
    std::vector<further_offer> offers;
    if (std::exchange(m_lastOfferCheck, now) + MaxOfferCheckGap < now) {
        // This instance was stalled; answers may still be in its receive queue.
        m_offerChecksResumeAt = now + OfferTimeout;
    }
    if (now < m_offerChecksResumeAt) {
        return offers;
    }
    m_evidence.checkLateOffers(now);
    while (!m_offers.empty() && now - m_offers.front().first > OfferTimeout) {
        const flow_id flow = m_offers.front().second;
        m_offers.pop_front();
        flow_table_entry *record = m_flows.find(flow);
        // If the flow was offered again since, a later entry of the queue covers that offer.
        if (!record || record->state != flow_table_entry::phase::Opening
            || now - record->offeredAt <= OfferTimeout || record->offerCount >= MaxOffers) {
            continue;
        }
        const auto found = m_directory->routes().routes.find(flow.service);
        const std::string *service = found == m_directory->routes().routes.end()
                                             ? nullptr
                                             : m_placement.chooseService(found->second);
        if (!service) {
            continue;
        }
        const auto choice =
                m_placement.choose(inputs(), *service, found->second.priority, record, now);
        if (!choice || choice->tier != placement_tier::Warm) {
            continue;
        }
        m_evidence.onLateOffer(record->server, record->offeredAt, now);
        const time_point lastSeen = record->lastSeen;
        const forward_packet target = place(flow, *service, *choice, 0, record, now);
        record->lastSeen = lastSeen;
        offers.push_back({flow, target});
    }
    return offers;
}

forwarding_decision forwarder::deferOrRefuse(const flow_packet &packet, const std::string &service,
                                             flow_table_entry *record, time_point now)
{
    const bool isCopy = packet.acknowledged > 0;
    if (m_directory->candidates(service).empty()) {
        const bool seenFromTheStart = record && record->offerCount == 0;
        return refuse(packet, forwarding_refusal::NoServerUsable, !isCopy || seenFromTheStart);
    }
    // The remaining servers are at their limits, for example cold ones at their rate. A later copy
    // of the opening packet may be placed.
    if (!record && !isCopy) {
        record = m_flows.add(packet.flow, now);
        if (record) {
            record->openingSequence = packet.sequence;
        }
    }
    const bool neverOffered = record && record->offerCount == 0;
    return refuse(packet, forwarding_refusal::Overloaded,
                  neverOffered && packet.acknowledged >= LastCopyNumber);
}

forwarding_decision forwarder::decideOpen(const flow_packet &packet, time_point now)
{
    if (m_directory->routes().withdrawnAddresses.contains(packet.flow.service)) {
        return refuse(packet, forwarding_refusal::RouteWithdrawn, !packet.resets);
    }
    const directory_server *server = m_directory->byToken(packet.token);
    if (!server) {
        return refuse(packet, forwarding_refusal::UnknownToken, false);
    }
    trackFlow(packet, server->entry.key, now);
    if (shouldResetFlow(packet, *server, now)) {
        return refuse(packet, forwarding_refusal::BackendServerDead, true);
    }
    // The flow keeps its token, also if new flows of the server get another one by now.
    return forward_packet{server->entry.key, server->entry.address, packet.token};
}

bool forwarder::shouldResetFlow(const flow_packet &packet, const directory_server &server,
                                time_point now)
{
    if (packet.dataLength == 0 || packet.resets || !m_evidence.isSilent(server.entry.key, now)) {
        return false;
    }
    const auto found = m_directory->routes().routes.find(packet.flow.service);
    if (found == m_directory->routes().routes.end() || !found->second.idempotent) {
        // The caller cannot safely retry the request, and the server may still answer.
        return false;
    }
    for (const std::size_t index : m_directory->candidates(server.entry.service)) {
        const directory_server &other = m_directory->servers()[index];
        if (m_evidence.trustIn(other.entry.key, now) != server_trust::Answering) {
            continue;
        }
        return true;
    }
    return false;
}

void forwarder::trackFlow(const flow_packet &packet, server_key server, time_point now)
{
    flow_table_entry *record = m_flows.find(packet.flow);
    if (!record) {
        if (packet.finishes || packet.resets) {
            return;
        }
        record = m_flows.add(packet.flow, now);
        if (!record) {
            return;
        }
        markOpen(packet, *record, server);
    } else if (record->state == flow_table_entry::phase::Opening) {
        onFirstPacketAfterOpening(packet, *record, server, now);
    }
    const time_point lastSeen = std::exchange(record->lastSeen, now);
    if (record->state == flow_table_entry::phase::Finished) {
        return;
    }
    trackData(packet, *record, lastSeen, now);
    if (packet.finishes || packet.resets) {
        finish(*record);
    }
}

void forwarder::onFirstPacketAfterOpening(const flow_packet &packet, flow_table_entry &record,
                                          server_key server, time_point now)
{
    if (record.offerCount > 0) {
        if (!isRecentAcknowledgement(packet, record.offeredAt, now)) {
            m_evidence.onWithdrawnOffer(record.server);
        } else if (record.server == server) {
            m_evidence.onAnswer(server, now);
        } else {
            // An earlier offer was answered; this shows nothing about the server of the last one.
            m_evidence.onWithdrawnOffer(record.server);
            m_evidence.onLateAnswer(server, now);
        }
    }
    markOpen(packet, record, server);
    m_observer.onOpened(packet.flow, server, now - record.firstSeen);
}

void forwarder::markOpen(const flow_packet &packet, flow_table_entry &record, server_key server)
{
    record.state = flow_table_entry::phase::Open;
    record.server = server;
    record.acknowledged = packet.acknowledged;
    record.nextSequence = packet.sequence;
    record.deliveredSequence = packet.sequence;
    if (record.serviceTag == 0) {
        // Another instance has placed the flow.
        const directory_server *found = m_directory->byKey(server);
        record.serviceTag = found ? demandTag(found->entry.service) : 0;
        record.routeTag = demandTag(packet.flow.service);
        record.hasCarriedRequest = true;
    }
    m_evidence.addOpenFlows(server, 1);
}

void forwarder::trackData(const flow_packet &packet, flow_table_entry &record, time_point lastSeen,
                          time_point now)
{
    const bool isRecent = isRecentAcknowledgement(packet, lastSeen, now);
    if (isAfter(packet.acknowledged, record.acknowledged)) {
        record.acknowledged = packet.acknowledged;
        if (isRecent) {
            m_evidence.onProgress(record.server, now);
        }
        if (record.requestPending) {
            record.requestPending = false;
            m_evidence.addBusyFlows(record.server, -1);
            if (isRecent) {
                onAnswerTime(record, now);
            } else {
                m_meter.onAbandoned(record.serviceTag, record.routeTag);
            }
        } else if (std::exchange(record.requestOverdue, false) && isRecent) {
            // Without these answers, the time that answers take could never exceed the lifetime of
            // requests.
            m_evidence.onAnswerTime(record.server, now - record.requestedAt, now);
        }
    }
    if (packet.dataLength == 0) {
        return;
    }
    const std::uint32_t end = packet.sequence + packet.dataLength;
    if (!isAfter(end, record.nextSequence)) {
        if (now - record.lastRetransmission >= RetransmissionRoundTime) {
            record.lastRetransmission = now;
            m_evidence.onRetransmission(record.server, now);
        }
        return;
    }
    record.nextSequence = end;
    // Measure retransmissions from when the data was forwarded, not from when the caller sent it:
    // after a stall of this instance, original and retransmission arrive together.
    record.lastRetransmission = now;
    if (isAfter(end, record.deliveredSequence + CallerWindowBytes)) {
        // The caller could send this only because the server acknowledged earlier data.
        record.deliveredSequence = end - CallerWindowBytes;
        if (isRecent) {
            m_evidence.onProgress(record.server, now);
        }
    }
    if (!record.requestPending) {
        record.requestPending = true;
        record.requestOverdue = false;
        record.requestedAt = now;
        m_evidence.addBusyFlows(record.server, 1);
        m_requests.emplace_back(now, packet.flow);
        m_meter.onRequest(record.serviceTag, record.routeTag,
                          !std::exchange(record.hasCarriedRequest, true));
    }
}

void forwarder::onAnswerTime(const flow_table_entry &record, time_point now)
{
    const duration length = now - record.requestedAt;
    m_evidence.onAnswerTime(record.server, length, now);
    m_meter.onAnswer(record.serviceTag, record.routeTag, length);
    m_pace.onAnswer(record.server, length, usualAnswerTime(record.server), now);
}

void forwarder::finish(flow_table_entry &record)
{
    if (record.state != flow_table_entry::phase::Open) {
        return;
    }
    record.state = flow_table_entry::phase::Finished;
    m_evidence.addOpenFlows(record.server, -1);
    endRequest(record);
}

void forwarder::endRequest(flow_table_entry &record)
{
    if (!std::exchange(record.requestPending, false)) {
        return;
    }
    m_evidence.addBusyFlows(record.server, -1);
    m_meter.onAbandoned(record.serviceTag, record.routeTag);
}

void forwarder::expireRequests(time_point now)
{
    const duration longest = std::max(m_evidence.longestAnswerTime(), MinRequestLifetime);
    while (!m_requests.empty() && now - m_requests.front().first > longest) {
        const auto [requestedAt, flow] = m_requests.front();
        m_requests.pop_front();
        flow_table_entry *record = m_flows.find(flow);
        if (record && record->requestPending && record->requestedAt == requestedAt) {
            endRequest(*record);
            record->requestOverdue = true;
        }
    }
}

void forwarder::reuse(flow_table_entry &record, time_point now)
{
    if (record.state == flow_table_entry::phase::Opening && record.offerCount > 0) {
        m_evidence.onWithdrawnOffer(record.server);
    }
    finish(record);
    record = flow_table_entry{};
    record.firstSeen = now;
    record.lastSeen = now;
}

forwarding_decision forwarder::refuse(const flow_packet &packet, forwarding_refusal reason,
                                      bool reset)
{
    m_observer.onRefusal({packet.flow, reason, reset, packet.opens, packet.token,
                          m_directory ? m_directory->serial() : 0,
                          m_directory ? m_directory->routes().version : 0});
    if (reset) {
        return reset_flow{reason};
    }
    return drop_packet{reason};
}

void forwarder::tick(time_point now)
{
    duration idleTimeout = DefaultIdleTimeout;
    if (m_directory && m_directory->routes().idleTimeout > 0ms) {
        idleTimeout = m_directory->routes().idleTimeout;
    }
    for (flow_table_entry &record : m_flows.removeIdle(now, idleTimeout)) {
        if (record.state == flow_table_entry::phase::Opening && record.offerCount > 0) {
            m_evidence.onAbandonedOffer(record.server, record.offeredAt, now);
        }
        finish(record);
    }
    m_coldStarts.removeIdle(now);
    expireRequests(now);
    m_evidence.tick();
    m_meter.tick([this](std::uint32_t service) { return m_admission.isLightlyLoaded(service); },
                 now);
    for (const trust_change &change : m_evidence.takeChanges()) {
        m_observer.onTrustChange(change);
        if (change.setAside) {
            m_pace.onSilence(change.server, now);
        } else if (!change.answeredOthers) {
            const directory_server *server =
                    m_directory ? m_directory->byKey(change.server) : nullptr;
            m_pace.begin(change.server, server ? std::max(now, server->coldUntil) : now);
        }
    }
    m_pace.tick(now);
    for (const pace_change &change : m_pace.takeChanges()) {
        m_observer.onPaceChange(change);
    }
}

} // namespace ebonyway
