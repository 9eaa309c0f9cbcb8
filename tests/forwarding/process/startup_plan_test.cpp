#include "forwarding/process/startup_plan.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct startup_fixture
{
    time_point now{1'000s};

    startup_plan started(bool isFirstStart, bool isSeed) const
    {
        startup_plan plan(isFirstStart);
        plan.start(isSeed, now);
        return plan;
    }
};

} // namespace

TEST_CASE_FIXTURE(startup_fixture, "restart, knowledge incomplete, lists the store at once")
{
    CHECK(started(false, false).mayListStore(true, now));
}

TEST_CASE_FIXTURE(startup_fixture, "restart, not a seed, leaves reading to others for a second")
{
    const startup_plan plan = started(false, false);
    CHECK(!plan.mayBecomeReader(now + 900ms));
    CHECK(plan.mayBecomeReader(now + 1s));
}

TEST_CASE_FIXTURE(startup_fixture, "first start, seed, lists and watches the store at once")
{
    const startup_plan plan = started(true, true);
    CHECK(plan.mayListStore(false, now));
    CHECK(plan.mayBecomeReader(now));
}

TEST_CASE_FIXTURE(startup_fixture, "first start, no other instance heard, lists the store")
{
    const startup_plan plan = started(true, false);
    CHECK(!plan.mayListStore(false, now + 900ms));
    CHECK(plan.mayListStore(false, now + 1s));
}

TEST_CASE_FIXTURE(startup_fixture, "first start, a peer gets answers of the store, waits for it")
{
    const startup_plan plan = started(true, false);
    CHECK(!plan.mayListStore(true, now + 3s));
    CHECK(plan.mayListStore(true, now + 4s));
}

} // namespace ebonyway
