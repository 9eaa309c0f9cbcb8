#include "forwarding/directory_samples.h"
#include "forwarding/process/pause_detector.h"
#include "forwarding/process/planned_stop.h"
#include "forwarding/process/store_follower.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct follower_fixture
{
    directory_builder knowledge{{}};
    store_follower subject{knowledge, 3};
    time_point now{1'000s};
    store_step step;

    const store_call *callOf(store_kind kind) const
    {
        for (const store_call &call : step.calls) {
            if (call.kind == kind) {
                return &call;
            }
        }
        return nullptr;
    }

    void advance() { step = subject.next(now); }

    void answer(store_kind kind, store_page page) { subject.onAnswer(kind, page, now); }

    /** Lists all kinds and starts the watches. */
    void listAll()
    {
        advance();
        answer(store_kind::DesiredState,
               {{samples::object(samples::desiredState(1), 5)}, 20, false, "main"});
        answer(store_kind::BackendServers,
               {{samples::object(samples::entry(1, "a"), 6)}, 20, false, "i-1"});
        answer(store_kind::Evacuations, {{}, 20, false, ""});
        advance();
    }

    void fail(store_kind kind, store_failure::cause cause)
    {
        subject.onAnswer(kind, store_failure{cause, "test"}, now);
    }

    /** Answers the watch of the desired state whenever its wait is over, and nothing else. */
    void answerProbesUntil(time_point end, std::uint64_t revision)
    {
        for (time_point nextAnswer = now + 1'500ms; now < end; now += 50ms) {
            if (now >= nextAnswer) {
                answer(store_kind::DesiredState, {{}, revision, false, ""});
                nextAnswer = now + 1'500ms;
            }
            advance();
            for (const store_call &call : step.calls) {
                laterCalls.push_back(call.kind);
            }
        }
    }

    /** As listAll(), with a store that tells its era. */
    void listAllInEra(std::uint64_t era, std::uint64_t revision, std::uint64_t version)
    {
        advance();
        store_answer state = store_page{
                {samples::object(samples::desiredState(version), revision)}, revision, false, ""};
        store_answer servers = store_page{
                {samples::object(samples::entry(1, "a"), revision)}, revision, false, ""};
        store_answer none = store_page{{}, revision, false, ""};
        for (auto *one : {&state, &servers, &none}) {
            setEra(*one, era);
        }
        subject.onAnswer(store_kind::DesiredState, state, now);
        subject.onAnswer(store_kind::BackendServers, servers, now);
        subject.onAnswer(store_kind::Evacuations, none, now);
        advance();
    }

    void answerInEra(store_kind kind, store_answer outcome, std::uint64_t era)
    {
        setEra(outcome, era);
        subject.onAnswer(kind, outcome, now);
    }

    std::vector<store_kind> laterCalls;

    bool hasEvent(const std::string &name)
    {
        const auto events = subject.takeEvents();
        return std::any_of(events.begin(), events.end(),
                           [&](const store_event &event) { return event.event == name; });
    }
};

} // namespace

TEST_CASE_FIXTURE(follower_fixture,
                  "start, every kind, is listed and then watched from the list's revision")
{
    listAll();
    CHECK(knowledge.isComplete());
    REQUIRE(step.calls.size() == 3);
    for (const store_call &call : step.calls) {
        CHECK(call.isWatch);
        CHECK(call.revision == 20);
    }
}

TEST_CASE_FIXTURE(
        follower_fixture,
        "list of several pages, change in between, is watched from the first page's revision")
{
    advance();
    answer(store_kind::BackendServers,
           {{samples::object(samples::entry(1, "a"), 6)}, 20, true, "i-1"});
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK(callOf(store_kind::BackendServers)->afterName == "i-1");
    answer(store_kind::BackendServers,
           {{samples::object(samples::entry(2, "a"), 7)}, 25, false, "i-2"});
    advance();
    CHECK(callOf(store_kind::BackendServers)->revision == 20);
    CHECK(knowledge.serverCount() == 2);
}

TEST_CASE_FIXTURE(follower_fixture, "watch, history gone, lists the kind again")
{
    listAll();
    fail(store_kind::BackendServers, store_failure::cause::HistoryGone);
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK_FALSE(callOf(store_kind::BackendServers)->isWatch);
    CHECK(subject.storeAnswers());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "unreachable store, one failed watch, cancels all calls and probes with one kind")
{
    listAll();
    fail(store_kind::DesiredState, store_failure::cause::Unreachable);
    advance();
    CHECK(step.cancels.size() == 2);
    CHECK(step.calls.size() == 1);
    CHECK_FALSE(step.calls.front().isWatch);
    CHECK(hasEvent("store_lost"));
}

