#include "process/fake_platform.h"
#include "process/fenced_object.h"
#include "process/lease.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct lease_fixture
{
    /** The platform answers immediately; only the time passed in moves. */
    fake_platform platform{[](time_point, const std::function<void()> &run) {
        run();
    }};
    time_point now{1000s};
    lease first{"leases/test", instance_id{1}, 1, now};
    lease second{"leases/test", instance_id{2}, 2, now};

    lease_fixture()
    {
        platform.faults.latency = 0s;
        first.setCandidate(true);
        second.setCandidate(true);
    }

    result<platform_answer> carryOut(const platform_request &request)
    {
        result<platform_answer> answer = error{};
        platform.call(request, now, now + 1s,
                      [&answer](const result<platform_answer> &outcome) { answer = outcome; });
        return answer;
    }

    void tick(lease &candidate)
    {
        while (const auto request = candidate.nextCall(now)) {
            candidate.onResult(carryOut(*request), now);
        }
    }

    void write(fenced_object &object)
    {
        for (int i = 0; i < 5; ++i) {
            if (const auto request = object.nextCall()) {
                object.onResult(carryOut(*request));
            }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(lease_fixture,
                  "lease, the holder stops, the second takes over after the lease time")
{
    tick(first);
    tick(second);
    CHECK(first.isHeld(now));
    CHECK_FALSE(second.isHeld(now));
    const std::uint64_t epoch = first.epoch();
    const time_point stopped = now;
    while (!second.isHeld(now)) {
        now += 1s;
        tick(second);
        CHECK_FALSE((first.isHeld(now) && second.isHeld(now)));
        REQUIRE(now - stopped < 60s);
    }
    CHECK(second.epoch() > epoch);
    tick(first);
    CHECK_FALSE(first.isHeld(now));
}

TEST_CASE_FIXTURE(lease_fixture, "lease, the answer to a write is lost, a read recovers it")
{
    const auto read = first.nextCall(now);
    first.onResult(carryOut(*read), now);
    const auto write = first.nextCall(now);
    REQUIRE(std::holds_alternative<put_object>(*write));
    CHECK(isOk(carryOut(*write)));
    first.onResult(error{error_kind::OutcomeUnknown, "no answer", "Read"}, now);
    now += 2s;
    tick(first);
    CHECK(first.isHeld(now));
    CHECK(first.epoch() == 1);
}

TEST_CASE_FIXTURE(lease_fixture,
                  "lease that the store lost, holder not aware of it, is not given to another")
{
    tick(first);
    tick(second);
    REQUIRE(first.isHeld(now));
    now += 4s; // Before the first renewal.
    platform.restoreCopy(0, now);
    for (int i = 0; i < 60; ++i) {
        // The holder is paused; its lease runs out on its own clock.
        now += 500ms;
        tick(second);
        CHECK_FALSE((first.isHeld(now) && second.isHeld(now)));
    }
    CHECK(second.isHeld(now));
}

TEST_CASE_FIXTURE(lease_fixture, "lease in an older copy, next holder, gets an epoch never used")
{
    tick(first);
    tick(second);
    const std::uint64_t copy = platform.revision();
    while (!second.isHeld(now)) {
        now += 1s;
        tick(second);
    }
    CHECK(second.epoch() == 2);
    tick(first);
    platform.restoreCopy(copy, now);
    while (!first.isHeld(now)) {
        now += 1s;
        tick(first);
        CHECK_FALSE((first.isHeld(now) && second.isHeld(now)));
    }
    CHECK(first.epoch() > 2);
}

TEST_CASE_FIXTURE(lease_fixture, "fenced object, a late write of a paused holder, fails")
{
    fenced_object early("status/x");
    fenced_object late("status/x");
    late.want(R"({"from": 1})", 1);
    late.onResult(carryOut(*late.nextCall()));
    write(late);
    late.want(R"({"from": 1, "more": true})", 1);
    const auto delayed = late.nextCall();
    REQUIRE(std::holds_alternative<put_object>(*delayed));

    early.want(R"({"from": 2})", 2);
    write(early);
    CHECK(early.isWritten());
    late.onResult(carryOut(*delayed));
    write(late);
    CHECK(late.isSuperseded());
    CHECK(platform.value("status/x")->find("\"from\" : 2") != std::string::npos);
}

} // namespace ebonyway
