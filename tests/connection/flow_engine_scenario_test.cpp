#include <doctest/doctest.h>

#include "engine_driver.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr service_id TcpService{0};
constexpr service_id UdpService{1};

struct scenario_fixture
{
    /** The invariants that hold in every scenario. */
    static void checkInvariants(const engine_driver &driver)
    {
        const driver_counts &counts = driver.counts;
        CHECK(counts.started > 1000);
        CHECK(counts.broken == 0);
        CHECK(counts.stalled == 0);
        CHECK(counts.wrongService == 0);
        CHECK(counts.secondServer == 0);
        CHECK(counts.lateNewFlows == 0);
        CHECK(counts.latePackets == 0);
        CHECK(counts.refusedButSeen == 0);
        CHECK(counts.repeatedRuns == 0);
    }

    /** Short and long flows that cover the next minutes. */
    static void startTraffic(engine_driver &driver, duration length)
    {
        driver.startFlows(40, length, 3, 200ms);
        driver.startFlows(4, length, 12, 7s);
    }

    /** Everything that was unsettled by the changes has settled again. */
    static void checkSettled(engine_driver &driver)
    {
        CHECK(driver.unsettledSlots() == 0);
        CHECK(driver.trackedFlows() == 0);
        CHECK(driver.counts.unanswered == 0);
    }
};

/** Number of flows that a planned drain breaks with the given strategy. */
driver_counts runDrain(strategy_kind strategy, std::uint64_t seed)
{
    driver_options options;
    options.seed = seed;
    options.strategy = strategy;
    engine_driver driver(options);
    scenario_fixture::startTraffic(driver, 60s);
    driver.run(20s);
    driver.setDraining(backend_server_id{3}, true);
    driver.run(150s);
    return driver.counts;
}

} // namespace

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, planned drain, breaks no flow and settles")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 100s);
        driver.run(20s);
        CHECK(driver.unsettledSlots() == 0);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(5s);
        CHECK(driver.unsettledSlots() > 0);
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, drain compared with baselines, only it breaks no flow")
{
    // Guards against a driver that would not show broken flows at all.
    for (const std::uint64_t seed : {1, 2}) {
        const driver_counts engine = runDrain(strategy_kind::Engine, seed);
        const driver_counts table = runDrain(strategy_kind::Table, seed);
        const driver_counts flowTable = runDrain(strategy_kind::FlowTable, seed);
        MESSAGE("seed ", seed, ": broken flows of ", engine.started, ": flow engine ",
                engine.broken, ", table ", table.broken, ", table and flow table ",
                flowTable.broken);
        CHECK(engine.broken == 0);
        CHECK(table.broken > 0);
        CHECK(flowTable.broken > 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, backend server added, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.addServer(TcpService, failure_domain_id{1});
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, weight changed twice, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 90s);
        driver.run(20s);
        driver.setWeight(backend_server_id{2}, 20);
        driver.run(10s);
        driver.setWeight(backend_server_id{2}, 200);
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, instance crashes, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.crash(2);
        driver.run(150s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, two changes at once, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 90s);
        driver.run(20s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(100ms);
        driver.setDraining(backend_server_id{5}, true);
        driver.addServer(TcpService, failure_domain_id{2});
        driver.run(25s);
        driver.setDraining(backend_server_id{3}, false);
        driver.run(260s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, planned stop of an instance during a drain, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        engine_driver driver(options);
        startTraffic(driver, 90s);
        driver.run(20s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(8s);
        driver.stop(4);
        driver.run(10s);
        CHECK_FALSE(driver.isRunning(4));
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, SYN retransmitted across the diversion, stays on one server")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options;
        options.seed = seed;
        options.packetLoss = 0.05;
        engine_driver driver(options);
        driver.synAnswerDelay = 1500ms;
        driver.startFlows(80, 40s, 3, 200ms);
        driver.run(10s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(200s);
        CHECK(driver.counts.secondServer == 0);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.lateNewFlows == 0);
    }
}

} // namespace ebonyway
