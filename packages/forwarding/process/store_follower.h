#pragma once

#include "core/seeded_random.h"
#include "forwarding/process/store_call.h"
#include "forwarding/version/directory_builder.h"

#include <array>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** A log event about the state of the store. */
struct store_event
{
    std::string event; ///< Name of the log event.
    store_kind kind = store_kind::DesiredState;
    std::string detail;
    std::uint64_t revision = 0;
    duration outage{}; ///< Duration of the outage, for "store_regained".
};

/** Store calls for the caller of store_follower to perform. */
struct store_step
{
    std::vector<store_kind> cancels; ///< Performed before the calls.
    std::vector<store_call> calls;
};

/**
 * Keeps the knowledge of an instance in sync with the platform's store: lists each kind once, then
 * watches it. Recovers from lost answers, dead connections, outages, changes that are no longer in
 * the store's history, and a store that came back from an older copy. Performs no I/O itself; the
 * caller executes the calls that next() returns.
 */
class store_follower
{
public:
    store_follower(directory_builder &knowledge, std::uint64_t seed);

    /** Returns the calls that are due. */
    store_step next(time_point now);

    /** Sets whether this instance reads the store; otherwise it gets changes from its peers. */
    void setReading(bool reading);
    bool isReading() const { return m_isReading; }
    /**
     * Sets whether watches may start. Without them, the desired state is listed first and the other
     * kinds only then, so that knowledge from a peer that arrives meanwhile saves their calls.
     */
    void setWatching(bool watching) { m_mayWatch = watching; }

    /** Takes the answer to the call for the kind. Without an era it counts as of the last one. */
    void onAnswer(store_kind kind, store_answer answer, time_point now);

    /**
     * Restarts all calls. Needed after the process was paused or disconnected, as its connections
     * may be dead.
     */
    void restartCalls(time_point now);

    /** Returns the changes to the knowledge since the last call of this function. */
    std::vector<directory_change> takeChanges();
    /** Returns the store events since the last call of this function. */
    std::vector<store_event> takeEvents();

    bool storeAnswers() const { return !m_lostSince; }
    /** Returns the time of the last answer from the store. */
    time_point lastAnswer() const { return m_lastAnswer; }

private:
    enum class stage : std::uint8_t {
        Listing,
        Watching,
    };

    struct follow_state
    {
        stage currentStage = stage::Listing;
        bool hasPendingCall = false;
        time_point nextCallAt; ///< Earliest time of the next call.
        store_position position; ///< From which to watch.
        std::uint64_t storeRevisionAtCall = 0; ///< Of the store, as known when the call started.
        /** Set while the store is known to have changed since the pending call started. */
        std::optional<time_point> behindSince;
        store_position listPosition; ///< Of the first page of the running list.
        std::string afterName; ///< Last name of the previous page of the running list.
        std::set<std::string> listedNames; ///< Objects on the pages of the running list so far.
        bool awaitsFirstPage = true;
    };

    bool takesEraOf(store_kind kind, const store_answer &answer, time_point now);
    void enterEra(std::uint64_t era, store_kind kind);
    void onPage(store_kind kind, const store_page &page, time_point now);
    void onFailure(store_kind kind, const store_failure &failure, time_point now);
    void recordAnswer(store_kind kind, time_point now);
    void noteStoreRevision(std::uint64_t revision, time_point now);
    bool isStale(store_kind kind, time_point now);
    void restartList(follow_state &state);
    store_call callFor(store_kind kind, const follow_state &state) const;
    follow_state &stateOf(store_kind kind) { return m_states[static_cast<std::size_t>(kind)]; }

    directory_builder &m_knowledge;
    seeded_random m_random;
    std::array<follow_state, StoreKindCount> m_states;
    std::uint64_t m_era = 0; ///< Highest era of the store in an answer or in the knowledge.
    std::uint64_t m_storeRevision =
            0; ///< Highest revision of the store in an answer for the probe.
    std::optional<time_point> m_lostSince; ///< Start of the current outage of the store.
    unsigned m_failures = 0; ///< Consecutive failed retries.
    time_point m_retryAt;
    time_point m_lastAnswer;
    bool m_restartPending = false; ///< next() must cancel all running calls and restart them.
    bool m_isReading = true;
    bool m_mayWatch = true;
    std::vector<directory_change> m_changes;
    std::vector<store_event> m_events;
};

} // namespace ebonyway
