#include "core/seeded_random.h"
#include "forwarding/connection/server_pace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration Usual = 60ms;
constexpr server_key Server{5};

struct pace_fixture
{
    server_pace subject;
    time_point now{1'000s};

    pace_fixture() { subject.begin(Server, now); }

    /** One step of 200 ms with an answer in the middle, unless `time` is zero. */
    void step(duration time)
    {
        now += 100ms;
        if (time > 0ns) {
            subject.onAnswer(Server, time, Usual, now);
        }
        now += 100ms;
        subject.tick(now);
    }
};

} // namespace

TEST_CASE_FIXTURE(pace_fixture, "server, slow start begins, gets an eighth and is reported")
{
    CHECK(subject.share(Server) == 0.125);
    CHECK(subject.share(server_key{6}) == 1);
    const std::vector<pace_change> changes = subject.takeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().server == Server);
    CHECK(changes.front().share == 0.125);
    CHECK(subject.takeChanges().empty());
}

TEST_CASE_FIXTURE(pace_fixture, "server, good answers in every step, has its share after 600 ms")
{
    subject.takeChanges();
    step(Usual);
    CHECK(subject.share(Server) == 0.25);
    step(Usual);
    CHECK(subject.share(Server) == 0.5);
    step(2 * Usual);
    CHECK(subject.share(Server) == 1);
    const std::vector<pace_change> changes = subject.takeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().share == 1);
    CHECK(changes.front().since == 600ms);
}

TEST_CASE_FIXTURE(pace_fixture, "server, ticks more often than its steps, rises once in 200 ms")
{
    for (int i = 0; i < 3; ++i) {
        now += 50ms;
        subject.onAnswer(Server, Usual, Usual, now);
        subject.tick(now);
    }
    CHECK(subject.share(Server) == 0.125);
    now += 50ms;
    subject.tick(now);
    CHECK(subject.share(Server) == 0.25);
}

TEST_CASE_FIXTURE(pace_fixture, "server, no answers, keeps its share")
{
    step(Usual);
    for (int i = 0; i < 20; ++i) {
        step(0ns);
    }
    CHECK(subject.share(Server) == 0.25);
}

TEST_CASE_FIXTURE(pace_fixture, "server, answers to peers only, has its share after 600 ms")
{
    for (int i = 0; i < 3; ++i) {
        now += 200ms;
        subject.onPeerAnswer(Server, now - 50ms, Usual, Usual);
        subject.tick(now);
    }
    CHECK(subject.share(Server) == 1);
}

TEST_CASE_FIXTURE(pace_fixture, "server, slow answers, gets half and never less than an eighth")
{
    step(Usual);
    step(Usual);
    CHECK(subject.share(Server) == 0.5);
    step(2 * Usual + 1ms);
    CHECK(subject.share(Server) == 0.25);
    for (int i = 0; i < 10; ++i) {
        step(6 * Usual);
        REQUIRE(subject.share(Server) == 0.125);
    }
    step(Usual);
    CHECK(subject.share(Server) == 0.25);
}

TEST_CASE_FIXTURE(pace_fixture, "server, falls silent, begins anew")
{
    step(Usual);
    step(Usual);
    subject.onAnswer(Server, Usual, Usual, now);
    subject.onSilence(Server, now);
    CHECK(subject.share(Server) == 0.125);
    step(0ns);
    CHECK(subject.share(Server) == 0.125);
    subject.onSilence(server_key{6}, now);
    CHECK(subject.share(server_key{6}) == 1);
}

// Heartbeats repeat the last answer for 2 s.
TEST_CASE_FIXTURE(pace_fixture, "answer of a peer, reported again in later steps, counts once")
{
    const time_point at = now + 100ms;
    for (int i = 0; i < 10; ++i) {
        now += 200ms;
        subject.onPeerAnswer(Server, at, Usual, Usual);
        subject.tick(now);
    }
    CHECK(subject.share(Server) == 0.25);
}

