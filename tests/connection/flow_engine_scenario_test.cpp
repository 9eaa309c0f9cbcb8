#include "engine_driver.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr service_id TcpService{0};
constexpr service_id UdpService{1};

struct scenario_fixture
{
    /** The invariants that hold in every scenario. */
    static void checkInvariants(const engine_driver &driver, bool losesFirstPackets = false)
    {
        const driver_counts &counts = driver.counts;
        CHECK(counts.started > 1000);
        CHECK(counts.broken == 0);
        CHECK(counts.stalled == 0);
        CHECK(counts.wrongService == 0);
        CHECK(counts.secondServer == 0);
        // A SYN lost at a frozen home may reach another server; no request has run by then.
        CHECK((losesFirstPackets || counts.secondSyn == 0));
        CHECK(counts.lateNewFlows == 0);
        CHECK(counts.latePackets == 0);
        CHECK(counts.refusedButSeen == 0);
        CHECK(counts.repeatedRuns == 0);
    }

    /** Starts short and long TCP flows for the given time. */
    static void startTraffic(engine_driver &driver, duration length)
    {
        driver.startFlows(40, length, 3, 200ms);
        driver.startFlows(4, length, 12, 7s);
    }

    /** Checks that all slots have settled again and no flow is tracked any more. */
    static void checkSettled(engine_driver &driver)
    {
        CHECK(driver.unsettledSlots() == 0);
        CHECK(driver.trackedFlows() == 0);
        CHECK(driver.counts.unanswered == 0);
    }
};

driver_options seededOptions(std::uint64_t seed)
{
    driver_options options;
    options.seed = seed;
    return options;
}

