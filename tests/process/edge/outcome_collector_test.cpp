#include "process/edge/outcome_collector.h"
#include "process/edge/traffic_counters.h"
#include "version/intent.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct outcome_collector_fixture
{
    outcome_collector_fixture()
    {
        service known;
        known.name = "vitrine";
        current.services.push_back(known);
    }

    void collectAfter(duration wait)
    {
        now += wait;
        wall += std::chrono::duration_cast<std::chrono::seconds>(wait);
        collector.collect(current, {&counters}, now, wall);
    }

    std::uint64_t flows(flow_outcome outcome) const
    {
        return collector.outcomes().flowsIn({}, 0, wall)[flowOutcomeIndex(outcome)];
    }

    intent current;
    traffic_counters counters;
    outcome_collector collector;
    time_point now{1000s};
    flow_outcome_log::wall_time wall{std::chrono::seconds{1'800'000'000}};
};

} // namespace

TEST_CASE_FIXTURE(outcome_collector_fixture, "outcomes, counters grow, are counted once")
{
    counters.service({}).answered = 10;
    collectAfter(10s);
    collectAfter(10s);
    counters.service({}).answered = 15;
    counters.service({}).refusedOverloaded = 2;
    collectAfter(10s);
    CHECK(flows(flow_outcome::Good) == 15);
    CHECK(flows(flow_outcome::RefusedOverloaded) == 2);
}

TEST_CASE_FIXTURE(outcome_collector_fixture, "outcomes, answers lag by chance, show no failure")
{
    // Guards against a burn report that blames the spray of packets over instances.
    collectAfter(1s);
    counters.service({}).offered = 1000;
    counters.service({}).answered = 950;
    collectAfter(60s);
    CHECK(flows(flow_outcome::NoAnswer) == 0);
}

TEST_CASE_FIXTURE(outcome_collector_fixture, "outcomes, no answers at all, are unanswered flows")
{
    collectAfter(1s);
    counters.service({}).offered = 1000;
    collectAfter(60s);
    // 1000 less three standard deviations of the difference of two Poisson counts.
    CHECK(flows(flow_outcome::NoAnswer) == 865);
}

} // namespace ebonyway
