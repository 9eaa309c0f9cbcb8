#include "forwarding/connection/forwarder.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Used until a desired state names its own.
constexpr duration DefaultIdleTimeout = 15s;

// Callers send two copies of an opening packet; the second one is the last chance to answer.
constexpr std::uint32_t LastCopy = 2;

// Callers have at most 16 packets of 1,200 bytes under way.
constexpr std::uint32_t CallerWindowBytes = 16 * 1'200;

// A caller repeats all packets that are under way at once, 200 ms or more after the last time. They
// are one sign of silence.
constexpr duration RepeatRound = 150ms;

// Offers are checked every 20 ms; a longer gap shows that the instance was short of processor time.
constexpr duration LongestCheckGap = 50ms;

// Other instances hear for this long that a server has answered; suspicions are as old at most.
constexpr duration AnswerReportTime = 2s;

// Callers repeat data after 200 ms at the earliest.
constexpr duration FirstRepeatTime = 200ms;

/**
 * Returns whether what the packet acknowledges has arrived at the caller just now. A repeat of data
 * acknowledges what may have arrived long ago, if other packets of its flow took another way since
 * `lastSeen`.
 */
bool acknowledgesJustNow(const flow_packet &packet, time_point lastSeen, time_point now)
{
    return packet.dataLength == 0 || now - lastSeen < FirstRepeatTime;
}

/** Compares sequence numbers, which wrap around. */
bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

forwarder::forwarder(forwarder_options options, forwarding_observer &observer)
    : m_placement(std::move(options.failureDomain), options.seed)
    , m_observer(observer)
    , m_flows(options.flowCapacity)
{ }

void forwarder::adopt(std::shared_ptr<const directory> known)
{
    if (m_known) {
        for (const directory_server &server : known->servers()) {
            const directory_server *before = m_known->byToken(server.token);
            if (before && before->entry.startedAt != server.entry.startedAt) {
                // It has started again under its old id, so what was seen of it no longer holds.
                m_evidence.forget(server.entry.key);
            }
        }
    }
    m_known = std::move(known);
    m_evidence.adopt(*m_known);
}

void forwarder::setInstances(std::size_t count)
{
    m_coldStarts.setInstances(count);
}

void forwarder::setPeerLoads(const std::vector<peer_server_load> &loads, time_point now)
{
    for (const auto &[key, state] : m_evidence.all()) {
        if (state.peersOpen + state.peersSuspicious > 0) {
            m_evidence.setPeerLoad(key, 0, 0, {});
        }
    }
    for (const peer_server_load &load : loads) {
        const bool answered = load.answeredAgo < peer_server_load::NeverAnswered;
        m_evidence.setPeerLoad(load.server, load.open, load.suspicious,
                               answered ? now - load.answeredAgo : time_point{});
    }
}

void forwarder::setSilentDomains(std::set<std::string> domains)
{
    m_evidence.setSilentDomains(domains);
    m_placement.setSilentDomains(std::move(domains));
}

std::vector<peer_server_load> forwarder::loads(time_point now) const
{
    std::vector<peer_server_load> loads;
    for (const auto &[key, state] : m_evidence.all()) {
        const duration answeredAgo = now - state.lastAnswer;
        const bool answered = answeredAgo < AnswerReportTime;
        if (state.open + state.opening == 0 && !answered) {
            continue;
        }
        loads.push_back({key, state.open + state.opening,
                         m_evidence.confirmsSilence(key, now) ? 1U : 0U,
                         answered ? std::chrono::floor<std::chrono::milliseconds>(answeredAgo)
                                  : peer_server_load::NeverAnswered});
    }
    return loads;
}

bool forwarder::isOpening(const flow_id &flow) const
{
    const followed_flow *record = m_flows.find(flow);
    return record && record->state == followed_flow::phase::Opening;
}