TEST_CASE_FIXTURE(follower_fixture, "store down for a minute, retries, are at most two a second")
{
    listAll();
    fail(store_kind::DesiredState, store_failure::cause::TurnedAway);
    int calls = 0;
    for (int i = 0; i < 1'200; ++i) {
        advance();
        calls += static_cast<int>(step.calls.size());
        if (!step.calls.empty()) {
            fail(step.calls.front().kind, store_failure::cause::TurnedAway);
        }
        now += 50ms;
    }
    CHECK(calls >= 60);
    CHECK(calls <= 122);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "store back after an outage, other kinds, are watched from their last revision")
{
    listAll();
    fail(store_kind::DesiredState, store_failure::cause::Unreachable);
    advance();
    now += 4s;
    answer(store_kind::DesiredState, {{}, 30, false, ""});
    CHECK(hasEvent("store_regained"));
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK(callOf(store_kind::BackendServers)->isWatch);
    CHECK(callOf(store_kind::BackendServers)->revision == 20);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "server that lapsed in an outage, store back, stays usable for two seconds")
{
    listAll();
    fail(store_kind::DesiredState, store_failure::cause::Unreachable);
    advance();
    now += 4s;
    answer(store_kind::DesiredState, {{}, 30, false, ""});
    advance();
    answer(store_kind::BackendServers, {{samples::deletedServer(1, 28)}, 30, false, ""});
    CHECK(knowledge.snapshot()->candidates("desk").size() == 1);
    knowledge.expire(now + 3s);
    CHECK(knowledge.snapshot()->candidates("desk").empty());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "watch without an answer, store has changed, is restarted within the drain limit")
{
    listAll();
    answerProbesUntil(now + 3s, 21);
    CHECK(std::ranges::count(laterCalls, store_kind::BackendServers) == 1);
    CHECK(std::ranges::count(laterCalls, store_kind::Evacuations) == 1);
    CHECK(hasEvent("store_watch_stale"));
}

TEST_CASE_FIXTURE(follower_fixture, "watch without an answer, store unchanged, is left alone")
{
    listAll();
    answerProbesUntil(now + 20s, 20);
    CHECK(std::ranges::count(laterCalls, store_kind::BackendServers) == 0);
    CHECK(std::ranges::count(laterCalls, store_kind::Evacuations) == 0);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "store back from an older copy, one answer, has every kind listed again")
{
    listAllInEra(1, 20, 4);
    answerInEra(store_kind::DesiredState, store_page{{}, 25, false, ""}, 2);
    advance();
    CHECK(step.cancels.size() == 2);
    REQUIRE(step.calls.size() == 3);
    for (const store_call &call : step.calls) {
        CHECK_FALSE(call.isWatch);
    }
    CHECK(hasEvent("store_era_entered"));
}

TEST_CASE_FIXTURE(follower_fixture,
                  "store back from an older copy, versions at revisions used before, are adopted")
{
    listAllInEra(1, 20, 4);
    answerInEra(store_kind::DesiredState, store_failure{store_failure::cause::HistoryGone, "test"},
                2);
    listAllInEra(2, 12, 3);
    CHECK(knowledge.desiredVersion() == 4);
    REQUIRE(callOf(store_kind::DesiredState));
    CHECK(callOf(store_kind::DesiredState)->revision == 12);
    answerInEra(store_kind::DesiredState,
                store_page{{samples::object(samples::desiredState(5), 13)}, 13, false, ""}, 2);
    CHECK(knowledge.desiredVersion() == 5);
    CHECK(knowledge.positions()[0] == store_position{2, 13});
}

TEST_CASE_FIXTURE(follower_fixture, "answer of an earlier era, late, is not applied")
{
    listAllInEra(2, 20, 4);
    answerInEra(store_kind::DesiredState,
                store_page{{samples::object(samples::desiredState(9), 30)}, 30, false, ""}, 1);
    CHECK(knowledge.desiredVersion() == 4);
    CHECK(hasEvent("store_answer_outdated"));
    now += 1s;
    advance();
    REQUIRE(callOf(store_kind::DesiredState));
    CHECK(callOf(store_kind::DesiredState)->revision == 20);
}

TEST_CASE_FIXTURE(
        follower_fixture,
        "reader's watch of an earlier era, peer tells a later one, is restarted as a list")
{
    listAllInEra(1, 20, 4);
    knowledge.advancePosition(store_kind::BackendServers, {2, 15});
    advance();
    CHECK(step.cancels.size() == 3);
    REQUIRE(callOf(store_kind::DesiredState));
    CHECK_FALSE(callOf(store_kind::DesiredState)->isWatch);
}

