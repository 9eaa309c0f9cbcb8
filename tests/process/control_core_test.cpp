#include "process/control_core.h"
#include "process/control_fleet.h"
#include "version/release_note.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct control_core_fixture
{
    control_fleet fleet{3, {}};

    control_core_fixture()
    {
        fleet.startMany(8);
        fleet.run(5s);
    }

    static std::vector<std::byte> bytesOf(std::size_t size)
    {
        return std::vector<std::byte>(size, std::byte{0x2a});
    }

    /** Seals a datagram like instance 2. */
    static std::vector<std::byte> sealAs2(datagram_kind kind, std::uint64_t sequence,
                                          const std::vector<std::byte> &payload)
    {
        const control_settings settings = control_fleet::settingsOf(2, "domain-2", 100, 0);
        const datagram_codec codec(settings.deploymentKey);
        return valueOf(codec.seal({kind, instance_id{2}, 100, sequence}, payload, instance_id{1}));
    }

    std::uint64_t faults(std::uint32_t id, datagram_fault fault)
    {
        return fleet.node(id).core->counters().faults[static_cast<std::size_t>(fault)];
    }

    /** Adopts an intent with the backend servers 0..count-1, all in domain-1. */
    void adoptBackendServers(std::uint16_t count)
    {
        intent current;
        current.number = note_number{1};
        current.failureDomains.push_back({failure_domain_id{4}, "domain-1", true});
        for (std::uint16_t i = 0; i < count; ++i) {
            backend_server server;
            server.id = backend_server_id{i};
            server.failureDomain = failure_domain_id{4};
            current.backendServers.push_back(server);
        }
        for (const std::uint32_t id : fleet.running()) {
            fleet.node(id).core->onIntentAdopted(current);
        }
        fleet.run(1s);
    }
};

} // namespace

TEST_CASE_FIXTURE(control_core_fixture, "control core, engine messages, reach the peer once")
{
    fleet.network.duplication = 1;
    CHECK(isOk(fleet.node(1).core->sendEngineMessage(instance_id{2}, bytesOf(1100))));
    fleet.run(1s);
    REQUIRE(fleet.node(2).engineMessages.size() == 1);
    CHECK(fleet.node(2).engineMessages[0].first == instance_id{1});
    CHECK(fleet.node(2).engineMessages[0].second == bytesOf(1100));
    CHECK(faults(2, datagram_fault::Replayed) > 0);
    const status tooLong = fleet.node(1).core->sendEngineMessage(instance_id{2}, bytesOf(1101));
    CHECK(errorOf(tooLong).kind == error_kind::LimitExceeded);
    const status unknown = fleet.node(1).core->sendEngineMessage(instance_id{99}, bytesOf(1));
    CHECK(errorOf(unknown).kind == error_kind::NotFound);
}

TEST_CASE_FIXTURE(control_core_fixture,
                  "control core, invalid datagrams, are counted and change nothing")
{
    const std::uint64_t revision = fleet.node(1).core->members().revision();
    fleet.inject(2, 1, bytesOf(1300));
    fleet.inject(2, 1, bytesOf(5));
    fleet.inject(2, 1, bytesOf(100));
    auto forged = sealAs2(datagram_kind::Gossip, 1'000'000, bytesOf(10));
    forged.back() ^= std::byte{1};
    fleet.inject(2, 1, forged);
    fleet.inject(2, 1, sealAs2(datagram_kind::Gossip, 1'000'000, bytesOf(10)));
    CHECK(faults(1, datagram_fault::Oversized) == 1);
    CHECK(faults(1, datagram_fault::Truncated) == 1);
    CHECK(faults(1, datagram_fault::WrongVersion) == 1);
    CHECK(faults(1, datagram_fault::Forged) == 1);
    CHECK(faults(1, datagram_fault::Malformed) == 1);
    CHECK(fleet.node(1).core->members().revision() == revision);
}