// Two reports of one slow answer once outweighed two good answers of this instance.
TEST_CASE_FIXTURE(pace_fixture, "answer of a peer, reported several times in a step, counts once")
{
    const time_point at = now + 10ms;
    for (int i = 0; i < 6; ++i) {
        subject.onPeerAnswer(Server, at, 4 * Usual, Usual);
    }
    for (int i = 0; i < 3; ++i) {
        subject.onAnswer(Server, Usual, Usual, now + 100ms);
    }
    now += 200ms;
    subject.tick(now);
    CHECK(subject.share(Server) == 0.25);
}

TEST_CASE_FIXTURE(pace_fixture, "start in the future, answers before it, are ignored")
{
    const time_point warmAt = now + 2s;
    subject.begin(Server, warmAt);
    while (now < warmAt) {
        subject.onPeerAnswer(Server, now + 50ms, Usual, Usual);
        step(Usual);
        REQUIRE(subject.share(Server) == 0.125);
    }
    subject.onPeerAnswer(Server, warmAt - 1ms, Usual, Usual);
    step(0ns);
    CHECK(subject.share(Server) == 0.125);
    step(Usual);
    CHECK(subject.share(Server) == 0.25);
}

// The time of an answer is derived from the time at which the report is read, so that it varies.
TEST_CASE_FIXTURE(pace_fixture, "answer of a peer, reports are delayed differently, counts once")
{
    const time_point at = now + 190ms;
    for (int i = 0; i < 10; ++i) {
        now += 200ms;
        subject.onPeerAnswer(Server, at + std::chrono::milliseconds(4 * i), Usual, Usual);
        subject.tick(now);
    }
    CHECK(subject.share(Server) == 0.25);
}

// A cold server that was set aside once began its slow start in its cold time, and had its full
// share as soon as that was over.
TEST_CASE_FIXTURE(pace_fixture, "start in the future, server falls silent before, is not earlier")
{
    const time_point warmAt = now + 2s;
    subject.begin(Server, warmAt);
    subject.onSilence(Server, now + 100ms);
    while (now < warmAt) {
        step(Usual);
        REQUIRE(subject.share(Server) == 0.125);
    }
    step(Usual);
    CHECK(subject.share(Server) == 0.25);
}

TEST_CASE_FIXTURE(pace_fixture, "unknown times, answers, raise the share")
{
    for (int i = 0; i < 3; ++i) {
        now += 100ms;
        subject.onAnswer(Server, Usual, 0ns, now);
        subject.onPeerAnswer(Server, now, 0ns, Usual);
        now += 100ms;
        subject.tick(now);
    }
    CHECK(subject.share(Server) == 1);
}

TEST_CASE_FIXTURE(pace_fixture, "forgotten server, later answers, has its full share")
{
    subject.forget(Server);
    CHECK(subject.share(Server) == 1);
    step(6 * Usual);
    CHECK(subject.share(Server) == 1);
}

TEST_CASE("slow start, seeded loads, time to the full share")
{
    for (const double answersPerSecond : {2.0, 20.0, 200.0}) {
        seeded_random random(11);
        std::vector<double> seconds;
        for (int run = 0; run < 200; ++run) {
            server_pace pace;
            const time_point begin{1'000s};
            time_point now = begin;
            pace.begin(Server, now);
            while (pace.share(Server) < 1 && now - begin < 60s) {
                const time_point next = now + 200ms;
                for (;;) {
                    // A server in slow start gets its share of the load, with exponential work.
                    const double rate = answersPerSecond * pace.share(Server);
                    now += std::chrono::duration_cast<duration>(
                            std::chrono::duration<double>(random.exponential(1 / rate)));
                    if (now >= next) {
                        break;
                    }
                    const std::chrono::duration<double> work(random.exponential(0.06));
                    pace.onAnswer(Server, std::chrono::duration_cast<duration>(work), Usual, now);
                }
                now = next;
                pace.tick(now);
            }
            REQUIRE(pace.share(Server) == 1);
            seconds.push_back(std::chrono::duration<double>(now - begin).count());
        }
        std::sort(seconds.begin(), seconds.end());
        MESSAGE("full share at ", answersPerSecond, " answers/s: median ", seconds[100],
                " s, 95th percentile ", seconds[190], " s, longest ", seconds.back(), " s");
        CHECK(seconds.front() >= 0.6 - 1e-9);
    }
}

} // namespace ebonyway
