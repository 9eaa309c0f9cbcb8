#include "forwarding/directory_samples.h"
#include "forwarding/process/startup_plan.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct restart_fixture
{
    startup_plan subject{false};
    time_point now{1'000s};

    restart_fixture()
    {
        subject.start({samples::address(0x0a010001, 7720), samples::address(0x0a010002, 7720)},
                      false, now);
    }
};

struct first_start_fixture
{
    time_point now{1'000s};

    startup_plan started(bool isSeed) const
    {
        startup_plan plan(true);
        plan.start({samples::address(0x0a010001, 7720)}, isSeed, now);
        return plan;
    }
};

} // namespace

TEST_CASE_FIXTURE(restart_fixture, "restart, seeds not asked yet, asks each once before the store")
{
    CHECK(!subject.mayListStore(false, false, now));
    const auto first = subject.nextSeed();
    REQUIRE(first);
    CHECK(!subject.mayListStore(false, true, now));
    const auto second = subject.nextSeed();
    REQUIRE(second);
    CHECK(*first != *second);
    CHECK(!subject.nextSeed());
}

TEST_CASE_FIXTURE(restart_fixture, "restart, all seeds refuse, lists the store at once")
{
    subject.nextSeed();
    subject.nextSeed();
    CHECK(!subject.mayListStore(false, true, now + 5ms));
    CHECK(subject.mayListStore(false, false, now + 5ms));
}

TEST_CASE_FIXTURE(restart_fixture, "restart, seed does not answer, lists the store within 0.2 s")
{
    subject.nextSeed();
    CHECK(subject.mayListStore(true, true, now + 200ms));
}

TEST_CASE_FIXTURE(restart_fixture, "restart, peers known, leaves reading to others for a second")
{
    CHECK(!subject.mayBecomeReader(true, now + 900ms));
    CHECK(subject.mayBecomeReader(true, now + 1s));
    CHECK(subject.mayBecomeReader(false, now));
}

TEST_CASE_FIXTURE(first_start_fixture, "first start, seed, lists and watches the store at once")
{
    const startup_plan plan = started(true);
    CHECK(plan.mayListStore(false, false, now));
    CHECK(plan.mayBecomeReader(true, now));
}

TEST_CASE_FIXTURE(first_start_fixture, "first start, no other instance heard, lists the store")
{
    startup_plan plan = started(false);
    CHECK(!plan.nextSeed());
    CHECK(!plan.mayListStore(false, false, now + 900ms));
    CHECK(plan.mayListStore(false, false, now + 1s));
}

TEST_CASE_FIXTURE(first_start_fixture, "first start, a peer reads the store, waits for it")
{
    const startup_plan plan = started(false);
    CHECK(!plan.mayListStore(true, false, now + 3s));
    CHECK(plan.mayListStore(true, false, now + 4s));
}

} // namespace ebonyway
