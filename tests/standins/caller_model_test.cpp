#include "standins/caller_model.h"
#include "standins/virtual_network.h"

#include <doctest/doctest.h>

#include <set>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

struct caller_fixture
{
    fabric_disturbance fabric;
    backend_server_settings server = vitrineServer();

    caller_fixture() { fabric.delay = 3ms; }

    virtual_network makeNetwork(const traffic_class &traffic, std::uint64_t seed = 5) const
    {
        return {vitrineCallers({traffic}), server, fabric, seed};
    }

    /** Ends the traffic and lets open flows end. */
    static flow_counters finish(virtual_network &network, duration traffic, duration end)
    {
        network.runUntil(traffic);
        network.callers().stop(network.now());
        network.runUntil(end);
        CHECK(network.callers().isIdle());
        return network.callers().total();
    }
};

/** Callers whose packets are answered by hand. */
struct lone_caller_fixture
{
    time_point now{1h};
    caller_model callers{vitrineCallers({{flow_kind::Short, "trip-desk", 100}}), 5, now};
    std::vector<std::byte> request;
    flow_key key;

    lone_caller_fixture()
    {
        now = callers.nextTimer();
        callers.onTimer(now);
        request = callers.takePackets().at(0);
        key = std::get<packet_view>(parsePacket(request, packet_direction::ToService)).key;
    }

    void answer(const std::string &line)
    {
        callers.onPacket(buildDatagramPacket(key, packet_direction::ToCaller, line + "\n"), now);
    }

    void answerWithIcmp()
    {
        const auto parsed = parsePacket(request, packet_direction::ToService);
        callers.onPacket(buildPortUnreachable(std::get<packet_view>(parsed)), now);
    }
};

} // namespace

TEST_CASE_FIXTURE(caller_fixture, "callers, no faults, every flow of every kind is answered")
{
    for (const flow_kind kind :
         {flow_kind::Short, flow_kind::Long, flow_kind::Upload, flow_kind::Hold}) {
        CAPTURE(flowKindName(kind));
        virtual_network network = makeNetwork({kind, "vitrine", 20});
        const flow_counters total = finish(network, 3s, 30s);
        CHECK(total.started >= 20);
        CHECK(total.opened == total.started);
        CHECK(total.answered == total.started);
        CHECK(network.callers().strayPackets() == 0);
    }
}

TEST_CASE_FIXTURE(caller_fixture, "callers, long flows, hold exactly the amount asked for")
{
    virtual_network network = makeNetwork({flow_kind::Long, "vitrine", 50});
    network.runUntil(5s);
    CHECK(network.callers().openFlows() == 50);
    CHECK(network.callers().spread().at("vitrine").at("vitrine-01").longFlowsOpen == 50);
}

TEST_CASE_FIXTURE(caller_fixture, "callers, server crash, count broken flows and open new ones")
{
    server.restartTime = 100ms;
    virtual_network network = makeNetwork({flow_kind::Long, "vitrine", 50});
    network.runUntil(5s);
    network.server().crash(network.now());
    network.runUntil(12s);
    CHECK(network.callers().total().brokenByReset == 50);
    CHECK(network.callers().openFlows() == 50);
}

TEST_CASE_FIXTURE(caller_fixture, "callers, server falls silent, count broken flows by time-out")
{
    virtual_network network = makeNetwork({flow_kind::Long, "vitrine", 10});
    network.runUntil(5s);
    network.server().setSilent(true);
    network.runUntil(7s); // Every flow sends another message that stays unanswered.
    network.callers().stop(network.now());
    network.runUntil(60s);
    const flow_counters total = network.callers().total();
    CHECK(total.brokenByTimeout == 10);
}

TEST_CASE_FIXTURE(caller_fixture, "callers, server refuses, count refused and not broken")
{
    server.connectionLimit = 0;
    virtual_network network = makeNetwork({flow_kind::Short, "vitrine", 20});
    const flow_counters total = finish(network, 2s, 20s);
    CHECK(total.refused == total.started);
    CHECK(total.broken() == 0);
}

