#include "core/seeded_random.h"
#include "forwarding/directory_samples.h"
#include "forwarding/process/peer_directory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

peer_entry instance(const std::string &name, const std::string &domain, std::uint32_t host)
{
    return {name, domain, samples::address(0x0a010000 + host, 7720), 1'000, 0, true, false};
}

/** Three instances in domain "a" and one in "b" that exchange heartbeats in simulated time. */
struct peers_fixture
{
    std::map<std::string, peer_directory> instances;
    std::map<std::string, known_positions> positions;
    std::set<std::string> down;
    time_point now{100s};

    peers_fixture()
    {
        std::uint32_t host = 0;
        for (const auto &[name, domain] : std::vector<std::pair<std::string, std::string>>{
                     {"one", "a"}, {"two", "a"}, {"three", "a"}, {"four", "b"}}) {
            ++host;
            peer_directory made(instance(name, domain, host), host);
            made.setSeeds({samples::address(0x0a010001, 7720)});
            instances.emplace(name, std::move(made));
            positions[name] = samples::positions(1);
        }
        advance(2s);
    }

    void deliver(const peer_message &message, const endpoint &to)
    {
        for (auto &[name, peer] : instances) {
            const std::uint32_t host = to.address.toV4() - 0x0a010000;
            if (addressOf(name) == host && !down.contains(name)) {
                peer.onMessage(message, now);
            }
        }
    }

    static std::uint32_t addressOf(const std::string &name)
    {
        static const std::map<std::string, std::uint32_t> Hosts{
                {"one", 1}, {"two", 2}, {"three", 3}, {"four", 4}};
        return Hosts.at(name);
    }

    void advance(duration length)
    {
        for (const time_point end = now + length; now < end; now += 250ms) {
            for (auto &[name, peer] : instances) {
                if (down.contains(name)) {
                    continue;
                }
                const auto bytes = encodePeerMessage(peer.heartbeat(positions[name], {}));
                const auto message = decodePeerMessage(bytes);
                REQUIRE(isOk(message));
                const heartbeat_targets targets = peer.targets(false, now);
                for (const auto *some : {&targets.near, &targets.far}) {
                    for (const endpoint &to : *some) {
                        deliver(valueOf(message), to);
                    }
                }
            }
        }
    }

    std::vector<std::string> readers(const std::vector<std::string> &names)
    {
        std::vector<std::string> found;
        for (const std::string &name : names) {
            if (!down.contains(name) && instances.at(name).isStoreReader(now)) {
                found.push_back(name);
            }
        }
        return found;
    }
};

} // namespace

TEST_CASE_FIXTURE(peers_fixture, "instances, one seed, discover all others")
{
    for (const auto &[name, peer] : instances) {
        CHECK(peer.knownInstanceCount(now) == 4);
    }
}

TEST_CASE_FIXTURE(peers_fixture, "failure domain, all instances live, has one store reader")
{
    CHECK(readers({"one", "two", "three"}).size() == 1);
    CHECK(readers({"four"}).size() == 1);
}

TEST_CASE_FIXTURE(peers_fixture, "store reader, killed, is replaced within a second")
{
    const std::string reader = readers({"one", "two", "three"}).front();
    down.insert(reader);
    advance(1s);
    CHECK(readers({"one", "two", "three"}).size() == 1);
}

TEST_CASE_FIXTURE(peers_fixture,
                  "store reader, rejected by the store, is replaced at the next heartbeat")
{
    const std::string reader = readers({"one", "two", "three"}).front();
    instances.at(reader).setStoreAnswers(false);
    advance(500ms);
    const auto next = readers({"one", "two", "three"});
    REQUIRE(next.size() == 1);
    CHECK(next.front() != reader);
}

TEST_CASE_FIXTURE(peers_fixture, "instance, no live peers in its domain, reads the store itself")
{
    down = {"one", "two", "three"};
    down.erase("two");
    advance(2s);
    CHECK(readers({"two"}).size() == 1);
}

TEST_CASE_FIXTURE(peers_fixture,
                  "outdated instance, several sources, prefers its own failure domain")
{
    positions["four"][1].revision = 9;
    positions["three"][1].revision = 9;
    advance(500ms);
    const auto source = instances.at("one").findPeerWithNewerPosition(positions["one"], now);
    REQUIRE(source);
    CHECK(source->address.toV4() == 0x0a010003);
    CHECK_FALSE(instances.at("three").findPeerWithNewerPosition(positions["three"], now));
}

TEST_CASE_FIXTURE(peers_fixture,
                  "instance with newer knowledge, does not hand it over, is replaced as the source")
{
    positions["four"][1].revision = 9;
    positions["three"][1].revision = 9;
    advance(500ms);
    peer_directory &subject = instances.at("one");
    subject.onPullFailed(samples::address(0x0a010003, 7720), now);
    const auto source = subject.findPeerWithNewerPosition(positions["one"], now);
    REQUIRE(source);
    CHECK(source->address.toV4() == 0x0a010004);
    subject.onPullFailed(samples::address(0x0a010004, 7720), now);
    CHECK(subject.findPeerWithNewerPosition(positions["one"], now));
    advance(2s);
    CHECK(subject.findPeerWithNewerPosition(positions["one"], now)->address.toV4() == 0x0a010003);
}

TEST_CASE_FIXTURE(peers_fixture, "outdated instance, several equal sources, does not ask one only")
{
    positions["two"][1].revision = 9;
    positions["three"][1].revision = 9;
    advance(500ms);
    std::set<std::uint32_t> asked;
    for (int pull = 0; pull < 20; ++pull) {
        const auto source = instances.at("one").findPeerWithNewerPosition(positions["one"], now);
        REQUIRE(source);
        asked.insert(source->address.toV4());
    }
    CHECK(asked == std::set<std::uint32_t>{0x0a010002, 0x0a010003});
}

