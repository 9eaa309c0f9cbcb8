#include "forwarding/connection/deployment_load.h"
#include "forwarding/directory_samples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/**
 * An instance in domain "a" with servers 1 to 3 there and 4 and 5 in domain "b", of 4 slots each.
 * The order route has priority 0 and the feed route priority 1.
 */
struct deployment_load_fixture
{
    deployment_load subject{"a"};
    directory_builder knowledge{{}};
    server_evidence evidence;
    shared_load shared;
    std::set<std::string> silentDomains;
    time_point now{1'000s};
    std::uint64_t revision = 10;

    deployment_load_fixture()
    {
        applyState(1, 1);
        for (const std::uint64_t key : {1, 2, 3}) {
            applyServer(samples::entry(key, "a"));
        }
        for (const std::uint64_t key : {4, 5}) {
            applyServer(samples::entry(key, "b"));
        }
        knowledge.retainListed(store_kind::BackendServers, {"i-1", "i-2", "i-3", "i-4", "i-5"},
                               {0, revision}, now);
        evidence.adopt(*knowledge.snapshot());
    }

    void applyState(std::uint64_t version, std::uint32_t feedPriority)
    {
        desired_state state = samples::desiredState(version);
        state.routes[0].priority = feedPriority;
        knowledge.apply(store_kind::DesiredState, samples::object(state, ++revision), now);
    }
    void applyServer(const registered_server &entry)
    {
        knowledge.apply(store_kind::BackendServers, samples::object(entry, ++revision), now);
    }
    void addDemand(const std::string &domain, const endpoint &route, double newFlows,
                   double underWay, const std::string &service = "desk")
    {
        shared.demands.push_back(
                {domain, {demandTag(service), demandTag(route), newFlows, 0, 0, underWay, 100ms}});
    }
    void addUsage(std::uint64_t key, double underWay, duration answerTime, std::uint32_t reporters)
    {
        shared.servers.push_back({server_key{key}, 8, underWay, answerTime, reporters});
    }
    void update() { subject.update(*knowledge.snapshot(), evidence, shared, silentDomains, now); }
    domain_room room(const std::string &domain) const
    {
        const service_room *load = subject.find("desk");
        REQUIRE(load);
        for (const domain_room &one : load->domains) {
            if (one.failureDomain == domain) {
                return one;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE_FIXTURE(deployment_load_fixture, "service, demand of two domains, has their rooms")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    addDemand("a", samples::feedAddress(), 20, 2);
    addDemand("b", samples::feedAddress(), 5, 1);
    update();
    CHECK(room("a").demand == doctest::Approx(5));
    CHECK(room("a").slots == doctest::Approx(12));
    CHECK(room("b").demand == doctest::Approx(1));
    CHECK(room("b").slots == doctest::Approx(8));
    CHECK(subject.find("desk")->shares == domainShares(subject.find("desk")->domains, "a"));
}

TEST_CASE_FIXTURE(deployment_load_fixture, "service, no demand reported, is not known")
{
    update();
    CHECK_FALSE(subject.find("desk"));
    CHECK(subject.admissionInputs().empty());
    CHECK(subject.usualAnswerTime("desk") == 0s);
    CHECK_FALSE(subject.usageOf(server_key{1}));
    CHECK(subject.reporters() == 0);
}

TEST_CASE_FIXTURE(deployment_load_fixture, "service, demand has ended, is no longer known")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    addUsage(1, 2, 100ms, 1);
    update();
    CHECK(subject.find("desk"));
    shared = {};
    update();
    CHECK_FALSE(subject.find("desk"));
    CHECK(subject.admissionInputs().empty());
    CHECK_FALSE(subject.usageOf(server_key{1}));
}

// A peer may know a later desired state, or a tag may be forged.
TEST_CASE_FIXTURE(deployment_load_fixture, "demand, service unknown, is left out")
{
    addDemand("a", samples::orderAddress(), 10, 3, "other");
    update();
    CHECK(subject.admissionInputs().empty());
    CHECK(subject.serviceName(demandTag("other")).empty());
    CHECK(subject.serviceName(demandTag("desk")) == "desk");
}

TEST_CASE_FIXTURE(deployment_load_fixture, "demand, route unknown, needs room without admission")
{
    addDemand("a", samples::address(0xc6120009, 9), 10, 3);
    update();
    CHECK(room("a").demand == doctest::Approx(3));
    REQUIRE(subject.admissionInputs().size() == 1);
    CHECK(subject.admissionInputs().front().demands.empty());
}

// Neither side of a network partition reaches the other, so its servers are no room.
TEST_CASE_FIXTURE(deployment_load_fixture, "domain, silent, has neither demand nor room")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    addDemand("b", samples::orderAddress(), 10, 3);
    silentDomains = {"b"};
    update();
    CHECK(subject.find("desk")->domains.size() == 1);
    REQUIRE(subject.admissionInputs().size() == 1);
    CHECK(subject.admissionInputs().front().demands.size() == 1);
    CHECK(subject.admissionInputs().front().slots == doctest::Approx(12));
    silentDomains = {};
    update();
    CHECK(room("b").slots == doctest::Approx(8));
    CHECK(subject.admissionInputs().front().slots == doctest::Approx(20));
}

// Slots of a server that receives no flows would hide an overload of the others.
TEST_CASE_FIXTURE(deployment_load_fixture, "server, set aside, gives no slots")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    for (int offer = 0; offer < 20; ++offer) {
        evidence.onOffer(server_key{1}, now);
        evidence.onSilence(server_key{1}, now);
    }
    REQUIRE(evidence.trustIn(server_key{1}, now) == server_trust::SetAside);
    update();
    CHECK(room("a").slots == doctest::Approx(8));
    CHECK(subject.admissionInputs().front().slots == doctest::Approx(16));
}

// A cold server takes a few flows only, so its slots are no room either.
TEST_CASE_FIXTURE(deployment_load_fixture, "server, cold, gives no slots until it is warm")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    registered_server cold = samples::entry(4, "b");
    cold.coldRemaining = 2'000ms;
    applyServer(cold);
    update();
    CHECK(room("b").slots == doctest::Approx(4));
    now += 2'500ms;
    update();
    CHECK(room("b").slots == doctest::Approx(8));
}

