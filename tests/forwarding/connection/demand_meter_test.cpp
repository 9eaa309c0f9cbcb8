#include "core/seeded_random.h"
#include "forwarding/connection/demand_meter.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration TickInterval = 200ms;

struct demand_meter_fixture
{
    static constexpr std::uint32_t Service = 11;
    static constexpr std::uint32_t Route = 21;
    static constexpr std::uint32_t OtherRoute = 22;

    demand_meter subject;
    time_point now{1'000s};
    bool isLightlyLoaded = true;

    demand_meter_fixture() { tick(); }

    void tick()
    {
        now += TickInterval;
        subject.tick([this](std::uint32_t) { return isLightlyLoaded; }, now);
    }
    /** Calls `act` in each interval of the given time. */
    template <typename Action>
    void repeat(duration length, const Action &act)
    {
        for (const time_point end = now + length; now < end;) {
            act();
            tick();
        }
    }
    /** A flow opens, and its first request is answered. */
    void answer(duration time)
    {
        subject.onNewFlow(Service, Route, 1);
        subject.onRequest(Service, Route, true);
        subject.onAnswer(Service, Route, time);
    }
    service_demand demand(std::uint32_t route = Route) const
    {
        for (const service_demand &one : subject.demands()) {
            if (one.service == Service && one.route == route) {
                return one;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE_FIXTURE(demand_meter_fixture, "demand, steady arrivals, has their rates")
{
    repeat(4s, [this] {
        for (int flow = 0; flow < 4; ++flow) {
            answer(30ms);
        }
        subject.onRequest(Service, Route, false);
        subject.onAnswer(Service, Route, 30ms);
        subject.onRefused(Service, Route);
        subject.onRefused(Service, Route);
    });
    CHECK(demand().newFlows == doctest::Approx(20).epsilon(0.01));
    CHECK(demand().laterRequests == doctest::Approx(5).epsilon(0.01));
    CHECK(demand().refused == doctest::Approx(10).epsilon(0.01));
    CHECK(demand().underWay == doctest::Approx(0));
}

// An overload has to show within about a second, or admission starts too late.
TEST_CASE_FIXTURE(demand_meter_fixture, "demand, arrivals begin, is near their rate in a second")
{
    repeat(1s, [this] {
        subject.onNewFlow(Service, Route, 1);
        subject.onNewFlow(Service, Route, 1);
    });
    CHECK(demand().newFlows > 8);
    CHECK(demand().newFlows <= 10);
}

// With a share of 1/4, one admitted caller stands for four; refusals must not be counted again.
TEST_CASE_FIXTURE(demand_meter_fixture,
                  "demand, a quarter of the callers admitted, counts all of them")
{
    repeat(4s, [this] {
        subject.onNewFlow(Service, Route, 4);
        for (int attempt = 0; attempt < 9; ++attempt) {
            subject.onRefused(Service, Route);
        }
    });
    CHECK(demand().newFlows == doctest::Approx(20).epsilon(0.01));
    CHECK(demand().refused == doctest::Approx(45).epsilon(0.01));
}

TEST_CASE_FIXTURE(demand_meter_fixture, "requests under way, answered, are no longer counted")
{
    for (int request = 0; request < 6; ++request) {
        subject.onRequest(Service, Route, true);
    }
    repeat(4s, [] {});
    CHECK(demand().underWay == doctest::Approx(6).epsilon(0.01));
    for (int request = 0; request < 4; ++request) {
        subject.onAnswer(Service, Route, 50ms);
    }
    repeat(4s, [] {});
    CHECK(demand().underWay == doctest::Approx(2).epsilon(0.01));
}

// Requests that end without an answer once stayed under way and made a service seem overloaded.
TEST_CASE_FIXTURE(demand_meter_fixture, "requests under way, abandoned, are no longer counted")
{
    for (int request = 0; request < 3; ++request) {
        subject.onRequest(Service, Route, true);
    }
    repeat(4s, [] {});
    subject.onAbandoned(Service, Route);
    subject.onAbandoned(Service, Route);
    repeat(4s, [] {});
    CHECK(demand().underWay == doctest::Approx(1).epsilon(0.01));
}

// A count below zero would wrap around to four thousand million requests.
TEST_CASE_FIXTURE(demand_meter_fixture, "requests under way, more ends than begins, stay at zero")
{
    subject.onRequest(Service, Route, true);
    subject.onAnswer(Service, Route, 50ms);
    subject.onAnswer(Service, Route, 50ms);
    subject.onAbandoned(Service, Route);
    tick();
    CHECK(demand().underWay == doctest::Approx(0));
}

TEST_CASE_FIXTURE(demand_meter_fixture, "demand that has ceased, nothing under way, is left out")
{
    repeat(2s, [this] { answer(30ms); });
    CHECK(subject.demands().size() == 1);
    repeat(5s, [] {});
    CHECK(subject.demands().empty());
}

TEST_CASE_FIXTURE(demand_meter_fixture, "demand that has ceased, a request under way, is kept")
{
    subject.onNewFlow(Service, Route, 1);
    subject.onRequest(Service, Route, true);
    repeat(20s, [] {});
    CHECK(demand().underWay == doctest::Approx(1));
}

TEST_CASE_FIXTURE(demand_meter_fixture, "demands, several routes, are separate and largest first")
{
    repeat(2s, [this] {
        subject.onNewFlow(Service, Route, 1);
        subject.onNewFlow(Service, OtherRoute, 1);
        subject.onRequest(Service, OtherRoute, true);
        subject.onRequest(Service, OtherRoute, false);
    });
    const std::vector<service_demand> demands = subject.demands();
    REQUIRE(demands.size() == 2);
    CHECK(demands.front().route == OtherRoute);
    CHECK(demand(Route).laterRequests == doctest::Approx(0));
    CHECK(demand(OtherRoute).laterRequests == doctest::Approx(5).epsilon(0.05));
}

TEST_CASE_FIXTURE(demand_meter_fixture, "flow, service unknown, adds no demand")
{
    subject.onNewFlow(0, Route, 1);
    subject.onRequest(0, Route, true);
    subject.onAnswer(0, Route, 50ms);
    subject.onAbandoned(0, Route);
    subject.onRefused(0, Route);
    tick();
    CHECK(subject.demands().empty());
}

TEST_CASE_FIXTURE(demand_meter_fixture, "tick, time has not advanced, changes nothing")
{
    subject.onNewFlow(Service, Route, 1);
    subject.tick([](std::uint32_t) { return true; }, now);
    CHECK(demand().newFlows == doctest::Approx(0));
    tick();
    CHECK(demand().newFlows > 0);
}

TEST_CASE_FIXTURE(demand_meter_fixture, "work time, light load, follows answers up and down")
{
    repeat(2s, [this] { answer(40ms); });
    CHECK(demand().workTime == 40ms);
    repeat(20s, [this] { answer(80ms); });
    CHECK(demand().workTime > 79ms);
    CHECK(demand().workTime <= 80ms);
    repeat(20s, [this] { answer(20ms); });
    CHECK(demand().workTime < 21ms);
    CHECK(demand().workTime >= 20ms);
}

// With the wait in the queue counted as work, an overload would seem to grow the more it lasts.
TEST_CASE_FIXTURE(demand_meter_fixture, "work time, heavy load, ignores longer answers")
{
    repeat(2s, [this] { answer(40ms); });
    isLightlyLoaded = false;
    tick();
    repeat(10s, [this] { answer(400ms); });
    CHECK(demand().workTime == 40ms);
}

// Guards against refusing callers with room after all instances have restarted under load: answer
// times then contain the waits of the callers that come back, and the demand seemed too large.
TEST_CASE_FIXTURE(demand_meter_fixture, "work time, heavy load from the start, stays unknown")
{
    isLightlyLoaded = false;
    tick();
    repeat(10s, [this] { answer(400ms); });
    CHECK(demand().workTime == 0ms);
    isLightlyLoaded = true;
    tick();
    repeat(20s, [this] { answer(50ms); });
    CHECK(demand().workTime >= 50ms);
    CHECK(demand().workTime < 52ms);
}

// A work time that is too long once stayed until the load was light, and the demand seemed many
// times too large until then.
TEST_CASE_FIXTURE(demand_meter_fixture, "work time, heavy load, follows shorter answers")
{
    repeat(1s, [this] { answer(400ms); });
    isLightlyLoaded = false;
    tick();
    CHECK(demand().workTime == 400ms);
    repeat(20s, [this] { answer(50ms); });
    CHECK(demand().workTime < 52ms);
    CHECK(demand().workTime >= 50ms);
}

// Answers shorter than the mean once lowered the work time one by one, down to the shortest, and
// the demand of a loaded service seemed too small.
TEST_CASE_FIXTURE(demand_meter_fixture,
                  "work time, heavy load, mixed requests, stays near the mean")
{
    seeded_random random(1);
    const auto answerMixed = [&](duration wait) {
        for (int request = 0; request < 10; ++request) {
            answer(wait + std::chrono::milliseconds(20 + random.below(61)));
        }
    };
    repeat(20s, [&] { answerMixed(0ms); });
    isLightlyLoaded = false;
    tick();
    for (const duration wait : {duration(10ms), duration(0ms)}) {
        repeat(60s, [&] { answerMixed(wait); });
        CHECK(demand().workTime > 37'500us);
        CHECK(demand().workTime < 62'500us);
        MESSAGE("mean 50 ms, wait ", wait / 1ms, " ms: work time ", demand().workTime / 1us, " us");
    }
}

// One short answer, for example of an error, must not replace the work time.
TEST_CASE_FIXTURE(demand_meter_fixture, "work time, one short answer, changes by a sixteenth")
{
    repeat(2s, [this] { answer(48ms); });
    for (const bool light : {true, false}) {
        CAPTURE(light);
        isLightlyLoaded = light;
        tick();
        const duration before = demand().workTime;
        REQUIRE(before > 40ms);
        answer(0ms);
        CHECK(demand().workTime == before - before / 16);
    }
}

} // namespace ebonyway
