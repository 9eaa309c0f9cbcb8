#include "emulator/emulation_samples.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct emulation_fixture
{
    scenario plan = samples::smallDeployment();

    emulation_report play(std::uint64_t seed, const std::set<omitted_mechanism> &omitted = {})
    {
        emulation day(plan, {seed, omitted, nullptr});
        return day.run();
    }
};

} // namespace

TEST_CASE_FIXTURE(emulation_fixture, "calm day, every request, is answered within its goal")
{
    const emulation_report report = play(1);
    INFO(samples::brokenRules(report));
    CHECK(report.broken.empty());
    CHECK(report.all.asked() > 3'000);
    CHECK(report.all.failed == 0);
    CHECK(report.all.inGoalShare() > 0.99);
    CHECK(report.requestsRunTwice == 0);
}

TEST_CASE_FIXTURE(emulation_fixture, "same scenario and seed, played again, give the same day")
{
    plan.length = 5s;
    const emulation_report first = play(3);
    const emulation_report second = play(3);
    CHECK(first.all.inGoal == second.all.inGoal);
    CHECK(first.storeCalls == second.storeCalls);
    CHECK(first.peerMessages == second.peerMessages);
}

} // namespace ebonyway
