#include "standins/backend_server_model.h"
#include "standins/json_line.h"
#include "standins/server_control.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <sstream>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

const endpoint FirstAnswerPort{ip_address::fromV4(0x7f000001), 7001};
const endpoint SecondAnswerPort{ip_address::fromV4(0x7f000001), 7011};

/** One flow whose caller's end is driven by hand. */
struct test_flow
{
    flow_key key;
    tcp_connection connection;
    std::string received;
};

struct server_fixture
{
    time_point now{1h};
    backend_server_settings settings;
    std::uint16_t nextPort = 2000;

    server_fixture()
    {
        settings.service = "vitrine";
        settings.name = "vitrine-01";
        settings.answerEndpoints = {FirstAnswerPort};
    }

    backend_server_model makeServer() const { return {settings, 9}; }

    flow_key newKey(transport_protocol protocol = transport_protocol::Tcp)
    {
        return {ip_address::fromV4(0x0a090001), ip_address::fromV4(0xc000020a), nextPort++, 80,
                protocol};
    }

    test_flow newFlow()
    {
        return {newKey(), tcp_connection::connect(100, settings.timing, now), {}};
    }

    /** Passes packets both ways until the server has nothing to send. */
    void exchange(backend_server_model &server, test_flow &flow)
    {
        do {
            for (const stream_segment &segment : flow.connection.takeOutput()) {
                server.onPacket(buildSegmentPacket(flow.key, packet_direction::ToService, segment),
                                now);
            }
        } while (deliver(server, flow));
    }

    bool deliver(backend_server_model &server, test_flow &flow)
    {
        const std::vector<answer_packet> packets = server.takePackets();
        for (const answer_packet &packet : packets) {
            const auto parsed = parsePacket(packet.bytes, packet_direction::ToCaller);
            const auto &view = std::get<packet_view>(parsed);
            if (view.key == flow.key) {
                flow.connection.onSegment(*readSegment(view), now);
            }
        }
        flow.received += flow.connection.takeReceived();
        return !packets.empty();
    }

    test_flow openFlow(backend_server_model &server)
    {
        test_flow flow = newFlow();
        exchange(server, flow);
        return flow;
    }

    /** Sends a request line on a new flow. */
    test_flow request(backend_server_model &server, const std::string &line)
    {
        test_flow flow = openFlow(server);
        flow.connection.send(line + "\n", now);
        exchange(server, flow);
        return flow;
    }

    /** Lets time pass in the server's own steps. */
    void wait(backend_server_model &server, duration length)
    {
        const time_point end = now + length;
        while (server.nextTimer() <= end) {
            now = std::max(now, server.nextTimer());
            server.onTimer(now);
        }
        now = end;
    }

    void control(backend_server_model &server, const std::string &json)
    {
        Json::Value body;
        std::istringstream(json) >> body;
        REQUIRE(isOk(applyServerControl(server, body, now)));
    }
};

} // namespace

TEST_CASE_FIXTURE(server_fixture, "server, request of a flow, answers with its names and the id")
{
    backend_server_model server = makeServer();
    test_flow flow = request(server, "GET price 17 id=c-1");
    wait(server, 10ms);
    exchange(server, flow);
    CHECK(flow.received == "DONE vitrine vitrine-01 c-1 got price 17 end\n");
}

TEST_CASE_FIXTURE(server_fixture, "server, datagram, answers with a datagram")
{
    backend_server_model server = makeServer();
    const flow_key key = newKey(transport_protocol::Udp);
    server.onPacket(buildDatagramPacket(key, packet_direction::ToService, "PING 1 id=c-1\n"), now);
    const std::vector<answer_packet> packets = server.takePackets();
    REQUIRE(packets.size() == 1);
    const auto parsed = parsePacket(packets.front().bytes, packet_direction::ToCaller);
    CHECK(readUdpPayload(std::get<packet_view>(parsed))
          == "DONE vitrine vitrine-01 c-1 pong 1 end\n");
}

TEST_CASE_FIXTURE(server_fixture, "server, mid-flow packet of an unknown flow, answers RST")
{
    // A stand-in that accepted foreign flows would hide flows that were moved by mistake.
    backend_server_model first = makeServer();
    backend_server_model second = makeServer();
    test_flow flow = openFlow(first);
    flow.connection.send("PING 1 id=c-1\n", now);
    exchange(second, flow);
    CHECK(flow.connection.end() == tcp_end::Reset);
    CHECK(second.counters().unknownFlowResets == 1);
}

