#include "emulator/emulation_samples.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t SeedCount = 3;

/** Plays every kind of event, alone and in overlapping pairs. */
struct trouble_fixture
{
    scenario plan = samples::smallDeployment();

    static scenario_event eventOf(const std::string &kind, std::chrono::milliseconds at)
    {
        std::uint32_t strength = 3;
        if (kind == "narrow_link" || kind == "loss") {
            strength = 20; // percent
        }
        return samples::event(kind, at, 4s, 2, strength);
    }

    void checkRulesKept(std::uint64_t seed, const std::string &name)
    {
        emulation day(plan, {seed, {}, nullptr});
        const emulation_report report = day.run();
        INFO(name << ", seed " << seed << ": " << samples::brokenRules(report));
        CHECK(report.broken.empty());
        CHECK(report.requestsRunTwice == 0);
    }
};

} // namespace

TEST_CASE_FIXTURE(trouble_fixture, "each kind of event, alone, breaks no rule")
{
    for (const std::string &kind : scenarioEventKinds()) {
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            plan.events = {eventOf(kind, 5s)};
            checkRulesKept(seed, kind);
        }
    }
}

TEST_CASE_FIXTURE(trouble_fixture, "each pair of events, overlapping, breaks no rule")
{
    plan.length = 12s;
    std::uint64_t seed = 0;
    for (const std::string &one : scenarioEventKinds()) {
        for (const std::string &other : scenarioEventKinds()) {
            if (one < other) {
                continue;
            }
            ++seed;
            const bool inOrder = seed % 2 == 0;
            const std::string &first = inOrder ? one : other;
            const std::string &second = inOrder ? other : one;
            plan.events = {eventOf(first, 2s), eventOf(second, 3'500ms)};
            std::string name = first;
            name.append(" and ").append(second);
            checkRulesKept(seed, name);
        }
    }
}

} // namespace ebonyway
