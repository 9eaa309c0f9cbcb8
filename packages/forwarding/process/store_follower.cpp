#include "forwarding/process/store_follower.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Time after which a list call fails. The store answers within milliseconds and can become sixty
// times slower; the rest of the timeout allows for a slow link.
constexpr duration ListTimeout = 2s;

// Kind of objects whose watch also serves as a health check of the store.
constexpr store_kind ProbeKind = store_kind::DesiredState;

// How long the store may wait for a change in a watch call for ProbeKind, and the time after which
// the call fails and the store counts as lost. The platform's limit for drains and desired states
// to take effect is 3 s, so a silent store must be detected sooner.
constexpr duration ProbeWait = 1500ms;
constexpr duration ProbeTimeout = 2500ms;

// How long the store may wait for a change in a watch call for the other kinds, and the time after
// which the call fails. The platform charges for every watch call, so these waits are long.
constexpr duration WatchWait = 25s;
constexpr duration WatchTimeout = 27s;

// Time that a pending watch is given to report a change after the probe has shown that the store
// changed. The store answers all watches of a change at once; sixty times slower than usual, it
// needs 240 ms. A watch that stays silent may have lost its answer on a connection that still
// looks alive, and the limit for drains to take effect is 3 s.
constexpr duration MaxWatchLag = 500ms;

// Pause after changes of backend servers before they are watched again, so that one call returns
// all changes of a release or a mass restart. Short against the 3 s within which a drain must take
// effect.
constexpr duration ServerChangePause = 200ms;

// Base and maximum of the delay between retries, which doubles with each failed retry because calls
// to an unavailable store are charged too. At most one second between retries keeps the delay until
// changes arrive again well below the platform's limit of 3 s.
constexpr duration BaseRetryDelay = 200ms;
constexpr duration MaxRetryDelay = 1s;

// Pause after an answer that the store gave before it came back from an older copy, so that a store
// which repeats it is not called without pause. One round trip on a slow link.
constexpr duration OutdatedAnswerPause = 200ms;

// Shortest outage of the store after which lapsed entries get a grace period. Entries lapse after
// three missed heartbeats of their backend servers, so none can lapse in a shorter outage.
constexpr duration MinLapsingOutage = 1s;

} // namespace

const char *storeFailureName(store_failure::cause cause)
{
    switch (cause) {
    case store_failure::cause::HistoryGone:
        return "history_gone";
    case store_failure::cause::TurnedAway:
        return "turned_away";
    case store_failure::cause::Unreachable:
        return "unreachable";
    case store_failure::cause::Unreadable:
        return "unreadable";
    }
    return "unreachable";
}

std::uint64_t eraOf(const store_answer &answer)
{
    return std::visit([](const auto &outcome) { return outcome.era; }, answer);
}

void setEra(store_answer &answer, std::uint64_t era)
{
    std::visit([era](auto &outcome) { outcome.era = era; }, answer);
    if (auto *page = std::get_if<store_page>(&answer)) {
        for (store_object &object : page->objects) {
            object.era = era;
        }
    }
}

store_follower::store_follower(directory_builder &knowledge, std::uint64_t seed)
    : m_knowledge(knowledge)
    , m_random(seed)
{ }

store_call store_follower::callFor(store_kind kind, const follow_state &state) const
{
    store_call call;
    call.kind = kind;
    if (state.currentStage == stage::Listing) {
        call.afterName = state.afterName;
        call.timeout = ListTimeout;
        return call;
    }
    call.isWatch = true;
    call.revision = state.position.revision;
    call.wait = kind == ProbeKind ? ProbeWait : WatchWait;
    call.timeout = kind == ProbeKind ? ProbeTimeout : WatchTimeout;
    return call;
}

