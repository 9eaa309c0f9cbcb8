#include "core/bounded_archive.h"
#include "forwarding/directory_samples.h"
#include "forwarding/process/peer_message.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Version = 0x45570005;
constexpr std::uint32_t PreviousVersion = 0x45570004;

/** Writes a heartbeat as the previous version did. */
struct earlier_heartbeat
{
    std::uint32_t version = PreviousVersion;
    peer_message message;

    template <class Archive>
    void save(Archive &archive) const
    {
        archive(version);
        for (const store_position &position : message.positions) {
            archive(position);
        }
        archive(message.sender, message.otherPeers);
        archive(cereal::make_size_tag(static_cast<cereal::size_type>(message.loads.size())));
        for (const peer_server_load &load : message.loads) {
            archive(load.server, static_cast<std::uint16_t>(load.flowCount),
                    static_cast<std::uint8_t>(load.suspiciousInstances),
                    static_cast<std::uint16_t>(load.answeredAgo.count()));
        }
    }
};

struct peer_message_fixture
{
    peer_message message{{"edge-7", "a", samples::address(0x0a010007, 7'720), 1'733'500'000'000, 40,
                          true, false},
                         samples::positions(1'000'000, 3),
                         {},
                         {}};

    /** Figures that take the most bytes. */
    static service_demand largestDemand(std::uint32_t index)
    {
        return {0xffffff00 + index, 0xfffffff0, 8'000, 8'000, 8'000, 4'000, 16s};
    }
    static peer_server_load largestLoad(std::uint64_t index)
    {
        return {server_key{~index}, 0xffff, 1, 65'000ms, 15, 59s};
    }
    peer_message sent() const
    {
        auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(isOk(decoded));
        return valueOf(decoded);
    }
    /** Bytes of `count` demands in a heartbeat. */
    std::size_t demandBytes(std::size_t count, const service_demand &demand) const
    {
        peer_message with = message;
        for (std::size_t index = 0; index < count; ++index) {
            with.demands.push_back(demand);
            with.demands.back().service = demandTag("service " + std::to_string(index));
            with.demands.back().route = demandTag(samples::orderAddress());
        }
        return encodePeerMessage(with).size() - encodePeerMessage(message).size();
    }
};

} // namespace

TEST_CASE_FIXTURE(peer_message_fixture, "demand, sent to a peer, arrives within rounding")
{
    seeded_random random(1);
    for (int round = 0; round < 500; ++round) {
        const service_demand demand{static_cast<std::uint32_t>(random.next()),
                                    static_cast<std::uint32_t>(random.next()),
                                    random.unit() * 8'000,
                                    random.unit() * 100,
                                    random.unit() * 3,
                                    random.unit() * 4'000,
                                    std::chrono::microseconds(random.below(16'000'000))};
        message.demands = {demand};
        const peer_message received = sent();
        REQUIRE(received.demands.size() == 1);
        const service_demand &read = received.demands.front();
        CHECK(read.service == demand.service);
        CHECK(read.route == demand.route);
        CHECK(std::abs(read.newFlows - demand.newFlows) <= 1.0 / 16);
        CHECK(std::abs(read.laterRequests - demand.laterRequests) <= 1.0 / 16);
        CHECK(std::abs(read.refused - demand.refused) <= 1.0 / 16);
        CHECK(std::abs(read.underWay - demand.underWay) <= 1.0 / 32);
        CHECK(std::chrono::abs(read.workTime - demand.workTime) < 250us);
    }
}

TEST_CASE_FIXTURE(peer_message_fixture, "server load, sent to a peer, arrives within rounding")
{
    seeded_random random(2);
    for (int round = 0; round < 500; ++round) {
        const peer_server_load load{server_key{random.next()},
                                    static_cast<std::uint32_t>(random.below(65'536)),
                                    static_cast<std::uint32_t>(random.below(2)),
                                    std::chrono::milliseconds(random.below(60'000)),
                                    random.unit() * 15,
                                    std::chrono::microseconds(random.below(60'000'000))};
        message.loads = {load};
        const peer_message received = sent();
        REQUIRE(received.loads.size() == 1);
        const peer_server_load &read = received.loads.front();
        CHECK(read.server == load.server);
        CHECK(read.flowCount == load.flowCount);
        CHECK(read.suspiciousInstances == load.suspiciousInstances);
        CHECK(read.answeredAgo == load.answeredAgo);
        CHECK(std::abs(read.underWay - load.underWay) <= 1.0 / 32);
        CHECK(std::chrono::abs(read.answerTime - load.answerTime) <= 500us);
    }
}

// A figure that wraps around would make a flooded instance look idle.
TEST_CASE_FIXTURE(peer_message_fixture, "figures above the range, sent to a peer, are capped")
{
    message.demands = {{1, 2, 1e9, 1e9, 1e9, 1e9, 1h}};
    message.loads = {{server_key{1}, 1'000'000, 4, 10min, 1e9, 1h}};
    const peer_message received = sent();
    const service_demand &demand = received.demands.front();
    CHECK(demand.newFlows == 65'535 / 8.0);
    CHECK(demand.laterRequests == 65'535 / 8.0);
    CHECK(demand.refused == 65'535 / 8.0);
    CHECK(demand.underWay == 65'535 / 16.0);
    CHECK(demand.workTime == 65'535 * 250us);
    const peer_server_load &load = received.loads.front();
    CHECK(load.flowCount == 65'535);
    CHECK(load.underWay == 255 / 16.0);
    CHECK(load.answerTime == 65'535ms);
    CHECK(load.answeredAgo == peer_server_load::NeverAnswered);
}

// The conversion of NaN to an integer is undefined, so it could be any figure at the receiver.
TEST_CASE_FIXTURE(peer_message_fixture, "figures that are no amounts, sent to a peer, become zero")
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    message.demands = {{1, 2, nan, -1, -infinite, nan, -1s}};
    message.loads = {{server_key{1}, 1, 0, 0ms, nan, -1s}};
    const peer_message received = sent();
    const service_demand &demand = received.demands.front();
    CHECK(demand.newFlows == 0);
    CHECK(demand.laterRequests == 0);
    CHECK(demand.refused == 0);
    CHECK(demand.underWay == 0);
    CHECK(demand.workTime == 0s);
    CHECK(received.loads.front().underWay == 0);
    CHECK(received.loads.front().answerTime == 0s);
}

TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, previous version, is read without new fields")
{
    earlier_heartbeat earlier;
    earlier.message = message;
    earlier.message.otherPeers = {message.sender};
    earlier.message.loads = {{server_key{5}, 7, 1, 30ms}, {server_key{6}, 9, 0, 40ms}};
    const auto decoded = decodePeerMessage(encodeBounded(earlier));
    REQUIRE(isOk(decoded));
    const peer_message &read = valueOf(decoded);
    CHECK(read.sender.name == message.sender.name);
    CHECK(read.sender.boot == message.sender.boot);
    CHECK(read.positions == message.positions);
    CHECK(read.otherPeers.size() == 1);
    CHECK(read.demands.empty());
    CHECK_FALSE(read.hasDemands);
    REQUIRE(read.loads.size() == 2);
    CHECK(read.loads[0].server == server_key{5});
    CHECK(read.loads[0].flowCount == 7);
    CHECK(read.loads[0].suspiciousInstances == 1);
    CHECK(read.loads[1].answeredAgo == 40ms);
    CHECK(read.loads[1].underWay == 0);
    CHECK(read.loads[1].answerTime == 0s);
}

// Another layout that happens to decode would bring wrong figures into the sums.
TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, any other version, is refused")
{
    for (const std::uint32_t version :
         {0U, 1U, 0x45570003U, 0x45570006U, 0x45580005U, 0xffffffffU}) {
        CAPTURE(version);
        earlier_heartbeat other{version, message};
        CHECK_FALSE(isOk(decodePeerMessage(encodeBounded(other))));
        CHECK(unknownPeerMessageVersion(encodeBounded(other)) == version);
    }
    // The layout of one known version under the number of the other.
    message.loads = {{server_key{5}, 7, 1, 30ms}};
    CHECK_FALSE(isOk(decodePeerMessage(encodeBounded(earlier_heartbeat{Version, message}))));
}

TEST_CASE_FIXTURE(peer_message_fixture, "version of a message, known or unreadable, is not unknown")
{
    const std::vector<std::byte> whole = encodePeerMessage(message);
    CHECK_FALSE(unknownPeerMessageVersion(whole));
    CHECK_FALSE(unknownPeerMessageVersion(encodeBounded(earlier_heartbeat{})));
    CHECK_FALSE(unknownPeerMessageVersion({}));
    CHECK_FALSE(unknownPeerMessageVersion(std::span(whole).first(2)));
    CHECK_FALSE(unknownPeerMessageVersion(std::vector<std::byte>(12, std::byte{0xff})));
}

TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, cut off anywhere, is refused")
{
    message.demands = {largestDemand(1)};
    message.loads = {largestLoad(1)};
    const std::vector<std::byte> whole = encodePeerMessage(message);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(isOk(decodePeerMessage(std::span(whole).first(length))));
    }
}

// A heartbeat above the limit is fragmented or refused, and with it the demands would be lost.
TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, many server loads, fits and keeps its demands")
{
    for (std::uint32_t index = 0; index < MaxDemandsReported; ++index) {
        message.demands.push_back(largestDemand(index));
    }
    for (std::uint64_t index = 0; index < 70; ++index) {
        message.loads.push_back(largestLoad(index));
    }
    message.otherPeers.assign(8, message.sender);
    const std::vector<std::byte> bytes = encodePeerMessage(message);
    CHECK(bytes.size() <= MaxPeerMessageBytes);
    const peer_message received = sent();
    CHECK(received.demands.size() == MaxDemandsReported);
    CHECK(received.demands.back().service == message.demands.back().service);
    MESSAGE("heartbeat with 16 demands and 70 server loads of the largest figures: ", bytes.size(),
            " bytes, ", received.loads.size(), " server loads kept");
}

// Server loads were once halved until the rest fitted, so one entry too many cost half of them, and
// the servers left out seemed idle to the peers.
TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, too many server loads, uses most of the space")
{
    for (std::uint64_t count = 40; count <= 150; ++count) {
        CAPTURE(count);
        message.loads.clear();
        for (std::uint64_t index = 0; index < count; ++index) {
            message.loads.push_back(largestLoad(index));
        }
        const std::size_t kept = sent().loads.size();
        CHECK((kept == count || encodePeerMessage(message).size() > MaxPeerMessageBytes * 3 / 4));
    }
}

TEST_CASE_FIXTURE(peer_message_fixture, "heartbeat, more demands than the limit, keeps the first")
{
    for (std::uint32_t index = 0; index < MaxDemandsReported + 4; ++index) {
        message.demands.push_back(largestDemand(index));
    }
    const peer_message received = sent();
    REQUIRE(received.demands.size() == MaxDemandsReported);
    CHECK(received.demands.front().service == message.demands.front().service);
}

// Control may use 3 KB/s of an instance. The figures are those of two services with two routes each
// and of the limit; the targets are those of peer_directory::targets().
TEST_CASE_FIXTURE(peer_message_fixture, "demands, sent by an instance, stay below 3 KB/s if usual")
{
    const service_demand usual{0, 0, 12, 4, 0.5, 1.5, 40ms};
    for (const std::size_t instances : {std::size_t{8}, std::size_t{88}, std::size_t{300}}) {
        // Four heartbeats a second: to all others of up to 16, else to two in each of 3 domains.
        const std::size_t heartbeats = 4 * (instances <= 16 ? instances - 1 : 2 * 3);
        const std::size_t common = heartbeats * demandBytes(4, usual);
        MESSAGE(instances, " instances: ", common, " bytes/s for 4 demands, ",
                heartbeats * demandBytes(MaxDemandsReported, usual), " bytes/s for 16, ",
                heartbeats * demandBytes(MaxDemandsReported, largestDemand(0)),
                " bytes/s for 16 of the largest figures");
        CHECK(common < 3'000);
    }
}

} // namespace ebonyway
