#include "process/control_fleet.h"
#include "version/platform_notes.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct intent_sync_fixture
{
    control_fleet fleet{11, {}};

    intent_sync_fixture()
    {
        fleet.startMany(8);
        fleet.run(5s);
    }

    ~intent_sync_fixture()
    {
        CHECK(fleet.breaches.notesFell == 0);
        CHECK(fleet.breaches.notesForked == 0);
    }

    /** Restarts every instance at the same moment. */
    void restartAll()
    {
        for (std::uint32_t id = 1; id <= 8; ++id) {
            fleet.start(id, fleet.node(id).domain);
        }
    }

    /** Epochs of the writers of a status object never fall. */
    std::uint64_t statusEpoch()
    {
        const std::string *status = fleet.platform.value("status/domain-0");
        if (status == nullptr) {
            return 0;
        }
        const std::size_t at = status->find("\"epoch\"");
        return std::stoull(status->substr(status->find(':', at) + 1));
    }

    std::vector<std::uint32_t> leaseHolders()
    {
        std::vector<std::uint32_t> holders;
        for (const std::uint32_t id : fleet.running()) {
            if (fleet.node(id).core->holdsLease(fleet.now())) {
                holders.push_back(id);
            }
        }
        return holders;
    }
};

} // namespace

TEST_CASE_FIXTURE(intent_sync_fixture, "intent sync, a note is accepted, all 8 have it within 3 s")
{
    for (int i = 0; i < 20; ++i) {
        CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 10s) <= 3s);
        fleet.run(1s);
    }
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, platform down for an hour, joiners get the note")
{
    const std::uint64_t note = fleet.acceptNote();
    fleet.run(5s);
    fleet.platform.setDown(true, fleet.now());
    const std::uint64_t callsBefore = fleet.platform.callCount;
    for (std::uint32_t i = 0; i < 12; ++i) {
        const std::uint32_t old = 1 + i % 8;
        fleet.kill(old);
        fleet.run(150s);
        fleet.start(old, fleet.node(old).domain);
        fleet.run(150s);
        CHECK(fleet.haveAll(note));
        CHECK(fleet.hasConverged());
    }
    const std::uint64_t calls = fleet.platform.callCount - callsBefore;
    MESSAGE(calls << " platform calls during an hour of outage, " << fleet.platform.conflictCount
                  << " conflicts before");
    CHECK(calls < 3600 * 5);
    fleet.platform.setDown(false, fleet.now());
    const std::uint64_t callsAtReturn = fleet.platform.callCount;
    CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 60s) <= 12s);
    CHECK(fleet.platform.callCount - callsAtReturn < 100);
}

TEST_CASE_FIXTURE(intent_sync_fixture, "intent sync, slow platform, notes arrive")
{
    fleet.platform.faults.latency = 2500ms;
    CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 30s) <= 10s);
    fleet.platform.faults.latency = 4s; // Beyond the deadline of a call: only retries remain.
    fleet.run(60s);
    fleet.platform.faults.latency = 5ms;
    CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 60s) <= 12s);
}

