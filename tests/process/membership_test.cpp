#include "process/control_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct membership_fixture
{
    control_fleet fleet{7, {}};

    bool suspectsPartition(std::uint32_t observer)
    {
        return !fleet.node(observer).view.suspectedPartitions.empty();
    }
};

} // namespace

TEST_CASE_FIXTURE(membership_fixture, "membership, 8 instances start together, all see all")
{
    fleet.startMany(8);
    fleet.run(4s);
    CHECK(fleet.hasConverged());
    CHECK(fleet.node(5).view.isFresh);
}

TEST_CASE_FIXTURE(membership_fixture,
                  "membership, an instance crashes, it is dead within 10 intervals")
{
    fleet.startMany(8);
    fleet.run(10s);
    fleet.kill(4);
    fleet.run(5s);
    CHECK(fleet.stateSeen(1, 4) == member_state::Dead);
    CHECK(fleet.hasConverged());
    CHECK_FALSE(suspectsPartition(1));
    fleet.run(65s);
    CHECK(fleet.node(1).view.members.size() == 7);
}

TEST_CASE_FIXTURE(membership_fixture, "membership, a crashed instance restarts, it is alive again")
{
    // Guards against a tombstone of the earlier incarnation that keeps a restarted instance out.
    fleet.startMany(8);
    fleet.run(10s);
    fleet.kill(4);
    fleet.run(5s);
    fleet.start(4, "domain-1");
    fleet.run(3s);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(membership_fixture, "membership, a restart with a lower incarnation, is repaired")
{
    // Guards against an instance that peers ignore for good because its wall clock was set back.
    fleet.startMany(8);
    fleet.run(5s);
    fleet.startWithLowIncarnation(4, "domain-1");
    fleet.run(5s);
    CHECK(fleet.hasConverged());
    CHECK(fleet.node(4).core->isFresh());
}

TEST_CASE_FIXTURE(membership_fixture, "membership, 48 instances and a cut, nobody is declared dead")
{
    // Guards against a partition that is taken for many crashes because its members were last heard
    // at different times.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        control_fleet large(seed, {});
        large.startMany(48);
        large.run(15s);
        large.cut([](std::uint32_t a, std::uint32_t b) { return (a % 3 == 1) != (b % 3 == 1); });
        large.run(60s);
        CHECK(large.node(2).view.suspectedPartitions.size() == 1);
        CHECK(large.events["member_dead"] == 0);
        large.heal();
        large.run(10s);
        CHECK(large.hasConverged());
        CHECK(large.node(2).view.suspectedPartitions.empty());
    }
}

TEST_CASE_FIXTURE(membership_fixture, "membership, a planned stop, peers see it leave at once")
{
    fleet.startMany(8);
    fleet.run(10s);
    fleet.node(4).core->announceLeaving(fleet.now());
    fleet.run(2s);
    CHECK(fleet.stateSeen(1, 4) == member_state::Leaving);
    fleet.node(4).core->announceLeft(fleet.now());
    fleet.run(200ms);
    fleet.kill(4);
    fleet.run(2s);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(membership_fixture, "membership, lossy network, nobody is declared dead")
{
    fleet.network = {1ms, 300ms, 0.15, 0.1};
    fleet.startMany(8);
    fleet.run(120s);
    for (const std::uint32_t id : fleet.running()) {
        CHECK(fleet.node(id).events["member_dead"] == 0);
    }
    fleet.network = {};
    fleet.run(3s);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(membership_fixture, "membership, a domain is cut off, it is suspected, not dead")
{
    // Guards against homes that move to both sides of a partition.
    fleet.startMany(8);
    fleet.run(10s);
    fleet.cut([](std::uint32_t a, std::uint32_t b) { return (a % 3 == 1) != (b % 3 == 1); });
    fleet.run(120s);
    CHECK(suspectsPartition(2));
    CHECK(fleet.node(1).view.suspectedPartitions.size() == 2);
    CHECK(fleet.stateSeen(2, 4) == member_state::Suspect);
    CHECK(fleet.stateSeen(4, 1) == member_state::Joining);
    fleet.heal();
    fleet.run(5s);
    CHECK(fleet.hasConverged());
    CHECK_FALSE(suspectsPartition(2));
}

TEST_CASE_FIXTURE(membership_fixture,
                  "membership, a frozen instance wakes, it is not fresh at first")
{
    // Guards against an instance that routes by what it knew before a long pause.
    fleet.startMany(8);
    fleet.run(10s);
    fleet.freeze(4, 30s);
    fleet.run(29900ms);
    CHECK(fleet.stateSeen(1, 4) == member_state::Dead);
    control_core &core = *fleet.node(4).core;
    CHECK(core.isFresh());
    core.onTick(fleet.now() + 100ms);
    CHECK_FALSE(core.isFresh());
    fleet.run(3s);
    CHECK(core.isFresh());
    CHECK(fleet.hasConverged());
}

} // namespace ebonyway