forwarding_decision forwarder::decide(const flow_packet &packet, time_point now)
{
    if (!m_known) {
        return refuse(packet, forwarding_refusal::NotReady, false);
    }
    if (packet.opens && packet.acknowledges) {
        // Only backend servers answer an opening packet, and their packets do not pass here.
        return refuse(packet, forwarding_refusal::Malformed, false);
    }
    return packet.opens ? decideOpening(packet, now) : decideOpen(packet, now);
}

forwarding_decision forwarder::decideOpening(const flow_packet &packet, time_point now)
{
    followed_flow *record = m_flows.find(packet.flow);
    const bool isCopy = packet.acknowledged > 0;
    const auto found = m_known->routes().routes.find(packet.flow.service);
    if (found == m_known->routes().routes.end()) {
        // Another instance may have forwarded an earlier copy, so the flow may be open already.
        return refuse(packet, forwarding_refusal::NoRoute, !isCopy);
    }
    if (record && record->state == followed_flow::phase::Open) {
        const directory_server *server = m_known->byToken(tokenOf(record->server));
        if (server) {
            return forward_packet{server->entry.key, server->entry.address, server->token};
        }
    }
    if (record && record->state == followed_flow::phase::Opening && record->offerCount > 0) {
        if (!isCopy || now - record->offeredAt < AnswerTime) {
            // The network doubled the packet, or this instance was stalled and has only just
            // forwarded the one before.
            const directory_server *server = m_known->byToken(tokenOf(record->server));
            if (server) {
                return forward_packet{server->entry.key, server->entry.address, server->token};
            }
        }
        m_evidence.onSilence(record->server, now);
    }
    return offer(packet, found->second, record, now);
}

forwarding_decision forwarder::offer(const flow_packet &packet, const route &to,
                                     followed_flow *record, time_point now)
{
    const std::string *service = m_placement.chooseService(to);
    if (!service) {
        return refuse(packet, forwarding_refusal::NoServerUsable, packet.acknowledged == 0);
    }
    const bool offeredBefore = record && record->offerCount > 0;
    const auto choice = m_placement.choose(*m_known, m_evidence, m_coldStarts, *service,
                                           offeredBefore ? record : nullptr, now);
    if (choice) {
        if (!record) {
            record = m_flows.add(packet.flow, now);
        }
        return place(packet.flow, *service, *choice, packet.acknowledged, record, now);
    }
    if (offeredBefore) {
        // Nobody else is left; the first choice may have lost a packet.
        const directory_server *server = m_known->byToken(tokenOf(record->server));
        if (server && server->acceptsNewFlows()) {
            const placement_choice again{server, placement_tier::SetAside, 0.0, 0};
            return place(packet.flow, *service, again, packet.acknowledged, record, now);
        }
    }
    return holdOrRefuse(packet, *service, record, now);
}

forward_packet forwarder::place(const flow_id &flow, const std::string &service,
                                const placement_choice &choice, std::uint32_t copy,
                                followed_flow *record, time_point now)
{
    const directory_server &server = *choice.server;
    const server_key key = server.entry.key;
    if (now < server.coldUntil) {
        const auto limits = m_known->routes().services.find(service);
        const bool known = limits != m_known->routes().services.end();
        m_coldStarts.spend(key, known ? limits->second.coldRequestsPerSecond : 0.0, now);
    }
    if (record) {
        record->state = followed_flow::phase::Opening;
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
                            choice.load, choice.candidates, copy, m_known->serial(),
                            m_known->routes().version});
    return forward_packet{key, server.entry.address, server.token};
}

