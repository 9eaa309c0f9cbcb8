#include "emulator/emulation_samples.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// The target of the large fleet is 800 store calls on a calm day of 48 s. A start of all instances
// may use a quarter of it: one call for each of 195 instances. Reading goes on meanwhile.
constexpr std::uint64_t MaxCallsOfStart = 200;

// The target of a day with restarts is 600 store calls. A restart of half of the instances may use
// half of them.
constexpr std::uint64_t MaxCallsOfRestarts = 300;

/** 195 instances in five failure domains before 290 backend servers, with little load. */
struct large_fleet_fixture
{
    scenario plan = samples::smallDeployment();

    large_fleet_fixture()
    {
        plan.failureDomains = {"a", "b", "c", "d", "e"};
        plan.instancesPerDomain = 39;
        plan.services[0].servers = 234;
        plan.services[1].servers = 56;
        plan.length = 1s;
    }

    emulation_report play()
    {
        emulation day(plan, {1, {}, nullptr});
        return day.run();
    }
};

} // namespace

TEST_CASE_FIXTURE(large_fleet_fixture, "first start, 195 instances, needs few store calls")
{
    const emulation_report report = play();
    INFO(samples::brokenRules(report));
    CHECK(report.broken.empty());
    CHECK(report.all.failed == 0);
    CHECK(report.storeCalls < MaxCallsOfStart);
}

TEST_CASE_FIXTURE(large_fleet_fixture,
                  "90 of 195 instances, killed at once, restart with few store calls")
{
    plan.length = 5s;
    const std::uint64_t calm = play().storeCalls;
    plan.events = {samples::event("instance_kill", 500ms, 0s, 90)};
    const emulation_report report = play();
    INFO(samples::brokenRules(report));
    CHECK(report.broken.empty());
    CHECK(report.storeCalls < calm + MaxCallsOfRestarts);
}

} // namespace ebonyway