TEST_CASE_FIXTURE(server_fixture, "server, packet for another service's address, counts it only")
{
    settings.serviceAddresses = {ip_address::fromV4(0xc0000214)};
    backend_server_model server = makeServer();
    test_flow flow = openFlow(server);
    CHECK(flow.connection.state() == tcp_state::SynSent);
    CHECK(server.counters().misroutedPackets == 1);
}

TEST_CASE_FIXTURE(server_fixture, "server, connection limit reached, refuses the next flow")
{
    settings.connectionLimit = 2;
    backend_server_model server = makeServer();
    test_flow first = openFlow(server);
    openFlow(server);
    CHECK(openFlow(server).connection.end() == tcp_end::Reset);
    CHECK(server.counters().flowsRefused == 1);
    first.connection.finish(now);
    exchange(server, first);
    CHECK(openFlow(server).connection.wasEstablished());
}

TEST_CASE_FIXTURE(server_fixture, "server, draining, serves open flows and refuses new ones")
{
    backend_server_model server = makeServer();
    test_flow open = openFlow(server);
    control(server, R"({"draining": true})");
    CHECK(openFlow(server).connection.end() == tcp_end::Reset);
    open.connection.send("PING 1 id=c-1\n", now);
    exchange(server, open);
    CHECK(open.received == "DONE vitrine vitrine-01 c-1 pong 1 end\n");
    CHECK_FALSE(server.health(now)->ready);
}

TEST_CASE_FIXTURE(server_fixture, "server, queue full, sheds with a refusal that is true")
{
    settings.work.slotLimit = 1;
    settings.work.queueLimit = 1;
    backend_server_model server = makeServer();
    request(server, "HOLD c-1");
    request(server, "HOLD c-2");
    const test_flow shed = request(server, "HOLD c-3");
    CHECK(shed.received == "NOTRUN vitrine vitrine-01 c-3 overloaded end\n");
    wait(server, 1s);
    CHECK(server.work().runs().size() == 2);
    CHECK_FALSE(server.work().runs().contains("c-3"));
}

