#include "forwarding/version/server_coldness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct coldness_fixture
{
    const time_point now{1'000s};
    const time_point expectedUntil = now + 3'800ms;

    static constexpr store_position BeforeEnd{1, 20};
    static constexpr store_position End{1, 30};
    static constexpr store_position AfterEnd{1, 40};

    server_coldness subject;

    bool isCold(duration after) const { return now + after < subject.until(); }
};

} // namespace

// A report from before the end of an evacuation, learned after it, once made the server warm.
TEST_CASE_FIXTURE(coldness_fixture, "server, warm in a report older than the end, stays cold")
{
    subject.onEvacuationEnd(End, expectedUntil);
    subject.onReport(BeforeEnd, 0ms, now);
    CHECK(isCold(3'700ms));
    CHECK_FALSE(isCold(3'900ms));
}

TEST_CASE_FIXTURE(coldness_fixture, "server, cold in a report after the end, is cold as it says")
{
    subject.onEvacuationEnd(End, expectedUntil);
    subject.onReport(AfterEnd, 900ms, now);
    CHECK(isCold(800ms));
    CHECK_FALSE(isCold(1s));
    subject.onReport({1, 41}, 0ms, now);
    CHECK_FALSE(isCold(0ms));
}

// The server may have written the report before it became cold.
TEST_CASE_FIXTURE(coldness_fixture, "server, warm in a report just after the end, stays cold")
{
    subject.onEvacuationEnd(End, expectedUntil);
    subject.onReport(AfterEnd, 0ms, now);
    CHECK(isCold(3'700ms));
}

TEST_CASE_FIXTURE(coldness_fixture, "server, restarted before the end, is cold for the longer time")
{
    subject.onReport(BeforeEnd, 5s, now);
    subject.onEvacuationEnd(End, expectedUntil);
    CHECK(isCold(4'900ms));
}

TEST_CASE_FIXTURE(coldness_fixture, "same evidence, in any order, has the same result")
{
    const std::vector<std::function<void(server_coldness &)>> evidence{
            [this](server_coldness &one) { one.onReport(BeforeEnd, 0ms, now); },
            [this](server_coldness &one) {
                one.onEvacuationEnd({1, 10}, now + 2s);
            },
            [this](server_coldness &one) { one.onEvacuationEnd(End, expectedUntil); },
    };
    for (const bool reportsCold : {false, true}) {
        std::vector<std::size_t> order{0, 1, 2};
        do {
            server_coldness permuted;
            for (const std::size_t index : order) {
                evidence[index](permuted);
            }
            if (reportsCold) {
                permuted.onReport(AfterEnd, 500ms, now);
            }
            CHECK(permuted.until() == (reportsCold ? now + 500ms : expectedUntil));
        } while (std::next_permutation(order.begin(), order.end()));
    }
    server_coldness reportFirst;
    reportFirst.onReport(AfterEnd, 500ms, now);
    reportFirst.onEvacuationEnd(End, expectedUntil);
    CHECK(reportFirst.until() == now + 500ms);
}

TEST_CASE_FIXTURE(coldness_fixture, "estimate of a peer, shorter, does not make the server warmer")
{
    subject.onReport(BeforeEnd, 2s, now);
    subject.onPeerEstimate(100ms, now);
    CHECK(isCold(1'900ms));
    subject.onPeerEstimate(3s, now);
    CHECK(isCold(2'900ms));
}

} // namespace ebonyway
