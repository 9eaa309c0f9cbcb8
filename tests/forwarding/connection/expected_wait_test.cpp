#include "forwarding/connection/expected_wait.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr usual_queue Usual{0.5, 60ms};

server_queue queue(double own, duration answerTime = {}, std::uint32_t answerReporters = 0)
{
    return {own, 2, answerTime, answerReporters};
}

} // namespace

TEST_CASE("own requests, more of them, wait longer by the time for each slot")
{
    const duration less = expectedWait(queue(2), Usual);
    const duration more = expectedWait(queue(4), Usual);
    CHECK(more - less >= 60ms - 1us);
    CHECK(more - less <= 60ms + 1us);
}

// A server of which nothing is known must neither draw all flows nor get none.
TEST_CASE("no figures of a server, wait, is that of a server with the usual ones")
{
    CHECK(expectedWait(queue(0), Usual) == expectedWait(queue(0, 60ms, 20), Usual));
    CHECK(expectedWait({0, 2, {}, 0}, {}) == expectedWait({0, 4, {}, 0}, {}));
}

TEST_CASE("usual answer time unknown, answer times, have no influence")
{
    CHECK(expectedWait(queue(1, 6s, 20), {0.5, {}}) == expectedWait(queue(1, 1ms, 20), {0.5, {}}));
}

// Answer times contain waits; small differences once made all instances choose the same servers.
TEST_CASE("answer times below three times the usual one, wait, is the usual one")
{
    for (const duration time : {1ms, 30ms, 59ms, 61ms, 120ms, 179ms}) {
        CHECK(expectedWait(queue(1, time, 300), Usual) == expectedWait(queue(1), Usual));
    }
}

TEST_CASE("slow server, more reporters of its answers, counts as slower up to 8 times")
{
    const duration usual = expectedWait(queue(0), Usual);
    duration before = usual;
    for (const std::uint32_t reporters : {1U, 2U, 8U, 24U, 1'000'000U}) {
        const duration wait = expectedWait(queue(0, 360ms, reporters), Usual);
        CHECK(wait > before);
        before = wait;
    }
    CHECK(before >= 6 * usual - 1ms);
    CHECK(before <= 6 * usual);
    CHECK(expectedWait(queue(0, 60s, 1'000'000), Usual) <= 8 * usual);
}

TEST_CASE("slots, more of them, shorten the wait, and none count as one")
{
    CHECK(expectedWait({4, 8, {}, 0}, Usual) < expectedWait({4, 2, {}, 0}, Usual));
    CHECK(expectedWait({4, 0, {}, 0}, Usual) == expectedWait({4, 1, {}, 0}, Usual));
}

} // namespace ebonyway
