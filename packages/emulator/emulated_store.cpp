#include "emulator/emulated_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration AnswerDelay = 1ms;

const place StorePlace{place_kind::Store, 0, ""};

std::size_t indexOf(store_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

emulated_store::emulated_store(event_queue &queue, emulated_network &network)
    : m_queue(queue)
    , m_network(network)
{ }

std::uint64_t emulated_store::put(store_kind kind, const std::string &name, store_value value)
{
    record(kind, {name, ++m_revision, false, std::move(value), {}, m_era});
    return m_revision;
}

void emulated_store::remove(store_kind kind, const std::string &name)
{
    if (m_objects[indexOf(kind)].contains(name)) {
        record(kind, {name, ++m_revision, true, {}, {}, m_era});
    }
}

void emulated_store::record(store_kind kind, store_object object)
{
    auto &objects = m_objects[indexOf(kind)];
    if (object.deleted) {
        objects.erase(object.name);
    } else {
        objects[object.name] = object;
    }
    m_history[indexOf(kind)].push_back({std::move(object), m_queue.now()});
    answerWatches(kind);
}

void emulated_store::setCondition(store_condition condition)
{
    m_condition = condition;
    if (condition == store_condition::Serving) {
        return;
    }
    // Watches that wait are lost with the outage; their callers find out by their time limits.
    for (auto &[number, pending] : m_calls) {
        pending.arrived = false;
    }
}

void emulated_store::dropHistory()
{
    m_historyFrom = m_revision;
    std::vector<std::uint64_t> waiting;
    for (const auto &[number, pending] : m_calls) {
        if (pending.arrived && pending.call.isWatch) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        answer(number, store_failure{store_failure::cause::HistoryGone, "history dropped"});
    }
}

void emulated_store::restoreCopy(time_point copyTime, duration rewriteDelay)
{
    ++m_era;
    m_revision = InitialRevision;
    for (const store_kind kind : AllStoreKinds) {
        auto &history = m_history[indexOf(kind)];
        auto &objects = m_objects[indexOf(kind)];
        objects.clear();
        std::map<std::string, store_object> lost;
        for (const recorded_change &change : history) {
            if (change.at > copyTime) {
                lost[change.object.name] = change.object;
                continue;
            }
            m_revision = std::max(m_revision, change.object.revision);
            objects.erase(change.object.name);
            if (!change.object.deleted) {
                objects[change.object.name] = change.object;
            }
        }
        std::erase_if(history,
                      [copyTime](const recorded_change &one) { return one.at > copyTime; });
        m_queue.after(rewriteDelay, [this, kind, lost = std::move(lost)] {
            for (const auto &[name, object] : lost) {
                writeAgain(kind, object);
            }
        });
    }
    m_historyFrom = std::min(m_historyFrom, m_revision);
}

void emulated_store::writeAgain(store_kind kind, const store_object &object)
{
    const auto &objects = m_objects[indexOf(kind)];
    const auto held = objects.find(object.name);
    // Its writer has already written a later state.
    const bool isOvertaken =
            std::any_of(m_history[indexOf(kind)].begin(), m_history[indexOf(kind)].end(),
                        [&](const recorded_change &change) {
                            return change.object.era == m_era && change.object.name == object.name;
                        });
    if (isOvertaken) {
        return;
    }
    if (!object.deleted) {
        record(kind, {object.name, ++m_revision, false, object.value, {}, m_era});
    } else if (held != objects.end()) {
        record(kind, {object.name, ++m_revision, true, {}, {}, m_era});
    }
}

void emulated_store::start(const place &instance, const store_call &call,
                           store_port::answer_handler onAnswer)
{
    const std::uint64_t number = ++m_callCount;
    m_calls[number] = {number, instance, call, std::move(onAnswer), false};
    m_network.send(instance, StorePlace, [this, number] {
        m_queue.after(AnswerDelay * m_slowness, [this, number] { onArrival(number); });
    });
    m_queue.after(call.timeout, [this, number] {
        const auto found = m_calls.find(number);
        if (found == m_calls.end()) {
            return;
        }
        const pending_call expired = found->second;
        m_calls.erase(found);
        expired.onAnswer(expired.call.kind,
                         store_failure{store_failure::cause::Unreachable, "no answer in time"});
    });
}

void emulated_store::cancel(const place &instance, store_kind kind)
{
    std::erase_if(m_calls, [&](const auto &item) {
        return item.second.instance == instance && item.second.call.kind == kind;
    });
}

void emulated_store::onArrival(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end() || m_condition == store_condition::Silent) {
        return;
    }
    const store_call &call = found->second.call;
    if (m_condition == store_condition::TurningAway) {
        answer(number, store_failure{store_failure::cause::TurnedAway, "busy"});
        return;
    }
    if (!call.isWatch) {
        answer(number, listed(call.kind));
        return;
    }
    if (call.revision < m_historyFrom || call.revision > m_revision) {
        answer(number, store_failure{store_failure::cause::HistoryGone, "no such history"});
        return;
    }
    store_page events = eventsAfter(call.kind, call.revision);
    if (!events.objects.empty()) {
        answer(number, std::move(events));
        return;
    }
    found->second.arrived = true;
    m_queue.after(call.wait, [this, number, kind = call.kind] {
        const auto waiting = m_calls.find(number);
        if (waiting != m_calls.end() && waiting->second.arrived) {
            answer(number, eventsAfter(kind, m_revision));
        }
    });
}

void emulated_store::answer(std::uint64_t number, store_answer outcome)
{
    setEra(outcome, m_era);
    const auto found = m_calls.find(number);
    const place instance = found->second.instance;
    found->second.arrived = false;
    m_network.send(StorePlace, instance, [this, number, outcome = std::move(outcome)] {
        const auto pending = m_calls.find(number);
        if (pending == m_calls.end()) {
            return;
        }
        const pending_call answered = pending->second;
        m_calls.erase(pending);
        answered.onAnswer(answered.call.kind, outcome);
    });
}

void emulated_store::answerWatches(store_kind kind)
{
    if (m_condition != store_condition::Serving) {
        return;
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[number, pending] : m_calls) {
        if (pending.arrived && pending.call.isWatch && pending.call.kind == kind) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        answer(number, eventsAfter(kind, m_calls[number].call.revision));
    }
}

store_page emulated_store::listed(store_kind kind) const
{
    store_page page;
    page.revision = m_revision;
    for (const auto &[name, object] : m_objects[indexOf(kind)]) {
        page.objects.push_back(object);
        page.lastName = name;
    }
    return page;
}

store_page emulated_store::eventsAfter(store_kind kind, std::uint64_t revision) const
{
    store_page page;
    page.revision = m_revision;
    for (const recorded_change &change : m_history[indexOf(kind)]) {
        if (change.object.revision > revision) {
            page.objects.push_back(change.object);
        }
    }
    return page;
}

} // namespace ebonyway
