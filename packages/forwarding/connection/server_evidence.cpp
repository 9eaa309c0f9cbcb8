#include "forwarding/connection/server_evidence.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// A handshake takes two trips between callers and servers, about 10 ms; the rest allows for a slow
// instance.
constexpr duration AnswerTime = 60ms;

// One unanswered offer may be a lost packet; a second one in a row is unlikely to be.
constexpr std::uint32_t SilencesUntilSetAside = 2;

// A crashed server is back or gone from the store within about four heartbeats of 1.2 s.
constexpr duration FirstSetAside = 1s;
constexpr duration LongestSetAside = 4s;

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
    state.silences = 0;
    state.oldestOffer.reset();
    if (state.opening > 0) {
        state.oldestOffer = now;
    }
    if (state.setAsideUntil) {
        state.setAsideUntil.reset();
        state.failures = 0;
        state.trialUnderWay = false;
        m_changes.push_back({server, false, 0});
    }
}

void server_evidence::onSilence(server_key server, time_point now)
{
    server_condition &state = m_conditions[server];
    onWithdrawnOffer(server);
    ++state.silences;
    const bool failedTrial = state.trialUnderWay;
    const bool newVerdict = !state.setAsideUntil && state.silences >= SilencesUntilSetAside;
    if (!failedTrial && !newVerdict) {
        return;
    }
    const duration period = FirstSetAside * (1 << std::min(state.failures, 4U));
    state.setAsideUntil = now + std::min(period, LongestSetAside);
    ++state.failures;
    state.trialUnderWay = false;
    if (newVerdict) {
        m_changes.push_back({server, true, state.silences});
    }
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

void server_evidence::setPeerLoad(server_key server, std::uint64_t busy, std::uint64_t open)
{
    server_condition &state = m_conditions[server];
    state.peersBusy = busy;
    state.peersOpen = open;
}

server_trust server_evidence::trustIn(server_key server, time_point now) const
{
    const server_condition &state = condition(server);
    if (state.setAsideUntil) {
        const bool mayTry = now >= *state.setAsideUntil && !state.trialUnderWay;
        return mayTry ? server_trust::OnTrial : server_trust::SetAside;
    }
    if (state.oldestOffer && now - *state.oldestOffer > AnswerTime) {
        return server_trust::Overdue;
    }
    return server_trust::Answering;
}

const server_condition &server_evidence::condition(server_key server) const
{
    static const server_condition unknown;
    const auto found = m_conditions.find(server);
    return found == m_conditions.end() ? unknown : found->second;
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
