#include "connection/engine_message.h"
#include "connection/home_assignment.h"
#include "connection/partition_signal.h"
#include "connection/peer_channel.h"
#include "connection/slot_marks.h"
#include "connection/tracked_flow_table.h"
#include "connection/udp_seen_set.h"
#include "core/seeded_random.h"

#include <doctest/doctest.h>

#include <set>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct parts_fixture
{
    time_point now{1000s};
    seeded_random random{7};

    tracked_flow flowOf(std::uint64_t key) const
    {
        return {flow_hash{key}, toFlowTime(now), {}, backend_server_id{1}, 0};
    }

    static std::vector<home_candidate> candidates()
    {
        std::vector<home_candidate> all;
        for (std::uint16_t id = 1; id <= 8; ++id) {
            const failure_domain_id domain{static_cast<std::uint16_t>(id % 3)};
            all.push_back({instance_id{id}, domain, candidate_role::Eligible});
        }
        return all;
    }
    keyed_hash hash{std::vector<std::byte>(16, std::byte{7})};
};

} // namespace

TEST_CASE_FIXTURE(parts_fixture, "tracked flow table, random inserts and erases, agrees with a set")
{
    tracked_flow_table table(500, 10);
    std::set<std::uint64_t> expected;
    for (int step = 0; step < 20'000; ++step) {
        // Few distinct upper bits produce long probe sequences that wrap around the table's end.
        const std::uint64_t key = (random.below(64) << 58) | random.below(16);
        tracked_flow *found = table.find(flow_hash{key});
        REQUIRE((found != nullptr) == expected.contains(key));
        if (found != nullptr) {
            table.erase(*found);
            expected.erase(key);
        } else if (table.insertEstablished(flowOf(key)) != nullptr) {
            expected.insert(key);
        }
        REQUIRE(table.size() == expected.size());
    }
}

TEST_CASE_FIXTURE(parts_fixture,
                  "tracked flow table, flood of first packets, keeps established flows")
{
    tracked_flow_table table(100, 16);
    tracked_flow evicted;
    for (std::uint64_t key = 1; key <= 10; ++key) {
        REQUIRE(table.promote(*table.insertProbation(flowOf(key << 40), &evicted)));
    }
    int refused = 0;
    for (std::uint64_t key = 100; key < 1'000; ++key) {
        refused += table.insertProbation(flowOf(key << 40), &evicted) == nullptr ? 1 : 0;
        now += 50ms;
    }
    CHECK(refused > 0);
    CHECK(table.size() <= 10 + 16);
    for (std::uint64_t key = 1; key <= 10; ++key) {
        CHECK(table.find(flow_hash{key << 40}) != nullptr);
    }
}

TEST_CASE_FIXTURE(parts_fixture, "engine frame, corrupted bytes, do not crash the decoder")
{
    const std::string records =
            encodeRecord(flow_record{{}, backend_server_id{3}, {flow_hash{9}}})
            + encodeRecord(sync_end{4, note_number{2}, member_state::Ready, true});
    const std::vector<std::byte> valid = encodeFrame({1, 5, 6, 7, 8}, records);
    const std::optional<engine_frame> decoded = decodeFrame(valid);
    REQUIRE(decoded);
    CHECK(decoded->header == frame_header{1, 5, 6, 7, 8});
    CHECK(decoded->records.size() == 2);
    for (std::size_t length = 0; length < valid.size(); ++length) {
        const auto part = std::span(valid).first(length);
        const std::optional<engine_frame> cut = decodeFrame(part);
        CHECK((!cut || cut->records.size() < 2));
    }
    for (int round = 0; round < 20'000; ++round) {
        std::vector<std::byte> bytes = valid;
        if (round % 2 == 0) {
            bytes.resize(random.below(FrameSizeLimit + 100));
        }
        for (std::uint64_t change = 0; change <= random.below(bytes.size() + 1); ++change) {
            if (!bytes.empty()) {
                bytes[random.below(bytes.size())] = static_cast<std::byte>(random.next());
            }
        }
        const std::optional<engine_frame> frame = decodeFrame(bytes);
        CHECK((!frame || frame->records.size() <= FrameSizeLimit));
    }
}

TEST_CASE_FIXTURE(parts_fixture, "engine record, longest list, fits into a frame")
{
    flow_record record;
    record.flows.resize(RecordListLimit);
    CHECK(encodeFrame({}, encodeRecord(record)).size() <= FrameSizeLimit);
}

