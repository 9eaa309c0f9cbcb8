#include "forwarding/connection/deployment_load.h"
#include "forwarding/directory_samples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Servers = 2'000;

std::set<std::uint64_t> reservedServers(double share)
{
    std::set<std::uint64_t> reserved;
    for (std::uint64_t key = 1; key <= Servers; ++key) {
        if (isReserved(server_key{key}, share)) {
            reserved.insert(key);
        }
    }
    return reserved;
}

/** Urgent "order" callers and less urgent "feed" callers of one service. */
struct reserved_shares_fixture
{
    directory_builder knowledge{{}};
    server_evidence evidence;
    deployment_load subject{"a"};
    time_point now{1'000s};

    reserved_shares_fixture()
    {
        desired_state state = samples::desiredState(1);
        for (route &to : state.routes) {
            to.priority = to.name == "feed" ? 1 : 0;
        }
        knowledge.apply(store_kind::DesiredState, samples::object(state, 1), now);
        for (const std::uint64_t key : {1, 2, 3}) {
            knowledge.apply(store_kind::BackendServers,
                            samples::object(samples::entry(key, "a"), 1 + key), now);
        }
    }

    static domain_demand demandOf(const endpoint &address, double newFlows)
    {
        service_demand demand;
        demand.service = demandTag("desk");
        demand.route = demandTag(address);
        demand.newFlows = newFlows;
        demand.underWay = newFlows / 20;
        demand.workTime = 50ms;
        return {"a", demand};
    }

    void update(deployment_load &load, double urgent, double other)
    {
        const auto servers = knowledge.snapshot();
        load.update(*servers, evidence,
                    {{demandOf(samples::orderAddress(), urgent),
                      demandOf(samples::feedAddress(), other)},
                     {},
                     1},
                    {}, now);
    }

    void updateFor(duration length, double urgent, double other)
    {
        for (const time_point end = now + length; now < end;) {
            now += 200ms;
            update(subject, urgent, other);
        }
    }

    double reservedShare(const deployment_load &load, std::uint32_t priority) const
    {
        const service_room *room = load.find("desk");
        REQUIRE(room);
        return room->reservedShare(priority);
    }
};

} // namespace

// Guards against a reserve of another size than the one computed.
TEST_CASE("reserved servers, any share, are that share of the servers")
{
    CHECK(reservedServers(0).empty());
    CHECK(reservedServers(1).size() == Servers);
    for (const double share : {0.1, 0.3, 0.5}) {
        CAPTURE(share);
        const auto count = static_cast<double>(reservedServers(share).size());
        CHECK(std::abs(count / Servers - share) < 0.04);
    }
}

// Guards against servers that move in and out of the reserve, where open flows cannot follow.
TEST_CASE("reserved servers, share grows, remain reserved")
{
    std::set<std::uint64_t> before;
    for (double share = 0; share <= 0.5; share += 0.05) {
        const std::set<std::uint64_t> reserved = reservedServers(share);
        CHECK(std::includes(reserved.begin(), reserved.end(), before.begin(), before.end()));
        before = reserved;
    }
}

// Guards against a reserve that leaves too little to less urgent flows, and one that urgent flows
// are kept out of.
TEST_CASE_FIXTURE(reserved_shares_fixture, "reserved share, any demand, is at most half")
{
    for (const double urgent : {0.0, 1.0, 10.0, 100.0, 10'000.0}) {
        CAPTURE(urgent);
        deployment_load load("a");
        update(load, urgent, 50);
        CHECK(reservedShare(load, 0) == 0);
        CHECK(reservedShare(load, 1) >= 0);
        CHECK(reservedShare(load, 1) <= 0.5);
        CHECK((reservedShare(load, 1) > 0) == (urgent > 0));
        CHECK(reservedShare(load, 7) == 0);
    }
}

// Guards against a reserve that follows a short surge: its servers would change while the long
// flows on them stay.
TEST_CASE_FIXTURE(reserved_shares_fixture, "reserved share, surge for two seconds, is stable")
{
    updateFor(60s, 5, 95);
    const double before = reservedShare(subject, 1);
    REQUIRE(before > 0.05);
    double previous = before;
    for (int step = 0; step < 10; ++step) {
        updateFor(200ms, 50, 95);
        const double share = reservedShare(subject, 1);
        CHECK(std::abs(share - previous) < 0.01);
        previous = share;
    }
    CHECK(std::abs(previous - before) < 0.1);
    updateFor(60s, 50, 95);
    CHECK(reservedShare(subject, 1) > before + 0.3);
}

// Guards against instances that reserve different servers for the same demand.
TEST_CASE_FIXTURE(reserved_shares_fixture,
                  "reserved share, instance that started later, becomes the same as elsewhere")
{
    updateFor(60s, 5, 95);
    deployment_load later("b");
    update(later, 5, 95);
    CHECK(reservedShare(later, 1) == doctest::Approx(reservedShare(subject, 1)).epsilon(0.01));
    CHECK(reservedServers(reservedShare(later, 1)) == reservedServers(reservedShare(subject, 1)));
}

} // namespace ebonyway
