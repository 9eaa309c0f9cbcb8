#include "forwarding/connection/expected_wait.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr usual_queue Usual{0.5, 60ms};

server_queue queue(double own, double peers, std::uint32_t reporters = 20)
{
    return {own, peers, reporters, 2, {}, 0};
}

} // namespace

TEST_CASE("server without requests, all reported, answers in the usual time")
{
    CHECK(expectedWait(queue(0, 0, 1'000'000), Usual) >= 60ms);
    CHECK(expectedWait(queue(0, 0, 1'000'000), Usual) < 61ms);
}

TEST_CASE("own requests, more of them, wait longer by the time for each slot")
{
    const duration less = expectedWait(queue(2, 1), Usual);
    const duration more = expectedWait(queue(4, 1), Usual);
    CHECK(more - less >= 60ms - 1us);
    CHECK(more - less <= 60ms + 1us);
}

TEST_CASE("requests of peers, more reporters, count more")
{
    const duration usual = expectedWait(queue(0, 1, 0), Usual);
    CHECK(expectedWait(queue(0, 9, 0), Usual) == usual);
    duration before = usual;
    for (const std::uint32_t reporters : {1U, 2U, 8U, 24U, 300U}) {
        const duration wait = expectedWait(queue(0, 9, reporters), Usual);
        CHECK(wait > before);
        before = wait;
    }
}

// A server of which nothing is known must neither draw all flows nor get none.
TEST_CASE("no figures of a server, wait, is that of a server with the usual ones")
{
    const duration unknown = expectedWait(queue(0, 0, 0), Usual);
    CHECK(unknown == expectedWait({0, 1, 20, 2, 60ms, 20}, Usual));
    CHECK(expectedWait({0, 0, 0, 2, {}, 0}, {}) == expectedWait({0, 0, 0, 4, {}, 0}, {}));
}

TEST_CASE("usual answer time unknown, answer times, have no influence")
{
    CHECK(expectedWait({1, 1, 20, 2, 6s, 20}, {0.5, {}})
          == expectedWait({1, 1, 20, 2, 1ms, 20}, {0.5, {}}));
}

TEST_CASE("slow server, more reporters of its answers, counts as slower up to 8 times")
{
    const duration usual = expectedWait(queue(0, 1), Usual);
    duration before = usual;
    for (const std::uint32_t reporters : {1U, 2U, 8U, 24U, 1'000'000U}) {
        const duration wait = expectedWait({0, 1, 20, 2, 360ms, reporters}, Usual);
        CHECK(wait > before);
        before = wait;
    }
    CHECK(before >= 6 * usual - 1ms);
    CHECK(before <= 6 * usual);
    CHECK(expectedWait({0, 1, 20, 2, 60s, 1'000'000}, Usual) <= 8 * usual);
    CHECK(expectedWait({0, 1, 20, 2, 1ms, 1'000'000}, Usual) >= usual / 2);
}

TEST_CASE("slots, more of them, shorten the wait, and none count as one")
{
    CHECK(expectedWait({4, 0, 0, 8, {}, 0}, Usual) < expectedWait({4, 0, 0, 2, {}, 0}, Usual));
    CHECK(expectedWait({4, 0, 0, 0, {}, 0}, Usual) == expectedWait({4, 0, 0, 1, {}, 0}, Usual));
}

} // namespace ebonyway