TEST_CASE_FIXTURE(deployment_load_fixture, "admission input, several routes, has their priorities")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    addDemand("b", samples::feedAddress(), 20, 2);
    update();
    REQUIRE(subject.admissionInputs().size() == 1);
    const admission_input &input = subject.admissionInputs().front();
    CHECK(input.service == demandTag("desk"));
    CHECK(input.slots == doctest::Approx(20));
    REQUIRE(input.demands.size() == 2);
    CHECK(input.demands[0].priority == 0);
    CHECK(input.demands[0].failureDomain == "a");
    CHECK(input.demands[0].demand.newFlows == doctest::Approx(10));
    CHECK(input.demands[1].priority == 1);
    CHECK(input.demands[1].failureDomain == "b");
}

TEST_CASE_FIXTURE(deployment_load_fixture,
                  "priority of a route, changed, applies at the next update")
{
    addDemand("a", samples::feedAddress(), 20, 2);
    update();
    CHECK(subject.admissionInputs().front().demands.front().priority == 1);
    applyState(2, 5);
    update();
    CHECK(subject.admissionInputs().front().demands.front().priority == 5);
}

TEST_CASE_FIXTURE(deployment_load_fixture, "usual queue, several servers, is their weighted mean")
{
    addDemand("a", samples::orderAddress(), 10, 3);
    addUsage(1, 6, 100ms, 3);
    addUsage(4, 4, 300ms, 1);
    addUsage(99, 50, 900ms, 9);
    shared.reporters = 4;
    update();
    const usual_queue &usual = subject.find("desk")->usual;
    CHECK(usual.requestsPerSlot == doctest::Approx(0.5));
    CHECK(std::chrono::abs(usual.answerTime - 150ms) < 1us);
    CHECK(subject.usualAnswerTime("desk") == usual.answerTime);
    CHECK(subject.reporters() == 4);
    REQUIRE(subject.usageOf(server_key{4}));
    CHECK(subject.usageOf(server_key{4})->underWay == doctest::Approx(4));
}

// Twice the demand of orders, 0.1 of all, is kept free: 0.2 / (0.2 + 0.9).
TEST_CASE_FIXTURE(deployment_load_fixture, "reserved share, first demand, applies at once")
{
    addDemand("a", samples::orderAddress(), 10, 1);
    addDemand("a", samples::feedAddress(), 90, 9);
    update();
    CHECK(subject.find("desk")->reservedShare(0) == doctest::Approx(0));
    CHECK(subject.find("desk")->reservedShare(1) == doctest::Approx(0.2 / 1.1));
    CHECK(subject.find("desk")->reservedShare(7) == doctest::Approx(0));
}

// Less urgent flows once could have been left without servers.
TEST_CASE_FIXTURE(deployment_load_fixture, "reserved share, mostly urgent demand, is at most half")
{
    addDemand("a", samples::orderAddress(), 990, 99);
    addDemand("a", samples::feedAddress(), 10, 1);
    update();
    CHECK(subject.find("desk")->reservedShare(1) == doctest::Approx(0.5));
}

// A share that follows each surge would move servers in and out while their flows stay.
TEST_CASE_FIXTURE(deployment_load_fixture, "reserved share, demand changes, follows in some 10 s")
{
    addDemand("a", samples::orderAddress(), 10, 1);
    addDemand("a", samples::feedAddress(), 90, 9);
    update();
    const double before = subject.find("desk")->reservedShare(1);
    shared.demands.front().demand.newFlows = 500;
    for (int round = 0; round < 5; ++round) {
        now += 200ms;
        update();
    }
    CHECK(subject.find("desk")->reservedShare(1) > before);
    CHECK(subject.find("desk")->reservedShare(1) < before + (0.5 - before) * 0.15);
    for (int round = 0; round < 200; ++round) {
        now += 200ms;
        update();
    }
    CHECK(subject.find("desk")->reservedShare(1) == doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("reserved servers, growing share, are that part of all and stay reserved")
{
    for (const double share : {0.0, 0.1, 0.3, 0.5, 1.0}) {
        int reserved = 0;
        for (std::uint64_t key = 1; key <= 10'000; ++key) {
            const bool is = isReserved(server_key{key}, share);
            reserved += is ? 1 : 0;
            CHECK((!is || isReserved(server_key{key}, share + 0.1)));
        }
        CHECK(std::abs(reserved / 10'000.0 - share) < 0.02);
    }
}

} // namespace ebonyway
