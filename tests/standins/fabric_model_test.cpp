#include "standins/fabric_control.h"
#include "standins/fabric_model.h"
#include "standins/stream_segment.h"

#include <doctest/doctest.h>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

struct fabric_fixture
{
    static constexpr std::uint32_t Instances = 6;

    time_point now{1h};
    ip_address service = ip_address::fromV4(0xc000020a);
    ip_address caller = ip_address::fromV4(0x0a090001);
    endpoint callerPort{ip_address::fromV4(0x7f000001), 5001};
    fabric_model fabric{3};

    fabric_fixture() { addInstances(fabric); }

    static endpoint portOf(std::uint32_t id)
    {
        return {ip_address::fromV4(0x7f000001), static_cast<std::uint16_t>(7000 + id)};
    }

    /** Instances 0 and 3 are in casa-ain, 1 and 4 in casa-sidi, 2 and 5 in casa-bouskoura. */
    static void addInstances(fabric_model &to)
    {
        const std::vector<std::string> domains{"casa-ain", "casa-sidi", "casa-bouskoura"};
        for (std::uint32_t id = 0; id < Instances; ++id) {
            to.addInstance({instance_id{id}, portOf(id), domains[id % domains.size()]});
        }
    }

    std::vector<std::byte> datagram(packet_direction direction) const
    {
        const flow_key key{caller, service, 1024, 80, transport_protocol::Udp};
        return buildDatagramPacket(key, direction, "x");
    }

    std::vector<fabric_delivery> send(fabric_model &through, int count)
    {
        const std::vector<std::byte> packet = datagram(packet_direction::ToService);
        for (int i = 0; i < count; ++i) {
            through.onCallerDatagram(callerPort, packet, now);
        }
        return through.takeDue(now);
    }
};

} // namespace

TEST_CASE_FIXTURE(fabric_fixture, "fabric, packets of one flow, reach every instance evenly")
{
    // A fabric that kept a flow on one instance would hide every fault of the load balancer.
    send(fabric, 6000);
    REQUIRE(fabric.sprayed().size() == Instances);
    for (const auto &[id, packets] : fabric.sprayed()) {
        CHECK(packets > 800);
        CHECK(packets < 1200);
    }
}

TEST_CASE_FIXTURE(fabric_fixture, "fabric, same seed, repeats the spray")
{
    fabric_model second(3);
    addInstances(second);
    const std::vector<fabric_delivery> first = send(fabric, 100);
    const std::vector<fabric_delivery> repeated = send(second, 100);
    REQUIRE(first.size() == repeated.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].to == repeated[i].to);
    }
}

TEST_CASE_FIXTURE(fabric_fixture, "fabric, instance removed, sends it nothing more")
{
    CHECK(fabric.removeInstance(instance_id{2}));
    CHECK_FALSE(fabric.removeInstance(instance_id{2}));
    for (const fabric_delivery &delivery : send(fabric, 200)) {
        CHECK(delivery.to != portOf(2));
    }
}

TEST_CASE_FIXTURE(fabric_fixture, "fabric, answer, goes to the caller that owns the address")
{
    send(fabric, 1);
    fabric.onInstanceDatagram(portOf(1), datagram(packet_direction::ToCaller), now);
    const std::vector<fabric_delivery> answers = fabric.takeDue(now);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().side == fabric_side::Callers);
    CHECK(answers.front().to == callerPort);
    caller = ip_address::fromV4(0x0a090002);
    fabric.onInstanceDatagram(portOf(1), datagram(packet_direction::ToCaller), now);
    CHECK(fabric.takeDue(now).empty());
    CHECK(fabric.counters().unknownCaller == 1);
}

TEST_CASE_FIXTURE(fabric_fixture,
                  "fabric, failure domain cut off with its callers, keeps sides apart")
{
    for (const std::string other : {"casa-sidi", "casa-bouskoura", ""}) {
        fabric.cut("casa-ain", other);
    }
    fabric.placeCaller(caller, "casa-ain");
    for (const fabric_delivery &delivery : send(fabric, 200)) {
        CHECK((delivery.to == portOf(0) || delivery.to == portOf(3)));
    }
    fabric.onInstanceDatagram(portOf(1), datagram(packet_direction::ToCaller), now);
    CHECK(fabric.takeDue(now).empty());
    fabric.placeCaller(caller, "");
    for (const fabric_delivery &delivery : send(fabric, 200)) {
        CHECK((delivery.to != portOf(0) && delivery.to != portOf(3)));
    }
    fabric.heal("", "casa-ain");
    CHECK_FALSE(fabric.isCut("casa-ain", ""));
}

TEST_CASE_FIXTURE(fabric_fixture, "fabric, all domains cut off, counts instead of sending")
{
    for (const std::string other : {"casa-ain", "casa-sidi", "casa-bouskoura"}) {
        fabric.cut("", other);
    }
    CHECK(send(fabric, 5).empty());
    CHECK(fabric.counters().cutOff == 5);
}

TEST_CASE_FIXTURE(fabric_fixture, "fabric, drop, delay and reorder, act on their shares")
{
    fabric_disturbance disturbance;
    disturbance.dropRatio = 0.25;
    disturbance.delay = 3ms;
    disturbance.reorderRatio = 0.5;
    disturbance.reorderDelay = 2ms;
    fabric.setDisturbance(disturbance);
    CHECK(send(fabric, 4000).empty());
    CHECK(fabric.counters().dropped > 900);
    CHECK(fabric.counters().dropped < 1100);
    const std::size_t inOrder = fabric.takeDue(now + 3ms).size();
    const std::size_t heldBack = fabric.takeDue(now + 5ms).size();
    CHECK(inOrder + heldBack + fabric.counters().dropped == 4000);
    CHECK(heldBack > 1350);
    CHECK(heldBack < 1650);
}

TEST_CASE_FIXTURE(fabric_fixture, "control, valid and faulty lines, acts or says what to write")
{
    CHECK(runFabricCommand(fabric, "add 9=127.0.0.1:7009@casa-ain") == "ok");
    CHECK(fabric.instances().contains(instance_id{9}));
    CHECK(runFabricCommand(fabric, "remove 9") == "ok");
    CHECK(runFabricCommand(fabric, "drop 0.5") == "ok");
    CHECK(runFabricCommand(fabric, "delay 3") == "ok");
    CHECK(runFabricCommand(fabric, "reorder 0.1 7") == "ok");
    CHECK(fabric.disturbance().dropRatio == 0.5);
    CHECK(fabric.disturbance().delay == 3ms);
    CHECK(fabric.disturbance().reorderDelay == 7ms);
    CHECK(runFabricCommand(fabric, "cut - casa-ain") == "ok");
    CHECK(fabric.isCut("", "casa-ain"));
    CHECK(runFabricCommand(fabric, "heal casa-ain -") == "ok");
    CHECK(runFabricCommand(fabric, "place 10.9.0.1 casa-ain") == "ok");
    for (const std::string line : {"", "drop", "drop 2", "drop x", "delay -1", "remove 99", "cut a",
                                   "add 9", "add x=127.0.0.1:7009@a", "place here a", "explode"}) {
        CAPTURE(line);
        CHECK(runFabricCommand(fabric, line).starts_with("error: "));
    }
}

} // namespace ebonyway::standins