std::vector<further_offer> forwarder::offerAgain(time_point now)
{
    std::vector<further_offer> offers;
    if (std::exchange(m_lastOfferCheck, now) + LongestCheckGap < now) {
        // This instance stood still; answers may wait in its receive queue.
        m_judgeOffersAfter = now + AnswerTime;
    }
    if (now < m_judgeOffersAfter) {
        return offers;
    }
    m_evidence.checkLateOffers(now);
    while (!m_offers.empty() && now - m_offers.front().first > AnswerTime) {
        const flow_id flow = m_offers.front().second;
        m_offers.pop_front();
        followed_flow *record = m_flows.find(flow);
        // A flow that was offered again since has a later entry of its own.
        if (!record || record->state != followed_flow::phase::Opening
            || now - record->offeredAt <= AnswerTime || record->offerCount >= MaxOffers) {
            continue;
        }
        const auto found = m_known->routes().routes.find(flow.service);
        const std::string *service = found == m_known->routes().routes.end()
                                             ? nullptr
                                             : m_placement.chooseService(found->second);
        if (!service) {
            continue;
        }
        const auto choice =
                m_placement.choose(*m_known, m_evidence, m_coldStarts, *service, record, now);
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

forwarding_decision forwarder::holdOrRefuse(const flow_packet &packet, const std::string &service,
                                            followed_flow *record, time_point now)
{
    const bool isCopy = packet.acknowledged > 0;
    if (m_known->candidates(service).empty()) {
        const bool seenFromTheStart = record && record->offerCount == 0;
        return refuse(packet, forwarding_refusal::NoServerUsable, !isCopy || seenFromTheStart);
    }
    // Cold backend servers take no more flows right now; a later copy may find room.
    if (!record && !isCopy) {
        record = m_flows.add(packet.flow, now);
    }
    const bool neverOffered = record && record->offerCount == 0;
    return refuse(packet, forwarding_refusal::Overloaded,
                  neverOffered && packet.acknowledged >= LastCopy);
}

forwarding_decision forwarder::decideOpen(const flow_packet &packet, time_point now)
{
    if (m_known->routes().withdrawn.contains(packet.flow.service)) {
        return refuse(packet, forwarding_refusal::RouteWithdrawn, !packet.resets);
    }
    const directory_server *server = m_known->byToken(packet.token);
    if (!server) {
        return refuse(packet, forwarding_refusal::UnknownToken, false);
    }
    follow(packet, server->entry.key, now);
    if (shouldGiveUp(packet, *server, now)) {
        return refuse(packet, forwarding_refusal::BackendServerDead, true);
    }
    return forward_packet{server->entry.key, server->entry.address, server->token};
}

bool forwarder::shouldGiveUp(const flow_packet &packet, const directory_server &server,
                             time_point now)
{
    if (packet.dataLength == 0 || packet.resets || !m_evidence.isSilent(server.entry.key, now)) {
        return false;
    }
    const auto found = m_known->routes().routes.find(packet.flow.service);
    if (found == m_known->routes().routes.end() || !found->second.idempotent) {
        // The caller could not repeat the request; the server may still answer late.
        return false;
    }
    for (const std::size_t index : m_known->candidates(server.entry.service)) {
        const directory_server &other = m_known->servers()[index];
        if (m_evidence.trustIn(other.entry.key, now) != server_trust::Answering) {
            continue;
        }
        return true;
    }
    return false;
}

void forwarder::follow(const flow_packet &packet, server_key server, time_point now)
{
    followed_flow *record = m_flows.find(packet.flow);
    if (!record) {
        if (packet.finishes || packet.resets) {
            return;
        }
        record = m_flows.add(packet.flow, now);
        if (!record) {
            return;
        }
        markOpen(packet, *record, server);
    } else if (record->state == followed_flow::phase::Opening) {
        onFirstPacketAfterOpening(packet, *record, server, now);
    }
    const time_point lastSeen = std::exchange(record->lastSeen, now);
    if (record->state == followed_flow::phase::Finished) {
        return;
    }
    followData(packet, *record, lastSeen, now);
    if (packet.finishes || packet.resets) {
        finish(*record);
    }
}

void forwarder::onFirstPacketAfterOpening(const flow_packet &packet, followed_flow &record,
                                          server_key server, time_point now)
{
    if (record.offerCount > 0) {
        if (!acknowledgesJustNow(packet, record.offeredAt, now)) {
            m_evidence.onWithdrawnOffer(record.server);
        } else if (record.server == server) {
            m_evidence.onAnswer(server, now);
        } else {
            // Nothing is known about the last offer.
            m_evidence.onWithdrawnOffer(record.server);
            m_evidence.onLateAnswer(server, now);
        }
    }
    markOpen(packet, record, server);
    m_observer.onOpened(packet.flow, server, now - record.firstSeen);
}

void forwarder::markOpen(const flow_packet &packet, followed_flow &record, server_key server)
{
    record.state = followed_flow::phase::Open;
    record.server = server;
    record.acknowledged = packet.acknowledged;
    record.nextSequence = packet.sequence;
    record.deliveredSequence = packet.sequence;
    m_evidence.addOpen(server, 1);
}

void forwarder::followData(const flow_packet &packet, followed_flow &record, time_point lastSeen,
                           time_point now)
{
    const bool isJustNow = acknowledgesJustNow(packet, lastSeen, now);
    if (isAfter(packet.acknowledged, record.acknowledged)) {
        record.acknowledged = packet.acknowledged;
        if (isJustNow) {
            m_evidence.onProgress(record.server, now);
        }
        if (record.busy) {
            record.busy = false;
            m_evidence.addBusy(record.server, -1);
            if (isJustNow) {
                m_evidence.onAnswerTime(record.server, now - record.requestedAt);
            }
        }
    }
    if (packet.dataLength == 0) {
        return;
    }
    const std::uint32_t end = packet.sequence + packet.dataLength;
    if (!isAfter(end, record.nextSequence)) {
        if (now - record.lastRepeat >= RepeatRound) {
            record.lastRepeat = now;
            m_evidence.onRepeat(record.server, now);
        }
        return;
    }
    record.nextSequence = end;
    // A repeat counts from when the data was forwarded, not from when the caller sent it: after a
    // stall of this instance both arrive at once.
    record.lastRepeat = now;
    if (isAfter(end, record.deliveredSequence + CallerWindowBytes)) {
        // The caller could send this only because the server acknowledged earlier data.
        record.deliveredSequence = end - CallerWindowBytes;
        if (isJustNow) {
            m_evidence.onProgress(record.server, now);
        }
    }
    if (!record.busy) {
        record.busy = true;
        record.requestedAt = now;
        m_evidence.addBusy(record.server, 1);
    }
}

void forwarder::finish(followed_flow &record)
{
    if (record.state != followed_flow::phase::Open) {
        return;
    }
    record.state = followed_flow::phase::Finished;
    m_evidence.addOpen(record.server, -1);
    if (record.busy) {
        record.busy = false;
        m_evidence.addBusy(record.server, -1);
    }
}

forwarding_decision forwarder::refuse(const flow_packet &packet, forwarding_refusal reason,
                                      bool reset)
{
    m_observer.onRefusal({packet.flow, reason, reset, packet.opens, packet.token,
                          m_known ? m_known->serial() : 0,
                          m_known ? m_known->routes().version : 0});
    if (reset) {
        return reset_flow{reason};
    }
    return drop_packet{reason};
}

void forwarder::tick(time_point now)
{
    duration idleTimeout = DefaultIdleTimeout;
    if (m_known && m_known->routes().idleTimeout > 0ms) {
        idleTimeout = m_known->routes().idleTimeout;
    }
    for (followed_flow &record : m_flows.removeIdle(now, idleTimeout)) {
        if (record.state == followed_flow::phase::Opening && record.offerCount > 0) {
            m_evidence.onAbandonedOffer(record.server, record.offeredAt, now);
        }
        finish(record);
    }
    m_coldStarts.removeIdle(now);
    for (const trust_change &change : m_evidence.takeChanges()) {
        m_observer.onTrustChange(change);
    }
}

} // namespace ebonyway