TEST_CASE_FIXTURE(parts_fixture,
                  "peer channel, lossy and reordering network, delivers everything in order")
{
    peer_channel sender(3);
    peer_channel receiver(9);
    std::uint32_t delivered = 0;
    std::uint32_t sent = 0;
    for (int step = 0; step < 4'000; ++step, now += 20ms) {
        if (sent < 500) {
            sender.enqueue(mark_sync_request{++sent});
        }
        std::vector<std::vector<std::byte>> frames = sender.takeFrames(now);
        while (!frames.empty()) {
            const std::size_t pick = random.below(frames.size());
            if (random.below(4) != 0) {
                for (const engine_record &record :
                     receiver.accept(*decodeFrame(frames[pick]), now)) {
                    REQUIRE(std::get<mark_sync_request>(record).nonce == ++delivered);
                }
            }
            frames.erase(frames.begin() + static_cast<std::ptrdiff_t>(pick));
        }
        for (const auto &frame : receiver.takeFrames(now)) {
            if (random.below(4) != 0) {
                sender.accept(*decodeFrame(frame), now);
            }
        }
    }
    CHECK(delivered == 500);
    CHECK(sender.isIdle());
}

TEST_CASE_FIXTURE(parts_fixture,
                  "peer channel, peer restarts, reports the reset and delivers again")
{
    peer_channel sender(3);
    peer_channel receiver(9);
    sender.enqueue(mark_sync_request{1});
    receiver.accept(*decodeFrame(sender.takeFrames(now).at(0)), now);
    now += 1s;
    sender.accept(*decodeFrame(receiver.takeFrames(now).at(0)), now);
    peer_channel restarted(10);
    sender.enqueue(mark_sync_request{2});
    CHECK(restarted.accept(*decodeFrame(sender.takeFrames(now).at(0)), now).empty());
    now += 1s;
    sender.accept(*decodeFrame(restarted.takeFrames(now).at(0)), now);
    CHECK(sender.resetCount() == 1);
    sender.enqueue(mark_sync_request{3});
    CHECK(restarted.accept(*decodeFrame(sender.takeFrames(now).at(0)), now).size() == 1);
}

TEST_CASE_FIXTURE(parts_fixture,
                  "home assignment, home dies, backup in another domain takes its place")
{
    const home_assignment before(candidates(), hash);
    for (std::uint16_t index = 0; index < 512; ++index) {
        const slot_id slot{service_id{0}, index};
        const slot_owners owners = before.owners(slot);
        std::vector<home_candidate> after = candidates();
        after[owners.home->value - 1].role = candidate_role::Tombstone;
        CHECK(owners.home->value % 3 != owners.backup->value % 3);
        if (index < 16) {
            CHECK(home_assignment(after, hash).owners(slot).home == owners.backup);
        }
    }
}

TEST_CASE_FIXTURE(parts_fixture, "slot marks, merge, keeps the greater mark and the lower base")
{
    slot_marks marks;
    const slot_id slot{service_id{1}, 5};
    CHECK_FALSE(marks.find(slot));
    marks.setBase(service_id{1}, note_number{4});
    marks.setBase(service_id{1}, note_number{6});
    CHECK(marks.find(slot) == slot_mark{note_number{4}, 0});
    CHECK(marks.merge(slot, {note_number{7}, 1}));
    CHECK_FALSE(marks.merge(slot, {note_number{6}, 9}));
    CHECK(marks.find(slot) == slot_mark{note_number{7}, 1});
}

TEST_CASE_FIXTURE(parts_fixture,
                  "partition signal, shared fabric and own callers, are distinguished")
{
    for (const bool ownCallers : {true, false}) {
        partition_signal signal;
        bool found = false;
        for (std::uint64_t key = 0; key < 600; ++key, now += 20ms) {
            // With a shared fabric, 5 of 8 retransmissions after 1 s arrive on this side.
            signal.onHeld(flow_hash{key}, now);
            if (key >= 50 && (ownCallers || random.below(8) < 5)) {
                signal.onHeld(flow_hash{key - 50}, now);
            }
            found |= signal.hasOwnCallers(now);
        }
        CHECK(found == ownCallers);
    }
}

TEST_CASE_FIXTURE(parts_fixture, "UDP seen set, flood of single packets, keeps repeated flows")
{
    udp_seen_set seen(1024);
    for (std::uint64_t key = 0; key < 50; ++key) {
        const flow_hash live{key * 0x9e3779b97f4a7c15U};
        CHECK_FALSE(seen.record(service_id{1}, live, now));
        CHECK(seen.record(service_id{1}, live, now));
    }
    now += 1s;
    for (int packet = 0; packet < 50'000; ++packet) {
        seen.record(service_id{1}, flow_hash{random.next()}, now);
    }
    for (std::uint64_t key = 0; key < 50; ++key) {
        CHECK(seen.record(service_id{1}, flow_hash{key * 0x9e3779b97f4a7c15U}, now));
    }
    CHECK(seen.memoryBytes() == 1024 * 16);
}

} // namespace ebonyway
