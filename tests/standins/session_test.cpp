#include "golden_file.h"
#include "standins/virtual_network.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

struct session_fixture
{
    static std::string totals(const caller_model &callers)
    {
        const flow_counters total = callers.total();
        return "started " + std::to_string(total.started) + ", opened "
               + std::to_string(total.opened) + ", answered " + std::to_string(total.answered)
               + ", refused " + std::to_string(total.refused) + ", broken "
               + std::to_string(total.broken()) + ", misdelivered "
               + std::to_string(total.misdelivered);
    }

    /** Starts flows until `traffic`, lets them end until `end` and logs the totals. */
    static void runSession(virtual_network &network, duration traffic, duration end)
    {
        network.runUntil(traffic);
        network.note("the callers start no more flows");
        network.callers().stop(network.now());
        network.runUntil(end);
        network.note(totals(network.callers()));
    }
};

} // namespace

// The golden files guard against unnoticed changes of packet order, sequence numbers, timers and
// answers anywhere in the callers, the fabric and the backend server.

TEST_CASE_FIXTURE(session_fixture, "session, one flow of each kind, matches the golden file")
{
    caller_settings callers = vitrineCallers({{flow_kind::Short, "vitrine", 2},
                                              {flow_kind::Hold, "vitrine", 2},
                                              {flow_kind::Upload, "vitrine", 1},
                                              {flow_kind::Long, "vitrine", 1}});
    callers.uploadBytes = 3000;
    fabric_disturbance fabric;
    fabric.delay = 3ms;
    virtual_network network(callers, vitrineServer(), fabric, 11);
    runSession(network, 1500ms, 5s);
    CHECK(matchesGoldenFile("standins/golden/flows_of_each_kind.txt", network.log()));
    CHECK(network.callers().isIdle());
}

TEST_CASE_FIXTURE(session_fixture, "session, fabric loses and reorders, matches the golden file")
{
    caller_settings callers =
            vitrineCallers({{flow_kind::Upload, "vitrine", 1}, {flow_kind::Short, "vitrine", 2}});
    callers.uploadBytes = 6000;
    fabric_disturbance fabric;
    fabric.delay = 3ms;
    fabric.dropRatio = 0.1;
    fabric.reorderRatio = 0.3;
    virtual_network network(callers, vitrineServer(), fabric, 21);
    runSession(network, 1500ms, 12s);
    CHECK(matchesGoldenFile("standins/golden/lossy_fabric.txt", network.log()));
    CHECK(network.callers().total().broken() == 0);
}

TEST_CASE_FIXTURE(session_fixture, "session, server crashes with open flows, matches golden file")
{
    caller_settings callers =
            vitrineCallers({{flow_kind::Long, "vitrine", 2}, {flow_kind::Short, "vitrine", 4}});
    backend_server_settings server = vitrineServer();
    server.restartTime = 500ms;
    fabric_disturbance fabric;
    fabric.delay = 3ms;
    virtual_network network(callers, server, fabric, 31);
    network.runUntil(400ms);
    network.note("the backend server crashes");
    network.server().crash(network.now());
    runSession(network, 3s, 8s);
    CHECK(matchesGoldenFile("standins/golden/server_crash.txt", network.log()));
    CHECK(network.callers().total().broken() > 0);
}

TEST_CASE_FIXTURE(session_fixture, "session, datagrams over a lossy fabric, matches golden file")
{
    const caller_settings callers = vitrineCallers({{flow_kind::Short, "trip-desk", 2}});
    backend_server_settings server = vitrineServer();
    server.service = "trip-desk";
    server.name = "trip-desk-01";
    fabric_disturbance fabric;
    fabric.dropRatio = 0.2;
    virtual_network network(callers, server, fabric, 41);
    runSession(network, 2s, 8s);
    CHECK(matchesGoldenFile("standins/golden/datagrams.txt", network.log()));
}

} // namespace ebonyway::standins