/** Runs a planned drain with the given strategy and returns the counts. */
driver_counts runDrain(strategy_kind strategy, std::uint64_t seed, double crossedAnswers = 0)
{
    driver_options options = seededOptions(seed);
    options.crossedAnswers = crossedAnswers;
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
        engine_driver driver(seededOptions(seed));
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
    // Guards against a driver that fails to detect broken flows.
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

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, crossed answers during a drain, reach no caller")
{
    // Guards against passing an answer from a server that never received a packet of the flow.
    for (const std::uint64_t seed : {1, 2}) {
        const driver_counts engine = runDrain(strategy_kind::Engine, seed, 0.2);
        const driver_counts table = runDrain(strategy_kind::Table, seed, 0.2);
        MESSAGE("seed ", seed, ": crossed answers that reached a caller: flow engine ",
                engine.crossedAccepted, " of ", engine.crossedSent, ", table ",
                table.crossedAccepted, " of ", table.crossedSent);
        CHECK(engine.crossedSent > 1000);
        CHECK(engine.crossedAccepted == 0);
        CHECK(engine.broken == 0);
        CHECK(table.crossedAccepted > 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, backend server added, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
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
        engine_driver driver(seededOptions(seed));
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

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, failure domain out and back, gives up only its flows")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 100s);
        driver.run(20s);
        driver.setInService(failure_domain_id{0}, false);
        driver.run(15s);
        CHECK(driver.openFlowsOn(failure_domain_id{0}) == 0);
        CHECK(driver.counts.givenUp > 0);
        driver.run(25s);
        driver.setInService(failure_domain_id{0}, true);
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, instance crashes, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.crash(2);
        driver.run(150s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, home crashes during a drain, backup keeps the flows")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        for (const duration delay : {4s, 15s, 40s}) {
            CAPTURE(seed);
            CAPTURE(delay.count());
            engine_driver driver(seededOptions(seed));
            startTraffic(driver, 90s);
            driver.run(20s);
            driver.setDraining(backend_server_id{3}, true);
            driver.run(delay);
            driver.crash(seed);
            driver.run(260s);
            MESSAGE("flows lost whose copy had not left the crashed home: ",
                    driver.counts.lostUncopied, " of ", driver.counts.started);
            checkInvariants(driver);
            checkSettled(driver);
        }
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, instance joins during a drain, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 90s);
        driver.run(20s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(8s);
        const std::size_t joined = driver.join(failure_domain_id{1});
        driver.run(20s);
        CHECK(driver.engine(joined).openHomeCount() > 0);
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, two changes at once, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
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

TEST_CASE_FIXTURE(scenario_fixture, "flow engine, UDP flows across a drain, stay on their servers")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        driver.startFlows(30, 90s, 10, 1s, UdpService);
        driver.run(20s);
        driver.setDraining(backend_server_id{15}, true);
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, planned stop of an instance during a drain, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
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
                  "flow engine, all instances replaced one after another, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 120s);
        driver.run(15s);
        driver.setDraining(backend_server_id{3}, true);
        for (std::size_t index = 0; index < 8; ++index) {
            driver.run(6s);
            driver.join(failure_domain_id{static_cast<std::uint16_t>(index % 3)});
            driver.run(4s);
            driver.stop(index);
        }
        driver.run(20s);
        for (std::size_t index = 0; index < 8; ++index) {
            CHECK_FALSE(driver.isRunning(index));
        }
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, frozen instance resumes with stale state, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        for (const duration length : {3s, 20s}) {
            CAPTURE(seed);
            CAPTURE(length.count());
            engine_driver driver(seededOptions(seed));
            startTraffic(driver, 90s);
            driver.run(20s);
            driver.freeze(seed, length);
            driver.run(100ms);
            driver.setDraining(backend_server_id{3}, true);
            driver.run(260s);
            checkInvariants(driver, true);
            checkSettled(driver);
        }
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, SYN retransmitted across the diversion, stays on one server")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options = seededOptions(seed);
        options.packetLoss = 0.05;
        engine_driver driver(options);
        driver.synAnswerDelay = 1500ms;
        driver.startFlows(80, 40s, 3, 200ms);
        driver.run(10s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(200s);
        CHECK(driver.counts.secondServer == 0);
        CHECK(driver.counts.secondSyn == 0);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.lateNewFlows == 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, notes reach instances in different order, breaks no flow")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 60s);
        driver.run(20s);
        for (const std::size_t server : {3, 7, 3}) {
            intent next = driver.nextIntent();
            next.backendServers[server].weight += 70;
            driver.accept(std::move(next), 1500ms);
            driver.run(50ms);
        }
        driver.run(240s);
        checkInvariants(driver);
        checkSettled(driver);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, change during a partition, breaks no flow and settles after it")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        driver_options options = seededOptions(seed);
        // Retransmissions are up to 25.6 s apart; a shorter idle timeout would end flows meanwhile.
        options.idleTimeout = 60s;
        engine_driver driver(options);
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.setCutOff(failure_domain_id{1}, true);
        driver.run(8s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(12s);
        driver.setCutOff(failure_domain_id{1}, false);
        driver.run(360s);
        const driver_counts &counts = driver.counts;
        MESSAGE("seed ", seed, ": of ", counts.started, " flows ", counts.finished, " finished, ",
                counts.broken, " broken, ", counts.stalled, " stalled, ", counts.unanswered,
                " unanswered");
        CHECK(counts.broken == 0);
        CHECK(counts.secondServer == 0);
        CHECK(counts.repeatedRuns == 0);
        CHECK(counts.lateNewFlows == 0);
        CHECK(driver.unsettledSlots() == 0);
        CHECK(driver.trackedFlows() == 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, domain cut off with shared fabric, holds first packets back")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        driver.startFlows(60, 50s, 2, 200ms);
        driver.run(10s);
        driver.setCutOff(failure_domain_id{1}, true);
        driver.run(30s);
        // With a shared fabric no instance may take over slots from the other side.
        CHECK(driver.unsettledSlots() == 0);
        driver.setCutOff(failure_domain_id{1}, false);
        driver.run(200s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.secondServer == 0);
        CHECK(driver.unsettledSlots() == 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, domain cut off with its own callers, serves them itself")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        driver.run(5s);
        driver.setCutOff(failure_domain_id{1}, true);
        driver.callersReachOnly = failure_domain_id{1};
        driver.run(5s);
        driver.startFlows(60, 40s, 2, 200ms);
        driver.run(20s);
        const int before = driver.counts.finished;
        const int startedBefore = driver.counts.started;
        driver.run(10s);
        const int finished = driver.counts.finished - before;
        const int started = driver.counts.started - startedBefore;
        MESSAGE("seed ", seed, ": ", finished, " of ", started, " flows finished in 10 s");
        CHECK(finished > started * 9 / 10);
        driver.setCutOff(failure_domain_id{1}, false);
        // The engines notice the end of the partition at the next heartbeat.
        driver.run(3s);
        driver.callersReachOnly.reset();
        driver.run(200s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.repeatedRuns == 0);
        CHECK(driver.unsettledSlots() == 0);
        CHECK(driver.trackedFlows() == 0);
    }
}

TEST_CASE_FIXTURE(
        scenario_fixture,
        "flow engine, SYN flood during a drain, keeps established flows in bounded memory")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        driver_options options = seededOptions(seed);
        options.probationCapacity = 256;
        options.establishedCapacity = 2'000;
        engine_driver driver(options);
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(5s);
        const std::size_t memory = driver.engine(0).memoryBytes();
        driver.flood(10'000, 20s, packet_kind::TcpSyn, TcpService);
        driver.run(20s);
        CHECK(driver.engine(0).memoryBytes() == memory);
        CHECK(driver.trackedFlows() < 8 * (256 + 2'000));
        CHECK(driver.counts.drops[drop_reason::TableFull] > 0);
        driver.run(240s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.stalled == 0);
        CHECK(driver.counts.secondServer == 0);
        CHECK(driver.unsettledSlots() == 0);
    }
}

TEST_CASE_FIXTURE(
        scenario_fixture,
        "flow engine, spoofed UDP flood during a drain, keeps established flows in bounded memory")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        driver_options options = seededOptions(seed);
        options.probationCapacity = 256;
        options.establishedCapacity = 2'000;
        engine_driver driver(options);
        driver.startFlows(20, 20s, 30, 1s, UdpService);
        driver.run(20s);
        const std::size_t memory = driver.engine(0).memoryBytes();
        driver.flood(5'000, 30s, packet_kind::Udp, UdpService);
        driver.run(5s);
        driver.setDraining(backend_server_id{15}, true);
        driver.run(25s);
        CHECK(driver.engine(0).memoryBytes() == memory);
        CHECK(driver.trackedFlows() < 8 * (256 + 2'000));
        driver.run(240s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.repeatedRuns == 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, backend server at its limit, deviates and settles again")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 60s);
        driver.run(10s);
        driver.admission.limited = {backend_server_id{2}};
        driver.admission.full = {backend_server_id{2}};
        driver.run(20s);
        CHECK(driver.unsettledSlots() > 0);
        driver.admission.limited.clear();
        driver.admission.full.clear();
        driver.run(200s);
        checkInvariants(driver);
        checkSettled(driver);
        // Guards against open-flow counts that leak when a flow ends, is evicted or handed over.
        for (const auto &[server, open] : driver.admission.open) {
            CHECK(open == 0);
        }
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, no backend server has room, refuses only unseen flows")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        driver_options options = seededOptions(seed);
        options.packetLoss = 0.02;
        engine_driver driver(options);
        driver.startFlows(60, 60s, 3, 200ms);
        driver.run(10s);
        for (std::uint16_t server = 0; server < 14; ++server) {
            driver.admission.limited.insert(backend_server_id{server});
            driver.admission.full.insert(backend_server_id{server});
        }
        driver.run(20s);
        CHECK(driver.counts.refused > 100);
        CHECK(driver.counts.refusedButSeen == 0);
        driver.admission.limited.clear();
        driver.admission.full.clear();
        driver.run(200s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.secondServer == 0);
        CHECK(driver.counts.repeatedRuns == 0);
        CHECK(driver.unsettledSlots() == 0);
    }
}

TEST_CASE_FIXTURE(scenario_fixture,
                  "flow engine, backend server dies, its flows are given up and new ones go on")
{
    for (const std::uint64_t seed : {1, 2}) {
        CAPTURE(seed);
        engine_driver driver(seededOptions(seed));
        startTraffic(driver, 60s);
        driver.run(20s);
        driver.admission.dead = {backend_server_id{2}};
        driver.run(20s);
        CHECK(driver.counts.givenUp > 0);
        driver.run(200s);
        CHECK(driver.counts.broken == 0);
        CHECK(driver.counts.stalled == 0);
        CHECK(driver.counts.repeatedRuns == 0);
    }
}

} // namespace ebonyway