TEST_CASE_FIXTURE(intent_sync_fixture, "intent sync, stale reads, no instance goes back")
{
    std::uint64_t note = 0;
    fleet.platform.faults.staleness = 20s;
    for (int i = 0; i < 10; ++i) {
        note = fleet.acceptNote();
        fleet.run(7s);
    }
    fleet.start(3, fleet.node(3).domain);
    CHECK(fleet.runUntilAllHave(note, 60s) <= 40s);
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, the store is restored to an old copy, notes stay")
{
    fleet.acceptNote();
    const std::uint64_t note = fleet.acceptNote();
    fleet.run(5s);
    fleet.platform.forgetNewest("notes/");
    fleet.platform.setDown(true, fleet.now());
    fleet.run(20s);
    fleet.platform.setDown(false, fleet.now());
    fleet.start(2, fleet.node(2).domain);
    fleet.run(30s);
    CHECK(fleet.haveAll(note));
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "store back from an older copy, lost and next notes, are in force in time")
{
    const std::uint64_t copy = fleet.platform.revision();
    const std::uint64_t lost = fleet.acceptNote();
    fleet.run(8s);
    const std::string text = *fleet.platform.value(noteKey({lost}));
    fleet.platform.restoreCopy(copy, fleet.now());
    fleet.run(2s);
    REQUIRE(fleet.platform.create(noteKey({lost}), text, fleet.now()));
    CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 60s) <= 12s);
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "store back from an older copy, lost status, is written again under the lease")
{
    fleet.run(30s);
    REQUIRE(fleet.platform.value("status/domain-0") != nullptr);
    fleet.platform.restoreCopy(0, fleet.now());
    REQUIRE(fleet.platform.value("status/domain-0") == nullptr);
    fleet.run(60s);
    CHECK(leaseHolders().size() == 1);
    CHECK(fleet.platform.value("status/domain-0") != nullptr);
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, partition while a note spreads, both sides agree")
{
    fleet.acceptNote();
    fleet.run(5s);
    fleet.cut([](std::uint32_t a, std::uint32_t b) { return (a % 3 == 1) != (b % 3 == 1); });
    for (const std::uint32_t id : {1U, 4U, 7U}) {
        fleet.node(id).mayReachPlatform = false;
    }
    const std::uint64_t note = fleet.acceptNote();
    fleet.run(60s);
    CHECK(fleet.node(2).plan->inForce.number.value == note);
    CHECK(fleet.node(4).plan->inForce.number.value == note - 1);
    fleet.heal();
    CHECK(fleet.runUntilAllHave(note, 30s) <= 3s);
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, a cut-off domain is taken out, its members are dead")
{
    // Guards against homes that wait for a domain which operators have given up.
    fleet.cut([](std::uint32_t a, std::uint32_t b) { return (a % 3 == 1) != (b % 3 == 1); });
    fleet.run(30s);
    CHECK(fleet.stateSeen(2, 4) == member_state::Suspect);
    const std::uint64_t note = fleet.acceptNote("out:domain-1;");
    fleet.run(10s);
    CHECK(fleet.stateSeen(2, 4) == member_state::Dead);
    fleet.heal();
    // The cut-off side still holds the others for live; one contact is enough.
    CHECK(fleet.runUntilAllHave(note, 60s) <= 12s);
    fleet.run(5s);
    CHECK(fleet.hasConverged());
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, all instances are replaced in turn, nothing is lost")
{
    const std::uint64_t note = fleet.acceptNote();
    fleet.run(5s);
    fleet.platform.setDown(true, fleet.now());
    for (std::uint32_t id = 1; id <= 8; ++id) {
        fleet.start(id, fleet.node(id).domain);
        fleet.run(10s);
        CHECK(fleet.haveAll(note));
    }
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, all replaced at once, they say there is no source")
{
    const std::uint64_t note = fleet.acceptNote();
    fleet.run(5s);
    fleet.platform.setDown(true, fleet.now());
    restartAll();
    fleet.run(60s);
    CHECK(fleet.node(1).plan->inForce.number == note_number{});
    CHECK(fleet.node(1).core->noSourceReason().has_value());
    CHECK(fleet.lastNoSourceReason.find("none of 7 peers has a note") != std::string::npos);
    fleet.platform.setDown(false, fleet.now());
    CHECK(fleet.runUntilAllHave(note, 60s) <= 12s);
    CHECK_FALSE(fleet.node(1).core->noSourceReason().has_value());
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "intent sync, long notes and old joiners, parts and snapshots work")
{
    // A note of 900 KB does not fit into one response; 600 notes are more than a peer keeps.
    CHECK(fleet.runUntilAllHave(fleet.acceptNote("", 900'000), 30s) <= 3s);
    for (int i = 0; i < 600; ++i) {
        fleet.acceptNote();
    }
    fleet.runUntilAllHave(601, 60s);
    fleet.platform.setDown(true, fleet.now());
    fleet.start(5, fleet.node(5).domain);
    CHECK(fleet.runUntilAllHave(601, 60s) <= 5s);
    CHECK(fleet.node(5).adoptedAt.size() == 1);
}

TEST_CASE_FIXTURE(intent_sync_fixture, "intent sync, delayed and duplicated messages, all agree")
{
    fleet.network = {20ms, 2s, 0.2, 0.3};
    for (int i = 0; i < 10; ++i) {
        CHECK(fleet.runUntilAllHave(fleet.acceptNote(), 30s) <= 10s);
    }
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "singleton work, answers are lost, one holder and rising epochs")
{
    fleet.platform.faults.losesAnswers = true;
    std::uint64_t epoch = 0;
    for (int i = 0; i < 60; ++i) {
        fleet.run(5s);
        CHECK(leaseHolders().size() <= 1);
        CHECK(statusEpoch() >= epoch);
        epoch = statusEpoch();
    }
    fleet.platform.faults.losesAnswers = false;
    fleet.run(60s);
    CHECK(leaseHolders().size() == 1);
    CHECK(statusEpoch() > 0);
}

TEST_CASE_FIXTURE(intent_sync_fixture,
                  "singleton work, the holder is paused, another one takes over")
{
    fleet.run(30s);
    REQUIRE(leaseHolders().size() == 1);
    const std::uint32_t holder = leaseHolders().front();
    const std::uint64_t epoch = statusEpoch();
    fleet.freeze(holder, 90s);
    fleet.run(89s);
    REQUIRE(leaseHolders().size() == 1);
    CHECK(leaseHolders().front() != holder);
    CHECK(statusEpoch() > epoch);
    fleet.run(30s);
    CHECK(leaseHolders().size() == 1);
    CHECK(leaseHolders().front() != holder);
}

TEST_CASE_FIXTURE(intent_sync_fixture, "singleton work, 200 notes, snapshots are stored")
{
    fleet.run(30s);
    for (int i = 0; i < 200; ++i) {
        fleet.acceptNote();
        fleet.run(500ms);
    }
    fleet.run(10s);
    const std::size_t stored = fleet.platform.keys("snapshots/").size();
    CHECK(stored >= 2);
    CHECK(stored <= 200 / NotesPerSnapshot + 1);
    restartAll();
    CHECK(fleet.runUntilAllHave(200, 30s) <= 12s);
}

} // namespace ebonyway
