#include "forwarding/connection/server_evidence.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// One unanswered offer may be a lost packet; a second one in a row is unlikely to be.
constexpr std::uint32_t SilencesUntilSetAside = 2;

// A crashed server is back or gone from the store within about four heartbeats of 1.2 s.
constexpr duration FirstSetAside = 1s;
constexpr duration LongestSetAside = 4s;

// Signs of silence, without any progress between them, until a server counts as silent. Single
// packets get lost, but hardly three of different flows while others get through.
constexpr std::uint32_t SuspicionsUntilSilent = 3;

// Enough signs of one server while several servers of its failure domain are suspected, and none
// of them makes progress. Other servers of the domain may serve on unseen, so one sign is too few.
constexpr std::uint32_t SuspicionsInSilentDomain = 2;

// Signs that arrive closer together may stem from one lost burst.
constexpr duration ShortestSilence = 150ms;

// Without a new sign for this long, nothing is claimed any more. Callers repeat lost packets after
// 200 ms, 400 ms, 800 ms and then every 1.6 s.
constexpr duration SuspicionLifetime = 2s;

// Without progress of any server for this long, an instance cannot tell who is silent.
constexpr duration OwnSilence = 300ms;

// An instance whose suspicions came to nothing more often than this loses packets on its own link.
// Requests that take longer than the callers' 200 ms cause about one in this time.
constexpr std::size_t MostDisproofs = 3;
constexpr duration DisproofLifetime = 5s;

// While more other servers than this are suspected, the link of this instance may be the cause.
constexpr std::size_t MostOtherSuspects = 1;

// Heartbeats every 250 ms tell what was collected within 200 ms. Only after that can others have
// contradicted.
constexpr duration ContradictionDelay = 450ms;

// A server that answers others, but not here, is out of this instance's reach after this time.
// Twice the callers' longest wait for a new flow's first answer would be too late for their goals.
constexpr duration LongestContradiction = 1500ms;

// Callers repeat an opening packet after this time; an answer that takes longer is none.
constexpr duration CallerRepeatTime = 200ms;

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

void server_evidence::adopt(const directory &known)
{
    m_places.clear();
    for (const directory_server &server : known.servers()) {
        m_places.emplace(server.entry.key,
                         server_place{server.entry.failureDomain, server.entry.service});
    }
    std::erase_if(m_conditions,
                  [this](const auto &item) { return !m_places.contains(item.first); });
    for (const auto &[address, to] : known.routes().routes) {
        for (const service_share &share : to.shares) {
            m_answerTimes[share.service].assume(to.goal);
        }
    }
}

void server_evidence::onOffer(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    ++state.opening;
    if (!state.oldestOffer) {
        state.oldestOffer = now;
    }
    if (state.setAsideUntil && now >= *state.setAsideUntil) {
        state.trialUnderWay = true;
    }
}

void server_evidence::onAnswer(server_key server, time_point now)
{
    addTo(m_conditions[server].opening, -1);
    onProgress(server, now);
}

void server_evidence::onProgress(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    state.lastAnswer = now;
    m_lastProgress = now;
    state.silences = 0;
    if (std::exchange(state.suspicions, 0) > 0) {
        noteDisproof(now);
    }
    if (const std::string *domain = domainOf(server)) {
        m_domains[*domain].suspicions = 0;
    }
    state.oldestOffer.reset();
    if (state.opening > 0) {
        state.oldestOffer = now;
    }
    if (state.setAsideUntil) {
        state.setAsideUntil.reset();
        state.failures = 0;
        state.trialUnderWay = false;
        m_changes.push_back({server, false, 0, 0});
    }
}

