#include "forwarding/connection/server_evidence.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Number of consecutive unanswered offers after which a server is set aside. A single one may be
// due to packet loss; two in a row are unlikely to be.
constexpr std::uint32_t SilencesUntilSetAside = 2;

// Periods for which a server is set aside: the first one, doubled after each failed trial up to the
// maximum. Within about four heartbeats of 1.2 s, a crashed server has restarted or has been
// removed from the store.
constexpr duration InitialSetAsidePeriod = 1s;
constexpr duration MaxSetAsidePeriod = 4s;

// Number of suspicions without any progress in between after which a server counts as silent.
// Single packets get lost, but rarely three of different flows while other packets arrive.
constexpr std::uint32_t SuspicionsUntilSilent = 3;

// Number of suspicions that suffices while several servers of the same failure domain are suspected
// and none of them makes progress. One is too few: a server of the domain may still work without
// this instance seeing its traffic.
constexpr std::uint32_t SuspicionsInSilentDomain = 2;

// Minimum time since the first suspicion before a server looks silent. Suspicions within a shorter
// period may be due to a single burst of packet loss.
constexpr duration MinSuspicionPeriod = 150ms;

// Suspicions expire if none is added for this long. This must exceed the longest interval between
// two retransmissions of a caller: 200 ms, 400 ms, 800 ms and then 1.6 s each.
constexpr duration SuspicionLifetime = 2s;

// If no server makes progress for this long, the instance itself may be cut off, so it cannot tell
// which server is silent.
constexpr duration MaxTimeWithoutProgress = 300ms;

// If more suspicions than MaxFalseSuspicions proved false within FalseSuspicionLifetime, the
// instance is assumed to lose packets on its own link. Requests that take longer than the callers'
// 200 ms cause about one false suspicion in this time.
constexpr std::size_t MaxFalseSuspicions = 3;
constexpr duration FalseSuspicionLifetime = 5s;

// If more other servers than this are suspected, this instance's own link may be the cause.
constexpr std::size_t MaxOtherSuspects = 1;

// Time after the first suspicion during which a server is not yet considered silent, because other
// instances may still report an answer of it: peers send heartbeats every 250 ms, with data
// collected during the last 200 ms.
constexpr duration ContradictionDelay = 450ms;

// After this time, a server that answers other instances but not this one counts as unreachable
// from here. Twice the callers' longest wait for the first answer to a new flow would miss their
// goals.
constexpr duration MaxContradictionTime = 1500ms;

// Gain of the mean number of busy flows for each tick of 200 ms: a mean of about a second, long
// enough that a report which is a second old still describes the server.
constexpr double BusyFlowsGain = 0.2;

// Time without an answer after which the mean answer time of a server begins anew, so that a server
// that has recovered is not judged by its past.
constexpr duration AnswerTimeLifetime = 2s;

// Callers retransmit an opening packet after this time; a later answer counts as missing.
constexpr duration CallerRetransmissionTime = 200ms;

void addTo(std::uint32_t &count, int change)
{
    count = static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::int64_t{count} + change));
}

} // namespace

const char *serverTrustName(server_trust trust)
{
    switch (trust) {
    case server_trust::Answering:
        return "answering";
    case server_trust::Overdue:
        return "overdue";
    case server_trust::OnTrial:
        return "on_trial";
    case server_trust::SetAside:
        return "set_aside";
    }
    return "answering";
}

void server_evidence::adopt(const directory &serverDirectory)
{
    m_locations.clear();
    for (const directory_server &server : serverDirectory.servers()) {
        m_locations.emplace(server.entry.key,
                            server_location{server.entry.failureDomain, server.entry.service});
    }
    std::erase_if(m_conditions,
                  [this](const auto &item) { return !m_locations.contains(item.first); });
    for (const auto &[address, to] : serverDirectory.routes().routes) {
        for (const service_share &share : to.shares) {
            m_answerTimes[share.service].assume(to.goal);
        }
    }
}

void server_evidence::onOffer(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    ++state.openingFlows;
    if (!state.oldestOffer) {
        state.oldestOffer = now;
    }
    if (state.setAsideUntil && now >= *state.setAsideUntil) {
        state.trialUnderWay = true;
    }
}

void server_evidence::onAnswer(server_key server, time_point now)
{
    addTo(m_conditions[server].openingFlows, -1);
    onProgress(server, now);
}

void server_evidence::onProgress(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    state.lastAnswer = now;
    m_lastProgress = now;
    state.silences = 0;
    if (std::exchange(state.suspicions, 0) > 0) {
        recordFalseSuspicion(now);
    }
    if (const std::string *domain = domainOf(server)) {
        m_domains[*domain].suspicions = 0;
    }
    state.oldestOffer.reset();
    if (state.openingFlows > 0) {
        state.oldestOffer = now;
    }
    if (state.setAsideUntil) {
        state.setAsideUntil.reset();
        state.failures = 0;
        state.trialUnderWay = false;
        m_changes.push_back({server, false, 0, 0, state.lastPeerAnswer > state.setAsideAt});
    }
}

