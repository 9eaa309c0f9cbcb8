#include "forwarding/connection/placement.h"
#include "forwarding/connection/placement_samples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ServerCount = 120;
constexpr std::size_t OwnServers = 40; ///< Servers of the domain "a": 1, 4, 7 and so on.

/** An instance with 120 servers, and the load that it knows. */
struct placement_fixture
{
    samples::placing_instance instance{samples::deskDirectory(samples::deskServers(ServerCount))};
    shared_load shared;

    /** Demand of half of the slots in each domain, and the same load at all servers. */
    placement_fixture()
    {
        shared.reporters = 24;
        for (const char *domain : samples::PlacementDomains) {
            shared.demands.push_back(samples::deskDemand(domain, samples::feedAddress(), 40));
        }
        for (std::size_t key = 1; key <= ServerCount; ++key) {
            shared.servers.push_back({server_key{key}, 1, 1, 60ms, 10});
        }
    }

    server_usage &usage(std::uint64_t key) { return shared.servers[key - 1]; }
};

std::size_t totalOf(const std::vector<std::size_t> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

} // namespace

TEST_CASE_FIXTURE(placement_fixture, "many servers, same figures, get equal numbers of flows")
{
    instance.setLoad(shared);
    const std::vector<std::size_t> counts = instance.place(40'000);
    for (std::size_t key = 1; key <= ServerCount; ++key) {
        CAPTURE(key);
        if (key % 3 == 1) {
            CHECK(counts[key] > 850);
            CHECK(counts[key] < 1'150);
        } else {
            CHECK(counts[key] == 0);
        }
    }
}

// Without figures, a fixed order of the servers would direct all instances to the same ones.
TEST_CASE_FIXTURE(placement_fixture, "many servers, nothing known, have equal chances")
{
    for (const bool isDemandKnown : {false, true}) {
        CAPTURE(isDemandKnown);
        shared.servers.clear();
        shared.reporters = 0;
        if (!isDemandKnown) {
            shared.demands.clear();
        }
        instance.setLoad(shared);
        const std::vector<std::size_t> counts = instance.place(40'000);
        for (std::size_t key = 1; key <= ServerCount; key += 3) {
            CHECK(counts[key] > 850);
            CHECK(counts[key] < 1'150);
        }
    }
}

// A server that gets nothing shows no answers, so that nobody would learn of its recovery.
TEST_CASE_FIXTURE(placement_fixture, "slow server, gets few flows, and its part after recovery")
{
    constexpr std::uint64_t Slow = 7;
    const time_point recoversAt = instance.now + 60s;
    time_point lastAnswer = instance.now;
    double slowFlows = 0;
    double allFlows = 0;
    double flowsAfter = 0;
    double allFlowsAfter = 0;
    duration answerTime = 360ms;
    while (instance.now < recoversAt + 60s) {
        // Reports contain the answer times of the last two seconds.
        const bool isKnown = instance.now - lastAnswer <= 2s;
        usage(Slow).answerTime = isKnown ? answerTime : 0ns;
        usage(Slow).answerReporters = isKnown ? 10 : 0;
        instance.setLoad(shared);
        const std::vector<std::size_t> counts = instance.place(100);
        const bool isSlow = instance.now < recoversAt;
        (isSlow ? slowFlows : flowsAfter) += static_cast<double>(counts[Slow]);
        (isSlow ? allFlows : allFlowsAfter) += 100;
        if (counts[Slow] > 0) {
            lastAnswer = instance.now;
            answerTime = isSlow ? 360ms : 60ms;
        }
        instance.now += 200ms;
    }
    MESSAGE("slow server: ", slowFlows * OwnServers / allFlows,
            " of its part of the flows, after its recovery ",
            flowsAfter * OwnServers / allFlowsAfter);
    CHECK(slowFlows > 0);
    CHECK(slowFlows * OwnServers / allFlows < 0.3);
    CHECK(flowsAfter * OwnServers / allFlowsAfter > 0.85);
    CHECK(flowsAfter * OwnServers / allFlowsAfter < 1.15);
}

TEST_CASE_FIXTURE(placement_fixture, "slow servers, a third of the domain, get few flows")
{
    for (std::uint64_t key = 1; key <= OwnServers; key += 3) {
        // Four and a half times the mean answer time of all servers.
        usage(key).answerTime = 1'200ms;
        usage(key).answerReporters = 1;
    }
    instance.setLoad(shared);
    const std::vector<std::size_t> counts = instance.place(20'000);
    std::size_t slow = 0;
    for (std::uint64_t key = 1; key <= OwnServers; key += 3) {
        slow += counts[key];
    }
    // A slow server is chosen only if all sampled ones are: (14 / 40)^4 of the flows.
    CHECK(slow > 0);
    CHECK(static_cast<double>(slow) < 0.03 * 20'000);
}

TEST_CASE_FIXTURE(placement_fixture, "surge in the own domain, flows, follow the domains' shares")
{
    for (domain_demand &one : shared.demands) {
        if (one.failureDomain == "a") {
            one.demand.underWay = 120;
        }
    }
    instance.setLoad(shared);
    const service_room *room = instance.load.find("desk");
    REQUIRE(room);
    const std::vector<std::size_t> counts = instance.place(40'000);
    for (std::size_t domain = 0; domain < room->domains.size(); ++domain) {
        double flows = 0;
        for (std::size_t key = domain + 1; key <= ServerCount; key += 3) {
            flows += static_cast<double>(counts[key]);
        }
        CHECK(room->shares[domain] > 0.1);
        CHECK(flows / 40'000 == doctest::Approx(room->shares[domain]).epsilon(0.05));
    }
}

TEST_CASE_FIXTURE(placement_fixture, "reserved servers, less urgent flows, are left to urgent ones")
{
    for (const char *domain : samples::PlacementDomains) {
        shared.demands.push_back(samples::deskDemand(domain, samples::orderAddress(), 120));
    }
    instance.setLoad(shared);
    const service_room *room = instance.load.find("desk");
    REQUIRE(room);
    const double share = room->reservedShare(1);
    CHECK(share == doctest::Approx(0.4));
    CHECK(room->reservedShare(0) == 0);
    const auto reservedPart = [&](std::uint32_t priority) {
        const std::vector<std::size_t> counts = instance.place(20'000, priority);
        std::size_t reserved = 0;
        for (std::uint64_t key = 1; key <= ServerCount; ++key) {
            reserved += isReserved(server_key{key}, share) ? counts[key] : 0;
        }
        return static_cast<double>(reserved) / static_cast<double>(totalOf(counts));
    };
    CHECK(reservedPart(0) > 0.3);
    // Only if all sampled servers are reserved.
    CHECK(reservedPart(1) < 0.1);

    // Four times the wait elsewhere is more than the factor of reserved servers.
    for (server_usage &one : shared.servers) {
        one.underWay = isReserved(one.server, share) ? 0 : 8;
    }
    instance.setLoad(shared);
    CHECK(reservedPart(1) > 0.8);
}

TEST_CASE_FIXTURE(placement_fixture, "server in slow start, many servers, gets its share")
{
    constexpr std::uint64_t Started = 10;
    instance.setLoad(shared);
    instance.pace.begin(server_key{Started}, instance.now);
    for (const double share : {0.125, 0.25, 0.5}) {
        const std::vector<std::size_t> counts = instance.place(80'000);
        const double part = static_cast<double>(counts[Started]) * OwnServers / 80'000;
        CHECK(part == doctest::Approx(share).epsilon(0.2));
        instance.pace.onAnswer(server_key{Started}, 60ms, 60ms, instance.now);
        instance.now += 200ms;
        instance.pace.tick(instance.now);
    }
    const std::vector<std::size_t> counts = instance.place(80'000);
    CHECK(static_cast<double>(counts[Started]) * OwnServers / 80'000
          == doctest::Approx(1).epsilon(0.1));
}

// An idle server has the least wait; without its share it would get all flows that sample it.
TEST_CASE_FIXTURE(placement_fixture, "server in slow start, all others busy, gets no more flows")
{
    constexpr std::uint64_t Started = 10;
    for (server_usage &one : shared.servers) {
        one.underWay = one.server.value == Started ? 0 : 6;
    }
    instance.setLoad(shared);
    instance.pace.begin(server_key{Started}, instance.now);
    const std::vector<std::size_t> counts = instance.place(80'000);
    // It wins against all others where it is sampled, which is four times as often as usual.
    CHECK(static_cast<double>(counts[Started]) * OwnServers / 80'000 <= 4 * 0.125 * 1.1);
    CHECK(counts[Started] > 0);
}

TEST_CASE_FIXTURE(placement_fixture, "all servers in slow start, flows, are placed nevertheless")
{
    instance.setLoad(shared);
    for (std::uint64_t key = 1; key <= ServerCount; ++key) {
        instance.pace.begin(server_key{key}, instance.now);
    }
    CHECK(totalOf(instance.place(1'000)) == 1'000);
}

TEST_CASE("few servers, figures of peers, are placed by own load and own domain first")
{
    for (const std::size_t count : {6, 32}) {
        CAPTURE(count);
        samples::placing_instance instance{samples::deskDirectory(samples::deskServers(count))};
        shared_load shared;
        shared.reporters = 24;
        shared.demands.push_back(samples::deskDemand("a", samples::feedAddress(), 40));
        seeded_random random(9);
        for (std::size_t key = 1; key <= count; ++key) {
            shared.servers.push_back(
                    {server_key{key}, 1, 8 * random.unit(), 60ms * (1 + random.below(8)), 10});
        }
        instance.setLoad(shared);
        std::vector<double> requests(count);
        for (int flow = 0; flow < 2'000; ++flow) {
            const auto choice = instance.choose();
            REQUIRE(choice);
            REQUIRE(choice->candidates == count);
            const auto costOf = [&](std::size_t index) {
                return requests[index] / 2 + (index % 3 == 0 ? 0.0 : 0.5);
            };
            const std::size_t chosen = choice->server->entry.key.value - 1;
            double least = costOf(0);
            for (std::size_t index = 1; index < count; ++index) {
                least = std::min(least, costOf(index));
            }
            REQUIRE(costOf(chosen) <= least + 0.001);
            instance.evidence.addOpenFlows(choice->server->entry.key, 1);
            instance.evidence.addBusyFlows(choice->server->entry.key, 1);
            ++requests[chosen];
            const std::size_t ending = random.below(count);
            if (requests[ending] > 0) {
                instance.evidence.addOpenFlows(server_key{ending + 1}, -1);
                instance.evidence.addBusyFlows(server_key{ending + 1}, -1);
                --requests[ending];
            }
        }
    }
}

// A sample of four servers rarely contains the only good one.
TEST_CASE("many servers, only one is warm, gets all flows")
{
    for (const std::uint64_t warm : {1, 2, 120}) {
        CAPTURE(warm);
        std::vector<directory_server> servers = samples::deskServers(ServerCount);
        for (directory_server &server : servers) {
            server.coldUntil = server.entry.key.value == warm ? time_point{} : time_point(2'000s);
        }
        samples::placing_instance instance{samples::deskDirectory(std::move(servers))};
        for (int flow = 0; flow < 200; ++flow) {
            const auto choice = instance.choose();
            REQUIRE(choice);
            REQUIRE(choice->server->entry.key == server_key{warm});
            REQUIRE(choice->tier == placement_tier::Warm);
        }
    }
}

TEST_CASE("many servers, own domain has none, flows go to the others")
{
    std::vector<directory_server> servers = samples::deskServers(ServerCount);
    std::erase_if(servers,
                  [](const directory_server &server) { return server.entry.failureDomain == "a"; });
    samples::placing_instance instance{samples::deskDirectory(std::move(servers))};
    for (const bool isDemandKnown : {false, true}) {
        if (isDemandKnown) {
            shared_load shared;
            shared.demands.push_back(samples::deskDemand("a", samples::feedAddress(), 40));
            instance.setLoad(shared);
        }
        for (int flow = 0; flow < 200; ++flow) {
            REQUIRE(instance.choose());
        }
    }
}

} // namespace ebonyway
