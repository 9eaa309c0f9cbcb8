#include "forwarding/connection/server_pace.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Share at the beginning of a slow start; three doublings lead to the full share.
constexpr double FirstShare = 0.125;

// Time between two steps: some answer times of usual services, and the interval at which the
// figures of other instances arrive.
constexpr duration StepInterval = 200ms;

// Reports repeat the last answer of a server, and the time of the answer is derived from the time
// at which the report is read. Answers of peers within this time count as one.
constexpr duration SameAnswerTolerance = 50ms;

// Answer time relative to the usual one above which the share is reduced. Requests that happen to
// wait for one other take twice as long.
constexpr double MaxRelativeTime = 2;

} // namespace

void server_pace::begin(server_key server, time_point now)
{
    m_slowStarts[server] = slow_start{FirstShare, now, now, {}, 0, {}, {}};
    m_changes.push_back({server, FirstShare, {}});
}

void server_pace::addAnswer(slow_start &state, duration time, duration usual)
{
    ++state.answers;
    if (time > 0ns && usual > 0ns) {
        state.answerTime += time;
        state.usualTime += usual;
    }
}

void server_pace::onAnswer(server_key server, duration time, duration usual, time_point now)
{
    const auto found = m_slowStarts.find(server);
    if (found != m_slowStarts.end() && now >= found->second.beganAt) {
        addAnswer(found->second, time, usual);
    }
}

void server_pace::onSilence(server_key server, time_point now)
{
    const auto found = m_slowStarts.find(server);
    if (found != m_slowStarts.end()) {
        begin(server, std::max(now, found->second.beganAt));
    }
}

void server_pace::onPeerAnswer(server_key server, time_point at, duration time, duration usual)
{
    const auto found = m_slowStarts.find(server);
    if (found == m_slowStarts.end() || at <= found->second.lastStep
        || at <= found->second.lastPeerAnswer + SameAnswerTolerance) {
        return;
    }
    found->second.lastPeerAnswer = at;
    addAnswer(found->second, time, usual);
}

void server_pace::forget(server_key server)
{
    m_slowStarts.erase(server);
}

void server_pace::tick(time_point now)
{
    std::vector<server_key> finished;
    for (auto &[server, state] : m_slowStarts) {
        if (now < state.beganAt || now - state.lastStep < StepInterval || state.answers == 0) {
            continue;
        }
        const bool isSlow = state.answerTime > state.usualTime * MaxRelativeTime;
        state.share = isSlow ? std::max(FirstShare, state.share / 2) : state.share * 2;
        state.lastStep = now;
        state.answers = 0;
        state.answerTime = state.usualTime = 0ns;
        if (state.share >= 1) {
            m_changes.push_back({server, 1, now - state.beganAt});
            finished.push_back(server);
        }
    }
    for (const server_key server : finished) {
        m_slowStarts.erase(server);
    }
}

double server_pace::share(server_key server) const
{
    const auto found = m_slowStarts.find(server);
    return found == m_slowStarts.end() ? 1 : found->second.share;
}

std::vector<pace_change> server_pace::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ebonyway
