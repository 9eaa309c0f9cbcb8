#include "forwarding/directory_samples.h"
#include "forwarding/process/instance_control.h"

#include <doctest/doctest.h>

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Records what the instance requests; pulls are answered by the test. */
class recording_port : public control_port
{
public:
    void startStoreCall(const store_call &) override { }
    void cancelStoreCall(store_kind) override { }
    void sendHeartbeat(const peer_message &, std::span<const endpoint>) override { }
    void pullKnowledge(const endpoint &from, const known_positions &since, time_point) override
    {
        pulls.push_back(from);
        pulledSince = since;
    }
    bool isPulling() const override { return pulls.size() > answeredPulls; }
    void publish(std::shared_ptr<const directory> snapshot) override { published = snapshot; }
    void publishPeerView(peer_view latest) override { view = std::move(latest); }

    std::vector<endpoint> pulls;
    known_positions pulledSince{}; ///< Of the last pull.
    std::size_t answeredPulls = 0;
    std::shared_ptr<const directory> published;
    peer_view view;
};

class silent_log : public event_log
{
public:
    void write(const log_line &) override { }
};

/** An instance that starts right after the store has come back from an older copy. */
struct started_instance_fixture
{
    time_point now{1'000s};
    recording_port port;
    silent_log log;
    endpoint own{samples::address(0x0a010001, 7'720)};
    endpoint peer{samples::address(0x0a010002, 7'720)};
    instance_control subject{{"one", "a", own, 60'000, 1, false}, {}, port, log};

    started_instance_fixture() { subject.start({peer}, now); }

    void answerStore(store_kind kind, std::vector<store_object> objects)
    {
        for (store_object &object : objects) {
            object.era = 2;
        }
        subject.onStoreAnswer(kind, store_page{std::move(objects), 8, false, "", 2}, now);
    }
    void listCopy()
    {
        answerStore(store_kind::DesiredState, {samples::object(samples::desiredState(4), 3)});
        answerStore(store_kind::BackendServers, {samples::object(samples::entry(1, "a"), 4)});
        answerStore(store_kind::Evacuations, {});
    }
    void hearPeer(std::uint64_t boot, std::uint64_t revision = 8)
    {
        const peer_message message{
                {"two", "a", peer, boot, 5, true, false}, samples::positions(revision, 2), {}, {}};
        subject.onPeerMessage(message, now);
        subject.tick(now + 50ms);
    }
    /** Knowledge of a peer that has the same position and remembers a later version. */
    exported_knowledge peerKnowledge()
    {
        exported_knowledge known = subject.knowledge().exportKnowledge(now);
        known.positions = samples::positions(8, 2);
        known.hasDesiredState = true;
        known.desiredState = samples::desiredState(7);
        known.desiredPosition = {2, 3};
        return known;
    }
    void answerPull()
    {
        ++port.answeredPulls;
        subject.onKnowledge(peer, peerKnowledge(), now + 100ms);
    }
};

} // namespace

TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance that listed an older copy, peer ran before, takes what the store lost")
{
    listCopy();
    CHECK(port.published->routes().version == 4);
    hearPeer(10'000);
    REQUIRE(port.pulls.size() == 1);
    answerPull();
    CHECK(port.published->routes().version == 7);
    hearPeer(10'000);
    CHECK(port.pulls.size() == 1);
}

TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance that listed the store, peer started with it, is not asked")
{
    listCopy();
    hearPeer(59'800);
    CHECK(port.pulls.empty());
}

TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance with the knowledge of an earlier peer, same position, asks no more")
{
    hearPeer(10'000);
    REQUIRE(port.pulls.size() == 1);
    answerPull();
    hearPeer(10'000);
    CHECK(port.pulls.size() == 1);
}

// A list has the position of the whole store, so an earlier peer was not asked until the next
// change.
TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance that listed the store, earlier peer at an older change, is asked once")
{
    listCopy();
    hearPeer(10'000, 7);
    REQUIRE(port.pulls.size() == 1);
    CHECK(port.pulledSince == known_positions{});
    exported_knowledge older = peerKnowledge();
    older.positions = samples::positions(7, 2);
    ++port.answeredPulls;
    subject.onKnowledge(peer, older, now + 10ms);
    hearPeer(10'000, 7);
    CHECK(port.pulls.size() == 1);
    hearPeer(10'000, 8);
    CHECK(port.pulls.size() == 2);
}

// Changes of an earlier peer once counted as all that it knows, so the cold times of servers that
// had not changed were never asked for.
TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance that listed the store, earlier peer passed on changes, asks for all")
{
    listCopy();
    hearPeer(10'000, 9);
    REQUIRE(port.pulls.size() == 1);
    exported_knowledge changes;
    changes.since = port.pulledSince;
    changes.positions = samples::positions(9, 2);
    ++port.answeredPulls;
    subject.onKnowledge(peer, changes, now + 10ms);
    hearPeer(10'000, 9);
    REQUIRE(port.pulls.size() == 2);
    CHECK(port.pulledSince == known_positions{});
}

TEST_CASE_FIXTURE(started_instance_fixture,
                  "instance with complete knowledge, peer has changes, asks for these only")
{
    hearPeer(10'000);
    CHECK(port.pulledSince == known_positions{});
    answerPull();
    hearPeer(10'000, 9);
    subject.tick(now + 1s);
    CHECK(port.pulls.size() == 2);
    CHECK(port.pulledSince == samples::positions(8, 2));
}

TEST_CASE_FIXTURE(started_instance_fixture,
                  "source with a busy link, withholds the desired state, is asked again for it")
{
    hearPeer(10'000);
    answerPull();
    now += 1s;
    hearPeer(10'000, 9);
    subject.tick(now + 600ms);
    REQUIRE(port.pulls.size() == 2);
    exported_knowledge busy = peerKnowledge();
    busy.positions = samples::positions(9, 2);
    busy.desiredState.version = 8;
    busy.withholdDesiredState();
    ++port.answeredPulls;
    subject.onKnowledge(peer, busy, now + 610ms);
    CHECK(port.published->routes().version == 7);
    CHECK(subject.knowledge().positions()[1] == store_position{2, 9});
    subject.tick(now + 700ms);
    CHECK(port.pulls.size() == 2);
    subject.tick(now + 720ms);
    CHECK(port.pulls.size() == 3);
}

TEST_CASE("positions of a peer, encoded and decoded, are the same")
{
    known_positions positions = samples::positions(8, 2);
    positions[1] = {3, 1'234'567};
    CHECK(decodePositions(encodePositions(positions)) == positions);
    CHECK(decodePositions(encodePositions({})) == known_positions{});
    for (const char *text : {"", "1.2,3.4", "1.2,3.4,5.6,", "1.2,3.4,5.6,7.8", "1.2,3.4,x.6"}) {
        CHECK_FALSE(decodePositions(text));
    }
}

// A process that stops while the next one of the same name has started once replaced its report.
TEST_CASE_FIXTURE(started_instance_fixture,
                  "own load report, earlier process of the same name sends, stays")
{
    for (const bool isLeaving : {false, true}) {
        CAPTURE(isLeaving);
        now += 1s;
        subject.setLoads({}, {{11, 21, 8, 0, 0, 1, 40ms}}, now);
        peer_message message;
        message.sender = {"one", "a", peer, 10'000, 5, true, isLeaving};
        message.demands = {{11, 21, 100, 0, 0, 50, 40ms}};
        subject.onPeerMessage(message, now);
        subject.tick(now);
        REQUIRE(port.view.shared.demands.size() == 1);
        CHECK(port.view.shared.demands.front().demand.newFlows == 8);
    }
}

// Each entry of the own report above the limit of a heartbeat once counted as implausible.
TEST_CASE_FIXTURE(started_instance_fixture,
                  "own load report, more demands than a heartbeat has, is cut off without a count")
{
    std::vector<service_demand> demands;
    for (std::uint32_t tag = 1; tag <= MaxDemandsReported + 4; ++tag) {
        demands.push_back({tag, 21, 8, 0, 0, 1, 40ms});
    }
    subject.setLoads({}, demands, now);
    subject.tick(now + 1s);
    CHECK(port.view.shared.demands.size() == MaxDemandsReported);
    CHECK(subject.reports().ignoredEntries() == 0);
}

} // namespace ebonyway