store_step store_follower::next(time_point now)
{
    store_step step;
    for (const store_kind kind : AllStoreKinds) {
        const std::uint64_t known = m_knowledge.positions()[static_cast<std::size_t>(kind)].era;
        if (known > m_era) {
            enterEra(known, kind);
        }
    }
    if (std::exchange(m_restartPending, false)) {
        for (const store_kind kind : AllStoreKinds) {
            if (std::exchange(stateOf(kind).hasPendingCall, false)) {
                step.cancels.push_back(kind);
            }
        }
    }
    if (!m_isReading || (m_lostSince && now < m_retryAt)) {
        return step;
    }
    for (const store_kind kind : AllStoreKinds) {
        if (!isStale(kind, now)) {
            continue;
        }
        step.cancels.push_back(kind);
        stateOf(kind).hasPendingCall = false;
        m_events.push_back({"store_watch_stale", kind, "", m_storeRevision, {}});
    }
    for (const store_kind kind : AllStoreKinds) {
        if (m_lostSince && kind != ProbeKind) {
            continue;
        }
        follow_state &state = stateOf(kind);
        const bool isLater = kind != ProbeKind && stateOf(ProbeKind).currentStage == stage::Listing;
        if (state.hasPendingCall || now < state.nextCallAt
            || (!m_mayWatch && (isLater || state.currentStage == stage::Watching))) {
            continue;
        }
        if (state.currentStage == stage::Watching && state.position.era < m_era) {
            restartList(state);
        }
        store_call call = callFor(kind, state);
        if (m_lostSince && call.isWatch) {
            // A list returns at once, so it detects the recovery of the store sooner than a watch.
            call = store_call{kind, false, 0, {}, {}, ListTimeout};
            restartList(state);
        }
        state.hasPendingCall = true;
        state.storeRevisionAtCall = std::max(m_storeRevision, call.revision);
        state.behindSince.reset();
        step.calls.push_back(call);
    }
    return step;
}

bool store_follower::isStale(store_kind kind, time_point now)
{
    const follow_state &state = stateOf(kind);
    return state.hasPendingCall && state.currentStage == stage::Watching && state.behindSince
           && now - *state.behindSince >= MaxWatchLag;
}

void store_follower::noteStoreRevision(std::uint64_t revision, time_point now)
{
    m_storeRevision = std::max(m_storeRevision, revision);
    for (const store_kind kind : AllStoreKinds) {
        follow_state &state = stateOf(kind);
        const bool isBehind = kind != ProbeKind && state.storeRevisionAtCall < m_storeRevision;
        if (isBehind && !state.behindSince) {
            state.behindSince = now;
        }
    }
}

void store_follower::setReading(bool reading)
{
    if (reading == m_isReading) {
        return;
    }
    m_isReading = reading;
    m_restartPending = true;
    m_events.push_back({reading ? "store_reading_started" : "store_reading_ended",
                        store_kind::BackendServers,
                        "",
                        stateOf(store_kind::BackendServers).position.revision,
                        {}});
    for (const store_kind kind : AllStoreKinds) {
        follow_state &state = stateOf(kind);
        const store_position known = m_knowledge.positions()[static_cast<std::size_t>(kind)];
        if (reading && known != store_position{} && state.currentStage == stage::Listing) {
            // A peer has passed on all objects of the kind, so only later changes are missing.
            restartList(state);
            state.currentStage = stage::Watching;
        }
        if (state.currentStage == stage::Watching) {
            state.position = std::max(state.position, known);
        }
    }
}

void store_follower::restartList(follow_state &state)
{
    state.currentStage = stage::Listing;
    state.afterName.clear();
    state.listedNames.clear();
    state.awaitsFirstPage = true;
}

void store_follower::onAnswer(store_kind kind, store_answer answer, time_point now)
{
    stateOf(kind).hasPendingCall = false;
    if (eraOf(answer) == 0) {
        setEra(answer, m_era);
    }
    if (!takesEraOf(kind, answer, now)) {
        return;
    }
    if (const auto *failure = std::get_if<store_failure>(&answer)) {
        onFailure(kind, *failure, now);
        return;
    }
    recordAnswer(kind, now);
    const auto &page = std::get<store_page>(answer);
    if (kind == ProbeKind) {
        // Only the probe is answered every few seconds even if nothing changes.
        noteStoreRevision(page.revision, now);
    }
    onPage(kind, page, now);
}

bool store_follower::takesEraOf(store_kind kind, const store_answer &answer, time_point now)
{
    follow_state &state = stateOf(kind);
    const std::uint64_t era = eraOf(answer);
    if (era < m_era) {
        m_events.push_back({"store_answer_outdated", kind, "era " + std::to_string(era), 0, {}});
        state.nextCallAt = now + OutdatedAnswerPause;
        return false;
    }
    if (era == m_era) {
        return true;
    }
    const bool isFirstPage = state.currentStage == stage::Listing && state.awaitsFirstPage;
    enterEra(era, kind);
    // Changes since a revision of an earlier era are not all changes, and nor are later pages.
    return isFirstPage || std::holds_alternative<store_failure>(answer);
}

