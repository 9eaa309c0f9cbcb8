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

/** What the follower has found out, for the log. */
struct store_event
{
    std::string event; ///< Stable name.
    store_kind kind = store_kind::DesiredState;
    std::string detail;
    std::uint64_t revision = 0;
    duration after{}; ///< Length of the outage, for "store_regained".
};

/** Work for the process edge. */
struct store_step
{
    std::vector<store_kind> cancels; ///< Carried out before the calls.
    std::vector<store_call> calls;
};

/**
 * Keeps the knowledge of an instance up to date from the platform's store: lists each kind once,
 * then watches it. Survives lost answers, connections that fall silent, outages and a history that
 * is gone. Pure: the process edge carries out its calls.
 */
class store_follower
{
public:
    store_follower(directory_builder &knowledge, std::uint64_t seed);

    /** Returns the calls that are due. */
    store_step next(time_point now);

    /** Sets whether this instance reads the store; otherwise other instances tell it of changes. */
    void setReading(bool reading);
    bool isReading() const { return m_reading; }

    void onAnswer(store_kind kind, const store_answer &answer, time_point now);

    /** Renews all calls, because this process was paused or cut off and may hold dead connections.
     */
    void renew(time_point now);

    /** Returns what changed in the knowledge since the last call. */
    std::vector<directory_change> takeChanges();
    /** Returns what happened to the store since the last call. */
    std::vector<store_event> takeEvents();

    bool storeAnswers() const { return !m_lostSince; }
    /** Time of the last answer of the store. */
    time_point lastAnswer() const { return m_lastAnswer; }

private:
    enum class stage : std::uint8_t {
        Listing,
        Watching,
    };

    struct follow_state
    {
        stage at = stage::Listing;
        bool outstanding = false;
        std::uint64_t revision = 0; ///< Watch from here.
        std::uint64_t listRevision = 0; ///< Of the first page of the running list.
        std::string after;
        std::set<std::string> listed;
        bool firstPage = true;
    };

    void onPage(store_kind kind, const store_page &page, time_point now);
    void onFailure(store_kind kind, const store_failure &failure, time_point now);
    void noteAnswer(store_kind kind, time_point now);
    void restartList(follow_state &state);
    store_call callFor(store_kind kind, const follow_state &state) const;
    follow_state &stateOf(store_kind kind) { return m_states[static_cast<std::size_t>(kind)]; }

    directory_builder &m_knowledge;
    seeded_random m_random;
    std::array<follow_state, StoreKindCount> m_states;
    std::optional<time_point> m_lostSince;
    unsigned m_failures = 0; ///< In a row.
    time_point m_retryAt;
    time_point m_lastAnswer;
    bool m_renewAll = false;
    bool m_reading = true;
    std::vector<directory_change> m_changes;
    std::vector<store_event> m_events;
};

} // namespace ebonyway