TEST_CASE_FIXTURE(peers_fixture,
                  "instance of an earlier era, at a higher revision, is not used as a source")
{
    for (auto &[name, known] : positions) {
        known = samples::positions(5, 2);
    }
    positions["four"] = samples::positions(90, 1);
    advance(500ms);
    CHECK_FALSE(instances.at("one").findPeerWithNewerPosition(positions["one"], now));
    const auto source = instances.at("four").findPeerWithNewerPosition(positions["four"], now);
    CHECK(source);
}

TEST_CASE_FIXTURE(peers_fixture, "instance with newer knowledge, dead, is not used as a source")
{
    positions["four"][1].revision = 9;
    advance(500ms);
    down.insert("four");
    advance(1500ms);
    CHECK_FALSE(instances.at("one").findPeerWithNewerPosition(positions["one"], now));
}

TEST_CASE_FIXTURE(peers_fixture, "failure domain, all instances silent, is reported as silent")
{
    CHECK(instances.at("one").silentDomains(now).empty());
    down.insert("four");
    advance(1500ms);
    CHECK(instances.at("one").silentDomains(now) == std::set<std::string>{"b"});
    down.erase("four");
    advance(500ms);
    CHECK(instances.at("one").silentDomains(now).empty());
}

TEST_CASE_FIXTURE(peers_fixture,
                  "failure domain, one of several instances silent, is not reported as silent")
{
    down.insert("two");
    advance(1500ms);
    CHECK(instances.at("four").silentDomains(now).empty());
}

TEST_CASE_FIXTURE(peers_fixture, "loads, several live instances, are summed")
{
    peer_message message{instance("two", "a", 2), {}, {}, {{server_key{7}, 3, 1}}};
    message.sender.heartbeat = 1'000;
    instances.at("one").onMessage(message, now);
    message.sender = instance("four", "b", 4);
    message.sender.heartbeat = 1'000;
    instances.at("one").onMessage(message, now);
    const auto loads = instances.at("one").peerLoads(now);
    REQUIRE(loads.size() == 1);
    CHECK(loads.front().flowCount == 6);
    CHECK(loads.front().suspiciousInstances == 2);
    CHECK(instances.at("one").peerLoads(now + 2s).empty());
}

TEST_CASE("heartbeat, too many loads, still fits into one datagram")
{
    peer_message message{instance("one", "a", 1), {}, {}, {}};
    for (std::uint64_t key = 1; key < 2'000; ++key) {
        message.loads.push_back({server_key{key * 0x123456789}, 200, 0});
    }
    CHECK(encodePeerMessage(message).size() <= MaxPeerMessageBytes);
}

TEST_CASE("decoders, mutated and truncated bytes, reject or return complete messages")
{
    directory_builder knowledge{{}};
    const time_point now{100s};
    knowledge.apply(store_kind::DesiredState, samples::object(samples::desiredState(3), 4), now);
    knowledge.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 5), now);
    const std::string good = encodeKnowledge(knowledge.exportKnowledge(now));
    REQUIRE(isOk(decodeKnowledge(good)));
    const auto heartbeat = encodePeerMessage({instance("one", "a", 1), {}, {}, {}});
    seeded_random random(7);
    for (int i = 0; i < 50'000; ++i) {
        std::string text = good;
        std::vector<std::byte> bytes = heartbeat;
        for (int change = 0; change < 3; ++change) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
            bytes[random.below(bytes.size())] = static_cast<std::byte>(random.below(256));
        }
        if (random.below(3) == 0) {
            text.resize(random.below(text.size()));
            bytes.resize(random.below(bytes.size()));
        }
        decodeKnowledge(text);
        decodePeerMessage(bytes);
    }
}

TEST_CASE_FIXTURE(peers_fixture, "peer table, thousands of forged names, stays within its limit")
{
    peer_directory &one = instances.at("one");
    for (std::uint32_t i = 0; i < 5'000; ++i) {
        peer_message forged;
        forged.sender = instance("forged-" + std::to_string(i), "z", 1'000 + i);
        forged.otherPeers = {instance("rumour-" + std::to_string(i), "z", 10'000 + i)};
        one.onMessage(forged, now);
    }
    CHECK(one.knownInstanceCount(now) <= 2'001);
    advance(500ms);
    CHECK_FALSE(one.silentDomains(now).contains("b"));
}

TEST_CASE_FIXTURE(peers_fixture, "instance, only reported by others, is removed after a minute")
{
    peer_message message;
    message.sender = instance("two", "a", 2);
    message.sender.heartbeat = 1'000'000;
    message.otherPeers = {instance("ghost", "b", 99)};
    peer_directory &one = instances.at("one");
    const std::size_t before = one.knownInstanceCount(now);
    one.onMessage(message, now);
    CHECK(one.knownInstanceCount(now) == before + 1);
    advance(61s);
    CHECK(one.knownInstanceCount(now) == before);
}

// Guards against an estimate of the demand that counts the callers of instances that are gone
// twice: once where they were, once where routers send them now.
TEST_CASE_FIXTURE(peers_fixture, "running instances, one leaves and one falls silent, are counted")
{
    peer_directory &one = instances.at("one");
    const std::map<std::string, std::size_t> all{{"a", 3}, {"b", 1}};
    CHECK(one.runningInstances(now) == all);
    down.insert("three");
    instances.at("two").setLeaving();
    advance(3s);
    const std::map<std::string, std::size_t> left{{"a", 1}, {"b", 1}};
    CHECK(one.runningInstances(now) == left);
    // They keep their part of the rates of cold servers for a while.
    CHECK(one.knownInstances(now).at("a").size() == 3);
}

} // namespace ebonyway