TEST_CASE_FIXTURE(follower_fixture, "list of several pages, era changes in between, starts again")
{
    listAllInEra(1, 20, 4);
    fail(store_kind::BackendServers, store_failure::cause::HistoryGone);
    advance();
    answerInEra(store_kind::BackendServers,
                store_page{{samples::object(samples::entry(7, "a"), 6)}, 20, true, "i-7"}, 1);
    advance();
    answerInEra(store_kind::BackendServers,
                store_page{{samples::object(samples::entry(8, "a"), 7)}, 20, false, "i-8"}, 2);
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK(callOf(store_kind::BackendServers)->afterName.empty());
    CHECK_FALSE(callOf(store_kind::BackendServers)->isWatch);
}

TEST_CASE_FIXTURE(follower_fixture, "paused process, all calls, are restarted")
{
    listAll();
    subject.restartCalls(now);
    advance();
    CHECK(step.cancels.size() == 3);
    CHECK(step.calls.size() == 3);
}

TEST_CASE_FIXTURE(
        follower_fixture,
        "reading stopped and started again, watch, continues from the revision learned from peers")
{
    listAll();
    subject.setReading(false);
    advance();
    CHECK(step.cancels.size() == 3);
    CHECK(step.calls.empty());
    knowledge.advancePosition(store_kind::BackendServers, {0, 44});
    subject.setReading(true);
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK(callOf(store_kind::BackendServers)->revision == 44);
}

TEST_CASE("pause detector, suspended machine, reports time missing from the monotonic clock")
{
    pause_detector subject;
    const time_point now{10s};
    CHECK_FALSE(subject.check(now, 100s));
    CHECK_FALSE(subject.check(now + 50ms, 100'050ms));
    const auto pause = subject.check(now + 100ms, 104'100ms);
    REQUIRE(pause);
    CHECK(*pause >= 4s);
}

TEST_CASE("planned stop, routers still send, serves until the grace period is nearly over")
{
    planned_stop subject(6s);
    const time_point start{10s};
    CHECK_FALSE(subject.mayExit(start, start));
    subject.request(start);
    CHECK_FALSE(subject.mayExit(start + 1s, start));
    CHECK(subject.mayExit(start + 1'300ms, start + 700ms));
    CHECK_FALSE(subject.mayExit(start + 3s, start + 2'900ms));
    CHECK(subject.mayExit(start + 5s, start + 5s));
}

TEST_CASE_FIXTURE(follower_fixture, "watch of servers, changes in quick succession, need few calls")
{
    listAll();
    // A release: a server changes every 20 ms for a second. A watch answers at the first change.
    std::uint64_t calls = 0;
    std::uint64_t revision = 20;
    const time_point end = now + 1s;
    for (; now < end; now += 20ms) {
        ++revision;
        if (callOf(store_kind::BackendServers)) {
            ++calls;
            answer(store_kind::BackendServers,
                   {{samples::object(samples::entry(revision, "a"), revision)},
                    revision,
                    false,
                    ""});
        }
        advance();
    }
    CHECK(calls <= 6);
    now += 200ms;
    advance();
    REQUIRE(callOf(store_kind::BackendServers));
    CHECK(callOf(store_kind::BackendServers)->revision > 20);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "knowledge from a peer, reading starts later, is not listed again")
{
    subject.setReading(false);
    knowledge.apply(store_kind::DesiredState, samples::object(samples::desiredState(1), 5), now);
    for (const store_kind kind : AllStoreKinds) {
        knowledge.advancePosition(kind, {0, 30});
    }
    subject.setReading(true);
    advance();
    REQUIRE(step.calls.size() == 3);
    for (const store_call &call : step.calls) {
        CHECK(call.isWatch);
        CHECK(call.revision == 30);
    }
}

TEST_CASE_FIXTURE(follower_fixture, "start, watches not allowed, lists the desired state first")
{
    subject.setWatching(false);
    advance();
    REQUIRE(step.calls.size() == 1);
    CHECK(step.calls.front().kind == store_kind::DesiredState);
    answer(store_kind::DesiredState,
           {{samples::object(samples::desiredState(1), 5)}, 20, false, "main"});
    advance();
    CHECK(step.calls.size() == 2);
    answer(store_kind::BackendServers,
           {{samples::object(samples::entry(1, "a"), 6)}, 20, false, "i-1"});
    answer(store_kind::Evacuations, {{}, 20, false, ""});
    advance();
    CHECK(knowledge.isComplete());
    CHECK(step.calls.empty());
}

} // namespace ebonyway