TEST_CASE_FIXTURE(control_core_fixture, "control core, random authentic payloads, do no harm")
{
    // Guards against a decoder or handler that trusts what an authentic but faulty peer sends.
    seeded_random random(99);
    for (std::uint64_t i = 0; i < 5000; ++i) {
        std::vector<std::byte> payload(random.below(64));
        std::generate(payload.begin(), payload.end(),
                      [&random] { return static_cast<std::byte>(random.below(8)); });
        const auto kind = static_cast<datagram_kind>(1 + random.below(4));
        fleet.inject(2, 1, sealAs2(kind, 1'000'000 + i, payload));
    }
    fleet.run(90s);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(control_core_fixture,
                  "control core, wrongly declared dead, refutes by incarnation")
{
    gossip_message rumor;
    member_details details = fleet.node(3).core->members().self().details;
    details.state = announced_state::Left;
    rumor.details.push_back(details);
    fleet.inject(2, 1, sealAs2(datagram_kind::Gossip, 1'000'000, encodeBounded(rumor)));
    fleet.run(100ms);
    CHECK(fleet.stateSeen(1, 3) == member_state::Dead);
    fleet.run(5s);
    CHECK(fleet.node(3).core->members().self().details.incarnation > details.incarnation);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(control_core_fixture, "control core, two notes with one number, fork is reported")
{
    // Only a restored or edited store can cause this. No instance may go back or adopt the other
    // one.
    fleet.acceptNote();
    fleet.run(5s);
    fleet.cut([](std::uint32_t a, std::uint32_t b) { return (a % 3 == 1) != (b % 3 == 1); });
    for (const std::uint32_t id : {1U, 4U, 7U}) {
        fleet.node(id).mayReachPlatform = false;
    }
    fleet.acceptNote();
    fleet.run(40s);
    fleet.platform.forgetNewest("notes/");
    fleet.platform.create("notes/0000000002", "another note", fleet.now());
    for (const std::uint32_t id : {1U, 4U, 7U}) {
        fleet.node(id).mayReachPlatform = true;
    }
    fleet.run(40s);
    const note_digest before = fleet.node(4).plan->inForce.digest;
    CHECK(fleet.node(4).plan->inForce.number == note_number{2});
    CHECK(fleet.node(2).plan->inForce.digest != before);
    fleet.heal();
    fleet.run(20s);
    CHECK(fleet.node(4).plan->inForce.digest == before);
    CHECK(fleet.node(4).events["note_fork"] > 0);
    CHECK(fleet.node(2).events["note_fork"] > 0);
    CHECK(fleet.breaches.notesFell == 0);
}

TEST_CASE_FIXTURE(control_core_fixture, "note history, a changed text or a gap, is refused")
{
    note_history history;
    const note_digest first = digestNote({}, "first");
    CHECK(isOk(history.append(note_number{1}, first, "first")));
    const note_digest second = digestNote(first, "second");
    CHECK_FALSE(isOk(history.append(note_number{2}, second, "changed")));
    CHECK_FALSE(isOk(history.append(note_number{3}, second, "second")));
    CHECK_FALSE(isOk(history.append(note_number{2}, digestNote({}, "second"), "second")));
    CHECK(isOk(history.append(note_number{2}, second, "second")));
    CHECK_FALSE(isOk(history.restart(note_number{2}, first)));
    CHECK(history.headDigest() == second);
}

TEST_CASE_FIXTURE(control_core_fixture,
                  "control core, backend servers, two probers in their domain")
{
    adoptBackendServers(20);
    std::map<std::uint16_t, int> probers;
    for (const std::uint32_t id : fleet.running()) {
        const auto &targets = fleet.node(id).probeTargets;
        CHECK((targets.empty() || fleet.node(id).domain == "domain-1"));
        for (const backend_server_id server : targets) {
            probers[server.value]++;
        }
    }
    CHECK(probers.size() == 20);
    CHECK(std::all_of(probers.begin(), probers.end(),
                      [](const auto &entry) { return entry.second == 2; }));
}

TEST_CASE_FIXTURE(control_core_fixture, "control core, a backend server fails, all learn of it")
{
    adoptBackendServers(14);
    for (std::uint16_t i = 0; i < 14; ++i) {
        fleet.node(1).core->onLoadReport({backend_server_id{i}, true, true, 100, 1, 5});
    }
    fleet.run(3s);
    fleet.node(1).core->onLoadReport({backend_server_id{3}, false, false, 0, 0, 5});
    fleet.run(3s);
    for (std::uint32_t id = 2; id <= 8; ++id) {
        const std::vector<load_report> &loads = fleet.node(id).loads;
        REQUIRE(loads.size() == 15);
        CHECK(loads.back().backendServer == backend_server_id{3});
        CHECK_FALSE(loads.back().reachable);
    }
}

} // namespace ebonyway
