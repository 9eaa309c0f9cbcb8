#pragma once

#include "emulator/emulated_network.h"
#include "forwarding/process/store_call.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How the store treats calls. */
enum class store_condition : std::uint8_t {
    Serving,
    TurningAway, ///< Answers every call with a refusal.
    Silent, ///< Answers nothing.
};

/** The platform's store: revisioned objects that are listed and watched. */
class emulated_store
{
public:
    emulated_store(event_queue &queue, emulated_network &network);

    /** Writes an object and returns its revision. */
    std::uint64_t put(store_kind kind, const std::string &name, store_value value);
    void remove(store_kind kind, const std::string &name);

    void setCondition(store_condition condition);
    /** Multiplies the time of each answer. */
    void setSlowness(std::uint32_t factor) { m_slowness = factor; }
    /** Drops the history and ends all watches. */
    void dropHistory();
    /**
     * Takes the store back to what it held at `copyTime` and begins a new era. What was written
     * since is lost; after `rewriteDelay` its writers write the last state of each object again.
     */
    void restoreCopy(time_point copyTime, duration rewriteDelay);

    /** Starts an instance's call. The answer comes later, also as a failure after the time limit.
     */
    void start(const place &instance, const store_call &call, store_port::answer_handler onAnswer);
    void cancel(const place &instance, store_kind kind);
    std::uint64_t callCount() const { return m_callCount; }

private:
    static constexpr std::uint64_t InitialRevision = 1;

    struct pending_call
    {
        std::uint64_t number = 0;
        place instance;
        store_call call;
        store_port::answer_handler onAnswer;
        bool arrived = false;
    };

    void onArrival(std::uint64_t number);
    void answer(std::uint64_t number, store_answer outcome);
    void answerWatches(store_kind kind);
    store_page listed(store_kind kind) const;
    store_page eventsAfter(store_kind kind, std::uint64_t revision) const;
    void record(store_kind kind, store_object object);
    /** Writes or removes the object if the store holds another state of it. */
    void writeAgain(store_kind kind, const store_object &object);

    struct recorded_change
    {
        store_object object;
        time_point at;
    };

    event_queue &m_queue;
    emulated_network &m_network;
    store_condition m_condition = store_condition::Serving;
    std::uint32_t m_slowness = 1;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = InitialRevision;
    std::uint64_t m_historyFrom = 0; ///< Changes up to here are gone.
    std::array<std::map<std::string, store_object>, StoreKindCount> m_objects;
    std::array<std::vector<recorded_change>, StoreKindCount> m_history;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_callCount = 0;
};

} // namespace ebonyway
