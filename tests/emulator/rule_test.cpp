#include "emulator/emulation_samples.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t SeedCount = 5;

/** Shows that a promise holds, and that it does not without one mechanism of the product. */
struct rule_fixture
{
    scenario plan = samples::smallDeployment();

    std::size_t daysBroken(const std::string &rule, const std::set<omitted_mechanism> &omitted)
    {
        std::size_t days = 0;
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            emulation day(plan, {seed, omitted, nullptr});
            const emulation_report report = day.run();
            INFO(samples::brokenRules(report));
            if (omitted.empty()) {
                CHECK(report.broken.empty());
                CHECK(report.requestsRunTwice == 0);
            }
            days += report.isBroken(rule) ? 1 : 0;
        }
        return days;
    }

    void checkNeeds(const std::string &rule, omitted_mechanism mechanism)
    {
        CHECK(daysBroken(rule, {}) == 0);
        CHECK(daysBroken(rule, {mechanism}) > 0);
    }
};

} // namespace

TEST_CASE_FIXTURE(rule_fixture, "ROUTE, address reused by another service, needs the server check")
{
    plan.events = {samples::event("server_reuse", 5s, 5s, 4)};
    checkNeeds("ROUTE", omitted_mechanism::ServerCheck);
}

TEST_CASE_FIXTURE(rule_fixture, "DRAIN, servers leave, needs the news of it")
{
    plan.events = {samples::event("server_drain", 5s, 5s, 4)};
    checkNeeds("DRAIN", omitted_mechanism::DrainNews);
}

// Reports from before the end of the evacuation, which arrive after it, once made cold servers
// warm.
TEST_CASE_FIXTURE(rule_fixture, "FAILBACK, servers replaced until a domain is back, holds")
{
    plan.failureDomains = {"a", "b"};
    plan.services.front().coldRate = 2;
    plan.traffic[1].rate = 240;
    for (std::chrono::milliseconds phase = 0ms; phase < 1'200ms; phase += 100ms) {
        scenario_event away = samples::event("evacuation", 3s, 6s + phase);
        away.failureDomain = "a";
        scenario_event replaced = samples::event("server_replace", 4s, 5s, 8);
        replaced.gap = 660ms;
        plan.events = {away, replaced};
        INFO(phase.count());
        CHECK(daysBroken("FAILBACK", {}) == 0);
    }
}

TEST_CASE_FIXTURE(rule_fixture, "CONFIG, route withdrawn, needs later desired states")
{
    plan.events = {samples::event("route_removed", 5s, 5s)};
    checkNeeds("CONFIG", omitted_mechanism::DesiredStateNews);
}

TEST_CASE_FIXTURE(rule_fixture, "CONFIG, store back from an older copy, needs the store's era")
{
    plan.events = {samples::event("server_replace", 1s, 1s, 5),
                   samples::event("route_added", 6s, 1s),
                   samples::event("store_restored", 7s, 1s, 1, 8),
                   samples::event("route_removed", 10s, 5s)};
    checkNeeds("CONFIG", omitted_mechanism::StoreEra);
}

TEST_CASE_FIXTURE(rule_fixture, "DRAIN, store back from an older copy, needs the store's era")
{
    plan.length = 25s;
    plan.events = {samples::event("server_crash", 2s, 4s, 8),
                   samples::event("store_restored", 10s, 1s, 1, 12),
                   samples::event("server_drain", 13s, 1s, 8)};
    checkNeeds("DRAIN", omitted_mechanism::StoreEra);
}

TEST_CASE_FIXTURE(rule_fixture, "EVAC, failure domain evacuated, needs the news of it")
{
    plan.events = {samples::event("evacuation", 5s, 12s)};
    checkNeeds("EVAC", omitted_mechanism::EvacuationNews);
}

TEST_CASE_FIXTURE(rule_fixture, "FAILBACK, only cold servers, needs the shared rate")
{
    plan.services[0].servers = 3;
    plan.services[0].slots = 16;
    plan.services[0].coldRate = 5;
    plan.services[0].coldTime = 6s;
    plan.events = {samples::event("server_replace", 5s, 5s, 7)};
    plan.events[0].gap = 1ms;
    checkNeeds("FAILBACK", omitted_mechanism::SharedColdRate);
}

TEST_CASE_FIXTURE(rule_fixture, "FLOW, instance killed, needs the token")
{
    plan.events = {samples::event("instance_kill", 5s, 5s)};
    checkNeeds("FLOW", omitted_mechanism::Token);
}

TEST_CASE_FIXTURE(rule_fixture, "FLOW, instance with a narrow link, needs what others say")
{
    plan.events = {samples::event("narrow_link", 4s, 14s, 2, 60)};
    checkNeeds("FLOW", omitted_mechanism::PeerEvidence);
}

TEST_CASE_FIXTURE(rule_fixture, "RECOVER, all instances killed, needs the store")
{
    plan.length = 30s;
    plan.events = {samples::event("all_instances_kill", 10s, 1s)};
    checkNeeds("RECOVER", omitted_mechanism::StoreAfterRestart);
}

} // namespace ebonyway