void server_evidence::onLateAnswer(server_key server, time_point now)
{
    if (condition(server).suspicions == 0) {
        // Otherwise its progress counts as the disproof.
        noteDisproof(now);
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
    while (!m_lateOffers.empty() && now - m_lateOffers.front().offeredAt > CallerRepeatTime) {
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

void server_evidence::onRepeat(server_key server, time_point now)
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
    domain_condition &whole = m_domains[*domain];
    if (whole.suspicions == 0 || now - whole.lastSuspicion > SuspicionLifetime) {
        whole = domain_condition{0, server, false, now};
    }
    ++whole.suspicions;
    whole.severalSuspects = whole.severalSuspects || whole.firstSuspect != server;
    whole.lastSuspicion = now;
}

void server_evidence::setAside(server_key server, server_condition &state, time_point now)
{
    const bool isNew = !state.setAsideUntil;
    if (!isNew && !state.trialUnderWay) {
        return;
    }
    const duration period = FirstSetAside * (1 << std::min(state.failures, 4U));
    state.setAsideUntil = now + std::min(period, LongestSetAside);
    ++state.failures;
    state.trialUnderWay = false;
    if (isNew) {
        m_changes.push_back({server, true, state.silences, state.suspicions});
    }
}

bool server_evidence::isDomainSilent(server_key server, time_point now) const
{
    const std::string *domain = domainOf(server);
    const auto found = domain ? m_domains.find(*domain) : m_domains.end();
    if (found == m_domains.end()) {
        return false;
    }
    const domain_condition &whole = found->second;
    return whole.severalSuspects && whole.suspicions >= SuspicionsUntilSilent
           && now - whole.lastSuspicion <= SuspicionLifetime;
}

bool server_evidence::looksSilent(server_key server, time_point now) const
{
    const server_condition &state = condition(server);
    if (now - m_lastProgress > OwnSilence) {
        // No server answers at all, so this instance is the one that is cut off or overloaded.
        return false;
    }
    // Callers repeat what they sent this long before the first sign.
    const duration silence = now - state.firstSuspicion + CallerRepeatTime;
    if (now - state.lastSuspicion > SuspicionLifetime
        || now - state.firstSuspicion < ShortestSilence || silence < longestAnswer(server)) {
        return false;
    }
    return state.suspicions >= SuspicionsUntilSilent
           || (state.suspicions >= SuspicionsInSilentDomain && isDomainSilent(server, now));
}

void server_evidence::onWithdrawnOffer(server_key server)
{
    server_condition &state = m_conditions[server];
    addTo(state.opening, -1);
    if (state.opening == 0) {
        state.oldestOffer.reset();
    }
}

void server_evidence::addOpen(server_key server, int change)
{
    addTo(m_conditions[server].open, change);
}

void server_evidence::addBusy(server_key server, int change)
{
    addTo(m_conditions[server].busy, change);
}

void server_evidence::setSilentDomains(std::set<std::string> domains)
{
    m_silentDomains = std::move(domains);
}

void server_evidence::noteDisproof(time_point now)
{
    m_disproved.push_back(now);
    if (m_disproved.size() > MostDisproofs + 1) {
        m_disproved.pop_front();
    }
}

bool server_evidence::isOftenWrong(time_point now) const
{
    return m_disproved.size() > MostDisproofs && now - m_disproved.front() <= DisproofLifetime;
}

std::size_t server_evidence::otherSuspects(server_key server, time_point now) const
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
    return !isOftenWrong(now) && looksSilent(server, now);
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
    if (state.peersAnsweredAt > state.firstSuspicion
        && now - state.firstSuspicion < LongestContradiction) {
        // It answers others, so it is busy or out of this instance's reach for a moment.
        return false;
    }
    const std::string *domain = domainOf(server);
    if (state.peersSuspicious > 0 || (domain && m_silentDomains.contains(*domain))) {
        return true;
    }
    return !isOftenWrong(now) && otherSuspects(server, now) <= MostOtherSuspects;
}

const std::string *server_evidence::domainOf(server_key server) const
{
    const auto found = m_places.find(server);
    return found == m_places.end() ? nullptr : &found->second.failureDomain;
}

duration server_evidence::longestAnswer(server_key server) const
{
    const auto where = m_places.find(server);
    const auto found = where == m_places.end() ? m_answerTimes.end()
                                               : m_answerTimes.find(where->second.service);
    return found == m_answerTimes.end() ? duration::zero() : found->second.upperBound();
}

void server_evidence::onAnswerTime(server_key server, duration length)
{
    const auto where = m_places.find(server);
    if (where != m_places.end()) {
        m_answerTimes[where->second.service].add(length);
    }
}

void server_evidence::setPeerLoad(server_key server, std::uint64_t open, std::uint32_t suspicious,
                                  time_point answeredAt)
{
    server_condition &state = m_conditions[server];
    state.peersAnsweredAt = answeredAt;
    state.peersOpen = open;
    state.peersSuspicious = suspicious;
}

server_trust server_evidence::trustIn(server_key server, time_point now) const
{
    const server_condition &state = condition(server);
    if (state.setAsideUntil) {
        const bool mayTry = now >= *state.setAsideUntil && !state.trialUnderWay;
        return mayTry ? server_trust::OnTrial : server_trust::SetAside;
    }
    const bool overdue = state.oldestOffer && now - *state.oldestOffer > AnswerTime;
    if (overdue || looksSilent(server, now) || isDomainSilent(server, now)) {
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