void server_evidence::onLateAnswer(server_key server, time_point now)
{
    if (condition(server).suspicions == 0) {
        // Otherwise onProgress() records the false suspicion.
        recordFalseSuspicion(now);
    }
    onProgress(server, now);
}

void server_evidence::onSilence(server_key server, time_point now)
{
    suspect(server, now);
    countSilence(server, now);
}

void server_evidence::onAbandonedOffer(server_key server, time_point offeredAt, time_point now)
{
    if (condition(server).lastAnswer >= offeredAt) {
        onWithdrawnOffer(server);
        return;
    }
    countSilence(server, now);
}

void server_evidence::onLateOffer(server_key server, time_point offeredAt, time_point now)
{
    m_lateOffers.push_back({offeredAt, server});
    countSilence(server, now);
}

void server_evidence::checkLateOffers(time_point now)
{
    while (!m_lateOffers.empty()
           && now - m_lateOffers.front().offeredAt > CallerRetransmissionTime) {
        const late_offer late = m_lateOffers.front();
        m_lateOffers.pop_front();
        if (condition(late.server).lastAnswer < late.offeredAt) {
            suspect(late.server, now);
        }
    }
}

void server_evidence::countSilence(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    onWithdrawnOffer(server);
    ++state.silences;
    if (state.trialUnderWay || state.silences >= SilencesUntilSetAside) {
        setAside(server, state, now);
    }
}

void server_evidence::onRetransmission(server_key server, time_point now)
{
    suspect(server, now);
    if (looksSilent(server, now)) {
        setAside(server, m_conditions[server], now);
    }
}

void server_evidence::suspect(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    if (state.suspicions == 0 || now - state.lastSuspicion > SuspicionLifetime) {
        state.suspicions = 0;
        state.firstSuspicion = now;
    }
    ++state.suspicions;
    state.lastSuspicion = now;
    const std::string *domain = domainOf(server);
    if (!domain) {
        return;
    }
    domain_condition &domainState = m_domains[*domain];
    if (domainState.suspicions == 0 || now - domainState.lastSuspicion > SuspicionLifetime) {
        domainState = domain_condition{0, server, false, now};
    }
    ++domainState.suspicions;
    domainState.severalSuspects = domainState.severalSuspects || domainState.firstSuspect != server;
    domainState.lastSuspicion = now;
}

void server_evidence::setAside(server_key server, server_condition &state, time_point now)
{
    const bool isNew = !state.setAsideUntil;
    if (!isNew && !state.trialUnderWay) {
        return;
    }
    const duration period = InitialSetAsidePeriod * (1 << std::min(state.failures, 4U));
    state.setAsideUntil = now + std::min(period, MaxSetAsidePeriod);
    ++state.failures;
    state.trialUnderWay = false;
    if (isNew) {
        state.setAsideAt = now;
        m_changes.push_back({server, true, state.silences, state.suspicions, false});
    }
}

bool server_evidence::domainLooksSilent(server_key server, time_point now) const
{
    const std::string *domain = domainOf(server);
    const auto found = domain ? m_domains.find(*domain) : m_domains.end();
    if (found == m_domains.end()) {
        return false;
    }
    const domain_condition &domainState = found->second;
    return domainState.severalSuspects && domainState.suspicions >= SuspicionsUntilSilent
           && now - domainState.lastSuspicion <= SuspicionLifetime;
}

bool server_evidence::looksSilent(server_key server, time_point now) const
{
    const server_condition &state = condition(server);
    if (now - m_lastProgress > MaxTimeWithoutProgress) {
        // No server answers, so this instance itself is probably cut off or overloaded.
        return false;
    }
    // The first suspicion is about a packet that the caller sent this much earlier.
    const duration silence = now - state.firstSuspicion + CallerRetransmissionTime;
    if (now - state.lastSuspicion > SuspicionLifetime
        || now - state.firstSuspicion < MinSuspicionPeriod || silence < answerTimeBound(server)) {
        return false;
    }
    return state.suspicions >= SuspicionsUntilSilent
           || (state.suspicions >= SuspicionsInSilentDomain && domainLooksSilent(server, now));
}

void server_evidence::onWithdrawnOffer(server_key server)
{
    server_condition &state = m_conditions[server];
    addTo(state.openingFlows, -1);
    if (state.openingFlows == 0) {
        state.oldestOffer.reset();
    }
}