TEST_CASE_FIXTURE(server_fixture, "server, deadline passes, says whether the request was started")
{
    settings.work.slotLimit = 1;
    settings.work.serviceTime = 100ms;
    backend_server_model server = makeServer();
    test_flow running = request(server, "HOLD c-1 deadline_ms=20");
    test_flow waiting = request(server, "HOLD c-2 deadline_ms=10");
    wait(server, 15ms);
    exchange(server, waiting);
    CHECK(waiting.received == "NOTRUN vitrine vitrine-01 c-2 deadline end\n");
    wait(server, 10ms);
    exchange(server, running);
    CHECK(running.received == "FAILED vitrine vitrine-01 c-1 deadline end\n");
    CHECK(server.work().runs().size() == 1);
    CHECK(server.work().busySlots() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "server, RST of the caller, aborts the run and frees the slot")
{
    settings.work.serviceTime = 1s;
    backend_server_model server = makeServer();
    test_flow flow = request(server, "HOLD c-1");
    CHECK(server.work().busySlots() == 1);
    flow.connection.abort();
    exchange(server, flow);
    CHECK(server.work().busySlots() == 0);
    CHECK(server.work().cancelledRuns() == 1);
    CHECK(server.openConnections() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "server, same non-idempotent id twice, counts both runs")
{
    backend_server_model server = makeServer();
    request(server, "HOLD c-1");
    request(server, "HOLD c-1");
    request(server, "HOLD c-2");
    wait(server, 1s);
    CHECK(server.work().runs().at("c-1") == 2);
    CHECK(server.work().repeatedRuns() == 1);
}

TEST_CASE_FIXTURE(server_fixture, "server, upload in pieces, answers after the last byte")
{
    backend_server_model server = makeServer();
    test_flow flow = request(server, "PUT 10 id=c-1");
    flow.connection.send("12345", now);
    exchange(server, flow);
    wait(server, 100ms);
    CHECK(server.work().busySlots() == 0);
    flow.connection.send("67890PING 2 id=c-2\n", now);
    exchange(server, flow);
    wait(server, 100ms);
    exchange(server, flow);
    CHECK(flow.received
          == "DONE vitrine vitrine-01 c-2 pong 2 end\n"
             "DONE vitrine vitrine-01 c-1 stored 10 end\n");
}

TEST_CASE_FIXTURE(server_fixture, "server, no request line, ends the flow with RST")
{
    backend_server_model server = makeServer();
    CHECK(request(server, "EXPLODE").connection.end() == tcp_end::Reset);
    CHECK(request(server, std::string(5000, 'x')).connection.end() == tcp_end::Reset);
    CHECK(server.openConnections() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "server, cold and fully loaded, fails and starts again cold")
{
    settings.work.warmupRequests = 100;
    settings.work.coldQueueLimit = 4;
    backend_server_model server = makeServer();
    CHECK(server.work().capacityShare() == doctest::Approx(0.05));
    std::vector<test_flow> flows;
    while (!server.isDown() && flows.size() < 100) {
        flows.push_back(request(server, "GET x id=c-" + std::to_string(flows.size())));
    }
    CHECK(flows.size() == settings.work.slotLimit + settings.work.coldQueueLimit + 1);
    CHECK_FALSE(server.health(now));
    wait(server, settings.restartTime);
    CHECK_FALSE(server.isDown());
    CHECK(server.health(now)->startCount == 2);
    CHECK(server.openConnections() == 0);
}

TEST_CASE_FIXTURE(server_fixture, "server, work done after the start, grows its capacity")
{
    settings.work.warmupRequests = 20;
    backend_server_model server = makeServer();
    for (int i = 0; i < 20; ++i) {
        request(server, "GET x id=c-" + std::to_string(i));
        wait(server, 1s);
    }
    CHECK(server.work().capacityShare() == 1.0);
    control(server, R"({"turn_cold": true})");
    CHECK(server.work().capacityShare() == doctest::Approx(0.05));
    CHECK(server.health(now)->startCount == 1); // Turning cold gives no warning.
}

TEST_CASE_FIXTURE(server_fixture, "health, lag and lie, report the past and the lie")
{
    backend_server_model server = makeServer();
    control(server, R"({"health_lag_ms": 1000})");
    CHECK(server.health(now)->openConnections == 0);
    openFlow(server);
    now += 500ms;
    CHECK(server.health(now)->openConnections == 0);
    now += 1s;
    CHECK(server.health(now)->openConnections == 1);
    control(server, R"({"health_lie": {"ready": false, "open_connections": 7}})");
    CHECK(formatJsonLine(healthBody(*server.health(now)))
          == R"({"busy_slots":0,"open_connections":7,"ready":false,"start_count":1})");
    control(server, R"({"health_lie": {}, "health_lag_ms": 0})");
    CHECK(server.health(now)->openConnections == 1);
}

TEST_CASE_FIXTURE(server_fixture, "server, told to be silent, keeps its flows without answering")
{
    backend_server_model server = makeServer();
    test_flow flow = openFlow(server);
    control(server, R"({"silent": true})");
    flow.connection.send("PING 1 id=c-1\n", now);
    exchange(server, flow);
    CHECK(flow.received.empty());
    CHECK_FALSE(server.health(now));
    control(server, R"({"silent": false})");
    now += settings.timing.dataTimeout;
    flow.connection.onTimer(now);
    exchange(server, flow);
    CHECK(flow.received == "DONE vitrine vitrine-01 c-1 pong 1 end\n");
}

TEST_CASE_FIXTURE(server_fixture, "server, several answer endpoints, uses all of them")
{
    settings.answerEndpoints = {FirstAnswerPort, SecondAnswerPort};
    backend_server_model server = makeServer();
    std::map<endpoint, int> used;
    const flow_key key = newKey(transport_protocol::Udp);
    for (int i = 0; i < 100; ++i) {
        server.onPacket(buildDatagramPacket(key, packet_direction::ToService, "PING 1 id=a"), now);
        for (const answer_packet &packet : server.takePackets()) {
            ++used[packet.to];
        }
    }
    CHECK(used[FirstAnswerPort] > 25);
    CHECK(used[SecondAnswerPort] > 25);
    control(server, R"({"answer_endpoints": ["127.0.0.1:7011"]})");
    server.onPacket(buildDatagramPacket(key, packet_direction::ToService, "PING 1 id=a"), now);
    CHECK(server.takePackets().front().to == SecondAnswerPort);
}

TEST_CASE_FIXTURE(server_fixture, "control, faulty body, says which key is wrong")
{
    backend_server_model server = makeServer();
    for (const std::string text :
         {"[]", R"({"draining": 1})", R"({"health_lie": {"ready": 1}})", R"({"unknown": 1})",
          R"({"answer_endpoints": ["here"]})", R"({"health_lag_ms": "1s"})"}) {
        CAPTURE(text);
        Json::Value body;
        std::istringstream(text) >> body;
        CHECK_FALSE(isOk(applyServerControl(server, body, now)));
    }
}

} // namespace ebonyway::standins