void store_follower::enterEra(std::uint64_t era, store_kind kind)
{
    const bool isFirst = m_era == 0 && m_knowledge.positions() == known_positions{};
    m_era = era;
    m_storeRevision = 0;
    m_events.push_back({"store_era_entered", kind, "era " + std::to_string(era), 0, {}});
    if (isFirst) {
        return;
    }
    for (follow_state &state : m_states) {
        if (state.currentStage == stage::Listing) {
            restartList(state);
        }
    }
    m_restartPending = true;
}

void store_follower::recordAnswer(store_kind kind, time_point now)
{
    m_lastAnswer = now;
    m_failures = 0;
    if (!m_lostSince) {
        return;
    }
    const duration outage = now - *m_lostSince;
    m_lostSince.reset();
    if (outage >= MinLapsingOutage) {
        m_knowledge.onStoreRegained(now);
    }
    m_events.push_back({"store_regained", kind, "", stateOf(kind).position.revision, outage});
}

void store_follower::onPage(store_kind kind, const store_page &page, time_point now)
{
    follow_state &state = stateOf(kind);
    if (page.unnamedObjects > 0) {
        m_events.push_back({"store_objects_unreadable",
                            kind,
                            std::to_string(page.unnamedObjects) + ", first: " + page.unnamedFault,
                            page.revision,
                            {}});
    }
    for (const store_object &object : page.objects) {
        auto changes = m_knowledge.apply(kind, object, now);
        std::move(changes.begin(), changes.end(), std::back_inserter(m_changes));
        if (state.currentStage == stage::Listing) {
            state.listedNames.insert(object.name);
        }
    }
    if (state.currentStage == stage::Watching) {
        state.position = std::max(state.position, page.position());
        for (const store_object &object : page.objects) {
            m_knowledge.advancePosition(kind, object.position());
        }
        if (kind == store_kind::BackendServers && !page.objects.empty()) {
            state.nextCallAt = now + ServerChangePause;
        }
        return;
    }
    if (std::exchange(state.awaitsFirstPage, false)) {
        // The watch starts at the position of the first page, so it repeats changes made while
        // later pages were listed.
        state.listPosition = page.position();
    }
    if (page.hasMore && !page.lastName.empty()) {
        state.afterName = page.lastName;
        return;
    }
    auto changes = m_knowledge.retainListed(kind, state.listedNames, state.listPosition, now);
    std::move(changes.begin(), changes.end(), std::back_inserter(m_changes));
    m_events.push_back({"store_listed",
                        kind,
                        std::to_string(state.listedNames.size()) + " objects",
                        state.listPosition.revision,
                        {}});
    m_knowledge.advancePosition(kind, state.listPosition);
    state.currentStage = stage::Watching;
    state.position = state.listPosition;
    state.listedNames.clear();
}

void store_follower::onFailure(store_kind kind, const store_failure &failure, time_point now)
{
    follow_state &state = stateOf(kind);
    if (failure.reason == store_failure::cause::HistoryGone) {
        // The store is reachable but no longer has the changes since `revision`, so list the kind
        // again.
        recordAnswer(kind, now);
        restartList(state);
        m_events.push_back(
                {"store_history_gone", kind, failure.detail, state.position.revision, {}});
        return;
    }
    if (state.currentStage == stage::Listing) {
        restartList(state);
    }
    if (!m_lostSince) {
        m_lostSince = now;
        m_events.push_back({"store_lost",
                            kind,
                            std::string(storeFailureName(failure.reason)) + ": " + failure.detail,
                            state.position.revision,
                            {}});
        // Watches pending at a store that has stopped answering may never return.
        m_restartPending = true;
        m_retryAt = now;
        return;
    }
    ++m_failures;
    const duration pause =
            std::min<duration>(MaxRetryDelay, BaseRetryDelay * (1 << std::min(m_failures, 4U)));
    // Random jitter spreads the retries of all instances.
    m_retryAt = now + pause / 2 + std::chrono::duration_cast<duration>(pause / 2 * m_random.unit());
}

void store_follower::restartCalls(time_point)
{
    m_restartPending = true;
}

std::vector<directory_change> store_follower::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<store_event> store_follower::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace ebonyway