void server_evidence::addOpenFlows(server_key server, int change)
{
    addTo(m_conditions[server].openFlows, change);
}

void server_evidence::addBusyFlows(server_key server, int change)
{
    addTo(m_conditions[server].busyFlows, change);
}

void server_evidence::setSilentDomains(std::set<std::string> domains)
{
    m_silentDomains = std::move(domains);
}

void server_evidence::recordFalseSuspicion(time_point now)
{
    m_falseSuspicions.push_back(now);
    if (m_falseSuspicions.size() > MaxFalseSuspicions + 1) {
        m_falseSuspicions.pop_front();
    }
}

bool server_evidence::hasManyFalseSuspicions(time_point now) const
{
    return m_falseSuspicions.size() > MaxFalseSuspicions
           && now - m_falseSuspicions.front() <= FalseSuspicionLifetime;
}

std::size_t server_evidence::countOtherSuspects(server_key server, time_point now) const
{
    std::size_t count = 0;
    for (const auto &[key, state] : m_conditions) {
        if (key == server || state.suspicions == 0
            || now - state.lastSuspicion > SuspicionLifetime) {
            continue;
        }
        ++count;
    }
    return count;
}

bool server_evidence::confirmsSilence(server_key server, time_point now) const
{
    return !hasManyFalseSuspicions(now) && looksSilent(server, now);
}

bool server_evidence::isSilent(server_key server, time_point now) const
{
    if (!looksSilent(server, now)) {
        return false;
    }
    const server_condition &state = condition(server);
    if (now - state.firstSuspicion < ContradictionDelay) {
        return false;
    }
    if (state.lastPeerAnswer > state.firstSuspicion
        && now - state.firstSuspicion < MaxContradictionTime) {
        // The server answers other instances, so it is busy or temporarily unreachable from this
        // one.
        return false;
    }
    const std::string *domain = domainOf(server);
    if (state.suspiciousPeers > 0 || (domain && m_silentDomains.contains(*domain))) {
        return true;
    }
    return !hasManyFalseSuspicions(now) && countOtherSuspects(server, now) <= MaxOtherSuspects;
}

const std::string *server_evidence::domainOf(server_key server) const
{
    const auto found = m_locations.find(server);
    return found == m_locations.end() ? nullptr : &found->second.failureDomain;
}

duration server_evidence::answerTimeBound(server_key server) const
{
    const auto where = m_locations.find(server);
    const auto found = where == m_locations.end() ? m_answerTimes.end()
                                                  : m_answerTimes.find(where->second.service);
    return found == m_answerTimes.end() ? duration::zero() : found->second.upperBound();
}

void server_evidence::onAnswerTime(server_key server, duration length, time_point now)
{
    server_condition &state = m_conditions[server];
    const bool isFirst = now - std::exchange(state.lastAnswerTime, now) > AnswerTimeLifetime;
    state.answerTime = isFirst ? length : state.answerTime + (length - state.answerTime) / 4;
    const auto where = m_locations.find(server);
    if (where != m_locations.end()) {
        m_answerTimes[where->second.service].add(length);
    }
}

duration server_evidence::longestAnswerTime() const
{
    duration longest{};
    for (const auto &[service, estimate] : m_answerTimes) {
        longest = std::max(longest, estimate.upperBound());
    }
    return longest;
}

void server_evidence::tick()
{
    for (auto &[key, state] : m_conditions) {
        state.meanBusyFlows += (state.busyFlows - state.meanBusyFlows) * BusyFlowsGain;
    }
}

void server_evidence::setPeerLoad(server_key server, std::uint64_t flowCount,
                                  std::uint32_t suspiciousInstances, time_point answeredAt)
{
    server_condition &state = m_conditions[server];
    state.lastPeerAnswer = answeredAt;
    state.peerFlows = flowCount;
    state.suspiciousPeers = suspiciousInstances;
}

server_trust server_evidence::trustIn(server_key server, time_point now) const
{
    const server_condition &state = condition(server);
    if (state.setAsideUntil) {
        const bool mayTry = now >= *state.setAsideUntil && !state.trialUnderWay;
        return mayTry ? server_trust::OnTrial : server_trust::SetAside;
    }
    const bool overdue = state.oldestOffer && now - *state.oldestOffer > OfferTimeout;
    if (overdue || looksSilent(server, now) || domainLooksSilent(server, now)) {
        return server_trust::Overdue;
    }
    return server_trust::Answering;
}

const server_condition &server_evidence::condition(server_key server) const
{
    static const server_condition Unknown;
    const auto found = m_conditions.find(server);
    return found == m_conditions.end() ? Unknown : found->second;
}

void server_evidence::forget(server_key server)
{
    m_conditions.erase(server);
}

std::vector<trust_change> server_evidence::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ebonyway