TEST_CASE_FIXTURE(caller_fixture, "callers, nobody answers, count unreachable and not broken")
{
    virtual_network network = makeNetwork({flow_kind::Short, "vitrine", 20});
    network.fabric().removeInstance(instance_id{1});
    const flow_counters total = finish(network, 2s, 60s);
    CHECK(total.unreachable == total.started);
    CHECK(total.broken() == 0);
}

TEST_CASE_FIXTURE(caller_fixture, "callers, loss and crashes, never repeat a non-idempotent id")
{
    // Repeating an id on a new flow would make the system look as if it had run a request twice.
    fabric.dropRatio = 0.1;
    server.restartTime = 200ms;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        virtual_network network = makeNetwork({flow_kind::Hold, "vitrine", 50}, seed);
        for (int i = 1; i <= 5; ++i) {
            network.runUntil(std::chrono::seconds(i));
            network.server().crash(network.now());
        }
        const flow_counters total = finish(network, 7s, 60s);
        CHECK(total.broken() > 0);
        CHECK(total.answered > 0);
        CHECK(network.server().work().repeatedRuns() == 0);
    }
}

TEST_CASE_FIXTURE(caller_fixture, "callers, lossy fabric, answer every flow with several seeds")
{
    fabric.dropRatio = 0.05;
    fabric.reorderRatio = 0.2;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        virtual_network network = makeNetwork({flow_kind::Upload, "vitrine", 10}, seed);
        const flow_counters total = finish(network, 3s, 60s);
        CHECK(total.answered == total.started);
    }
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, answer of another service, counts misdelivered")
{
    answer("DONE vitrine vitrine-01 c-0-0 pong 0 end");
    CHECK(callers.total().misdelivered == 1);
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, answer to another request, counts misdelivered")
{
    answer("DONE trip-desk trip-desk-01 c-1-0 pong 0 end");
    CHECK(callers.total().misdelivered == 1);
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, cut answer, counts misdelivered")
{
    answer("DONE trip-desk trip-desk-01 c-0-0 pong");
    CHECK(callers.total().misdelivered == 1);
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, same answer twice, counts nothing wrong")
{
    answer("DONE trip-desk trip-desk-01 c-0-0 pong 0 end");
    answer("DONE trip-desk trip-desk-01 c-0-0 pong 0 end");
    CHECK(callers.total().misdelivered == 0);
    CHECK(callers.total().opened == 1);
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, ICMP error, is refused before and broken after")
{
    SUBCASE("before the first answer")
    {
        answerWithIcmp();
        CHECK(callers.total().refused == 1);
    }
    SUBCASE("after the first answer")
    {
        answer("DONE trip-desk trip-desk-01 c-0-0 pong 0 end");
        answerWithIcmp();
        CHECK(callers.total().brokenByIcmp == 1);
    }
}

TEST_CASE_FIXTURE(lone_caller_fixture, "caller, refusal of the server, counts refused")
{
    answer("NOTRUN trip-desk trip-desk-01 c-0-0 overloaded end");
    CHECK(callers.total().refused == 1);
    CHECK(callers.openFlows() == 0);
}

TEST_CASE("caller options, services and traffic, are parsed or refused")
{
    CHECK(isOk(caller_service::parse("vitrine=192.0.2.10:80/tcp")));
    CHECK(isOk(caller_service::parse("trip-desk=[2001:db8::1]:90/udp")));
    for (const std::string text : {"vitrine", "vitrine=192.0.2.10:80", "vitrine=host:80/tcp",
                                   "vitrine=192.0.2.10:80/sctp"}) {
        CAPTURE(text);
        CHECK_FALSE(isOk(caller_service::parse(text)));
    }
    CHECK(isOk(traffic_class::parse("long:vitrine:500")));
    for (const std::string text :
         {"long", "long:vitrine", "wide:vitrine:5", "long:vitrine:-5", "long:vitrine:5x"}) {
        CAPTURE(text);
        CHECK_FALSE(isOk(traffic_class::parse(text)));
    }
}

} // namespace ebonyway::standins
