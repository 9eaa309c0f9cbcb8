#include "forwarding/directory_samples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct directory_fixture
{
    directory_builder subject{{1'200ms}};
    time_point now{1'000s};

    directory_fixture()
    {
        subject.apply(store_kind::DesiredState, samples::object(samples::desiredState(5), 10), now);
        subject.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 11), now);
        subject.apply(store_kind::BackendServers, samples::object(samples::entry(2, "b"), 12), now);
    }

    server_availability availability(std::uint64_t key)
    {
        return subject.snapshot()->byToken(tokenOf(server_key{key}))->availability;
    }
    /** Lists the servers of an older copy of the store, in the era after the fixture's. */
    void listCopy(const std::vector<registered_server> &servers) { listCopy(subject, servers); }
    void listCopy(directory_builder &lister, const std::vector<registered_server> &servers)
    {
        std::set<std::string> names;
        for (const registered_server &server : servers) {
            store_object object = samples::object(server, 4);
            object.era = 1;
            names.insert(object.name);
            lister.apply(store_kind::BackendServers, object, now);
        }
        lister.retainListed(store_kind::BackendServers, names, {1, 8}, now);
        lister.advancePosition(store_kind::BackendServers, {1, 8});
    }

    /** Report of the server with key 1. */
    static registered_server report(std::uint64_t count, bool draining)
    {
        registered_server server = samples::entry(1, "a");
        server.reportCount = count;
        server.draining = draining;
        return server;
    }

    std::size_t candidates() { return subject.snapshot()->candidates("desk").size(); }
};

/** Backend servers of a service of their own whose keys have the same first token. */
struct shared_token_fixture : directory_fixture
{
    const std::pair<std::uint64_t, std::uint64_t> twins = samples::keysWithSameToken();
    const flow_token shared = tokenOf(server_key{twins.first});
    std::uint64_t revision = 20;

    void add(directory_builder &builder, std::uint64_t key, std::chrono::milliseconds startedAt)
    {
        registered_server server = samples::entry(key, "a", "twins");
        server.startedAt = startedAt;
        builder.apply(store_kind::BackendServers, samples::object(server, ++revision), now);
    }
};

/** Failure domain "a" is evacuated; servers are cold for 2 s and report every 1.2 s. */
struct evacuation_fixture : directory_fixture
{
    evacuation_fixture()
    {
        subject.apply(store_kind::Evacuations, {"a", 20, false, store_value(evacuation{"a"}), {}},
                      now);
    }

    void endEvacuation(std::uint64_t revision)
    {
        subject.apply(store_kind::Evacuations, {"a", revision, true, {}, {}}, now);
    }
    void reportAt(std::uint64_t revision, std::chrono::milliseconds cold)
    {
        registered_server server = samples::entry(1, "a");
        server.coldRemaining = cold;
        subject.apply(store_kind::BackendServers, samples::object(server, revision), now);
    }
    /** Lists the servers of the fixture, after the evacuation has ended. */
    void listAtStart(directory_builder &starting, std::uint64_t revision)
    {
        starting.apply(store_kind::DesiredState, samples::object(samples::desiredState(5), 10),
                       now);
        starting.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 11),
                       now);
        starting.apply(store_kind::BackendServers, samples::object(samples::entry(2, "b"), 12),
                       now);
        starting.retainListed(store_kind::BackendServers, {"i-1", "i-2"}, {0, revision}, now);
        starting.advancePosition(store_kind::BackendServers, {0, revision});
        starting.retainListed(store_kind::Evacuations, {}, {0, revision}, now);
        starting.advancePosition(store_kind::Evacuations, {0, revision});
    }
    bool isCold(duration after)
    {
        return subject.snapshot()->byKey(server_key{1})->coldUntil > now + after;
    }
};

} // namespace

TEST_CASE_FIXTURE(directory_fixture, "desired state, older version at a newer revision, is ignored")
{
    subject.apply(store_kind::DesiredState, samples::object(samples::desiredState(4), 20), now);
    CHECK(subject.desiredVersion() == 5);
    subject.apply(store_kind::DesiredState, samples::object(samples::desiredState(7), 21), now);
    CHECK(subject.desiredVersion() == 7);
}

TEST_CASE_FIXTURE(directory_fixture, "desired state, deleted, remains in effect")
{
    subject.apply(store_kind::DesiredState, {"main", 30, true, {}, {}}, now);
    CHECK(subject.snapshot()->routes().routes.size() == 2);
}

TEST_CASE_FIXTURE(directory_fixture, "server, older revision, changes nothing")
{
    registered_server draining = samples::entry(1, "a");
    draining.draining = true;
    subject.apply(store_kind::BackendServers, samples::object(draining, 20), now);
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 15), now);
    CHECK(availability(1) == server_availability::Draining);
}

TEST_CASE_FIXTURE(directory_fixture, "server entry, unreadable, removes only that server")
{
    subject.apply(store_kind::BackendServers, {"i-1", 20, false, {}, "slots is not a number"}, now);
    CHECK(availability(1) == server_availability::Departed);
    CHECK(availability(2) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture, "server, missing from a complete list, departs")
{
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {0, 30}, now);
    CHECK(availability(1) == server_availability::Departed);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "server, newer than the list, does not depart")
{
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(3, "a"), 40), now);
    subject.retainListed(store_kind::BackendServers, {"i-1", "i-2"}, {0, 30}, now);
    CHECK(availability(3) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "lapsed server, store just back, stays until it could register again")
{
    subject.onStoreRegained(now);
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {0, 30}, now);
    CHECK(availability(1) == server_availability::Usable);
    subject.expire(now + 1'900ms);
    CHECK(availability(1) == server_availability::Usable);
    subject.expire(now + 2'300ms);
    CHECK(availability(1) == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture, "lapsed server, registers again, stays usable")
{
    subject.onStoreRegained(now);
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {0, 30}, now);
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 31),
                  now + 1s);
    subject.expire(now + 3s);
    CHECK(availability(1) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture, "draining server, gone during an outage, departs at once")
{
    registered_server draining = samples::entry(1, "a");
    draining.draining = true;
    subject.apply(store_kind::BackendServers, samples::object(draining, 20), now);
    subject.onStoreRegained(now);
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {0, 30}, now);
    CHECK(availability(1) == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture, "departed server, after the maximum flow lifetime, is removed")
{
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 20), now);
    subject.expire(now + 61s);
    CHECK(subject.serverCount() == 2);
    subject.expire(now + 91s);
    CHECK(subject.serverCount() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "evacuation, until it ends, keeps new flows from the servers of the domain")
{
    subject.apply(store_kind::Evacuations, {"a", 20, false, store_value(evacuation{"a"}), {}}, now);
    CHECK(candidates() == 1);
    subject.apply(store_kind::Evacuations, {"a", 21, true, {}, {}}, now);
    CHECK(candidates() == 2);
    const auto known = subject.snapshot();
    CHECK(known->byToken(tokenOf(server_key{1}))->coldUntil > now + 3s);
    CHECK(known->byToken(tokenOf(server_key{2}))->coldUntil <= now);
}

TEST_CASE_FIXTURE(directory_fixture, "evacuation, missing from a complete list, has ended")
{
    subject.apply(store_kind::Evacuations, {"a", 20, false, store_value(evacuation{"a"}), {}}, now);
    subject.retainListed(store_kind::Evacuations, {}, {0, 30}, now);
    CHECK(candidates() == 2);
}

// Kinds are watched apart, so a report from before the end of an evacuation may arrive after it.
TEST_CASE_FIXTURE(evacuation_fixture, "evacuation over, older report arrives, server stays cold")
{
    endEvacuation(31);
    reportAt(30, 0ms);
    CHECK(isCold(3'700ms));
}

TEST_CASE_FIXTURE(evacuation_fixture, "evacuation over, server cold since, is cold as it reports")
{
    reportAt(40, 500ms);
    endEvacuation(31);
    CHECK(isCold(400ms));
    CHECK_FALSE(isCold(600ms));
}

// A list after a gap in the store's history repeats entries, whose cold times have partly passed.
TEST_CASE_FIXTURE(evacuation_fixture, "report of a cold server, listed again, makes it no colder")
{
    reportAt(40, 500ms);
    now += 400ms;
    reportAt(40, 500ms);
    CHECK(isCold(90ms));
    CHECK_FALSE(isCold(110ms));
}

TEST_CASE_FIXTURE(evacuation_fixture, "evacuation over, server first seen after it, is cold")
{
    endEvacuation(31);
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(3, "a"), 30), now);
    CHECK(subject.snapshot()->byKey(server_key{3})->coldUntil > now + 3'700ms);
}

TEST_CASE_FIXTURE(evacuation_fixture, "evacuation over, its start missed, server is cold")
{
    subject.apply(store_kind::Evacuations, {"b", 32, true, {}, {}}, now);
    CHECK(subject.snapshot()->byKey(server_key{2})->coldUntil > now + 3'700ms);
}

TEST_CASE_FIXTURE(evacuation_fixture,
                  "evacuation over, instance that starts, learns of cold servers")
{
    endEvacuation(31);
    subject.advancePosition(store_kind::BackendServers, {0, 35});
    directory_builder starting{{1'200ms}};
    starting.apply(store_kind::BackendServers, samples::object(samples::entry(1, "a"), 11), now);
    starting.retainListed(store_kind::BackendServers, {"i-1"}, {0, 35}, now);
    starting.advancePosition(store_kind::BackendServers, {0, 35});
    CHECK_FALSE(starting.integrate(subject.exportKnowledge(now), now).empty());
    CHECK(starting.snapshot()->byKey(server_key{1})->coldUntil > now + 3'700ms);
}

TEST_CASE_FIXTURE(evacuation_fixture,
                  "evacuation over, instance that listed a later position, learns of cold servers")
{
    endEvacuation(31);
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    subject.advancePosition(store_kind::Evacuations, {0, 31});
    directory_builder starting{{1'200ms}};
    listAtStart(starting, 35);
    CHECK_FALSE(starting.integrate(subject.exportKnowledge(now), now).empty());
    CHECK(starting.snapshot()->byKey(server_key{1})->coldUntil > now + 3'700ms);
    CHECK(starting.snapshot()->byKey(server_key{2})->coldUntil <= now);
}

TEST_CASE_FIXTURE(evacuation_fixture,
                  "evacuation not over at a peer, missing in a later list, has ended")
{
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    subject.advancePosition(store_kind::Evacuations, {0, 20});
    directory_builder starting{{1'200ms}};
    listAtStart(starting, 35);
    const auto changes = starting.integrate(subject.exportKnowledge(now), now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().event == "evacuation_ended");
    CHECK(starting.snapshot()->byKey(server_key{1})->coldUntil > now + 3'700ms);
    CHECK(starting.integrate(subject.exportKnowledge(now), now).empty());
}

// Two servers with one token: open flows of the earlier one once went to the one with the lower
// key.
TEST_CASE_FIXTURE(shared_token_fixture, "server starts, token of another one, takes no open flows")
{
    for (const auto &[earlier, later] : {twins, std::pair(twins.second, twins.first)}) {
        directory_builder builder{{1'200ms}};
        add(builder, earlier, 1s);
        CHECK(builder.snapshot()->byToken(shared)->entry.key.value == earlier);
        add(builder, later, 2s);
        const auto known = builder.snapshot();
        CHECK(known->byToken(shared)->entry.key.value == earlier);
        for (const std::uint64_t key : {earlier, later}) {
            const directory_server *server = known->byKey(server_key{key});
            CHECK(server->acceptsNewFlows());
            CHECK(server->token != shared);
            CHECK(known->byToken(server->token) == server);
        }
        CHECK(builder.takeTokenChanges().size() == 2);
    }
}

TEST_CASE_FIXTURE(shared_token_fixture, "shared token, other order of arrival, has the same owner")
{
    add(subject, twins.second, 2s);
    subject.snapshot();
    add(subject, twins.first, 1s);
    const auto known = subject.snapshot();
    CHECK(known->byToken(shared)->entry.key.value == twins.first);
    CHECK(known->byToken(tokensOf(server_key{twins.second})[1])->entry.key.value == twins.second);
}

TEST_CASE_FIXTURE(shared_token_fixture,
                  "owner of a shared token, departed and forgotten, the other keeps its own")
{
    add(subject, twins.first, 1s);
    add(subject, twins.second, 2s);
    const flow_token own = subject.snapshot()->byKey(server_key{twins.second})->token;
    subject.apply(store_kind::BackendServers, samples::deletedServer(twins.first, ++revision), now);
    CHECK(subject.snapshot()->byToken(shared)->entry.key.value == twins.first);
    subject.expire(now + 91s);
    const auto known = subject.snapshot();
    CHECK(known->byKey(server_key{twins.first}) == nullptr);
    CHECK(known->byKey(server_key{twins.second})->token == own);
    CHECK(known->byToken(own)->entry.key.value == twins.second);
}

TEST_CASE_FIXTURE(shared_token_fixture,
                  "owner of a shared token, departed, an instance that starts learns of it")
{
    add(subject, twins.first, 1s);
    add(subject, twins.second, 2s);
    subject.apply(store_kind::BackendServers, samples::deletedServer(twins.first, ++revision), now);
    subject.advancePosition(store_kind::BackendServers, {0, revision});
    subject.snapshot();
    directory_builder starting{{1'200ms}};
    registered_server listed = samples::entry(twins.second, "a", "twins");
    listed.startedAt = 2s;
    starting.apply(store_kind::BackendServers, samples::object(listed, revision - 1), now);
    starting.retainListed(store_kind::BackendServers, {samples::serverName(twins.second)},
                          {0, revision}, now);
    starting.advancePosition(store_kind::BackendServers, {0, revision});
    CHECK_FALSE(starting.integrate(subject.exportKnowledge(now), now).empty());
    const auto known = starting.snapshot();
    CHECK(known->byToken(shared)->entry.key.value == twins.first);
    CHECK(known->byKey(server_key{twins.second})->token != shared);
    CHECK(known->candidates("twins").size() == 1);
}

TEST_CASE_FIXTURE(shared_token_fixture,
                  "owner of a shared token, restarts, the other keeps its own")
{
    add(subject, twins.first, 1s);
    add(subject, twins.second, 2s);
    const flow_token own = subject.snapshot()->byKey(server_key{twins.second})->token;
    add(subject, twins.first, 3s);
    const auto known = subject.snapshot();
    CHECK(known->byToken(own)->entry.key.value == twins.second);
    CHECK(known->byKey(server_key{twins.first})->token != shared);
}

// An entry of another writer may spell the id of a server in another way.
TEST_CASE_FIXTURE(shared_token_fixture, "two entries, same key, only the earlier server gets flows")
{
    add(subject, twins.first, 1s);
    registered_server copy = samples::entry(twins.first, "b", "twins");
    copy.startedAt = 2s;
    copy.address = samples::address(0x0a900001, 8080);
    store_object other = samples::object(copy, ++revision);
    other.name = "j" + other.name;
    subject.apply(store_kind::BackendServers, other, now);
    const auto known = subject.snapshot();
    REQUIRE(known->candidates("twins").size() == 1);
    CHECK(known->servers()[known->candidates("twins").front()].entry.failureDomain == "a");
    CHECK(known->byToken(shared)->entry.failureDomain == "a");
}

TEST_CASE_FIXTURE(directory_fixture, "peer knowledge, newer, adds, changes and removes objects")
{
    directory_builder peer{{}};
    peer.apply(store_kind::DesiredState, samples::object(samples::desiredState(6), 40), now);
    registered_server draining = samples::entry(2, "b");
    draining.draining = true;
    peer.apply(store_kind::BackendServers, samples::object(draining, 41), now);
    peer.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 42), now);
    peer.apply(store_kind::Evacuations, {"a", 43, false, {}, {}}, now);
    for (const store_kind kind : AllStoreKinds) {
        peer.advancePosition(kind, {0, 45});
    }
    subject.integrate(peer.exportKnowledge(now), now);
    CHECK(subject.desiredVersion() == 6);
    CHECK(availability(1) == server_availability::Departed);
    CHECK(availability(2) == server_availability::Draining);
    CHECK(availability(3) == server_availability::Usable);
    CHECK(subject.positions() == samples::positions(45));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "lapsed server, known from a peer only, departs when it does not register again")
{
    directory_builder peer{{1'200ms}};
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    peer.integrate(subject.exportKnowledge(now), now);
    subject.onStoreRegained(now);
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {0, 30}, now);
    subject.advancePosition(store_kind::BackendServers, {0, 30});
    const time_point later = now + 1s;
    peer.integrate(subject.exportKnowledge(later), later);
    const auto availabilityAtPeer = [&] {
        return peer.snapshot()->byToken(tokenOf(server_key{1}))->availability;
    };
    peer.expire(now + 1'900ms);
    CHECK(availabilityAtPeer() == server_availability::Usable);
    peer.expire(now + 2'300ms);
    CHECK(availabilityAtPeer() == server_availability::Departed);
}

TEST_CASE_FIXTURE(
        directory_fixture,
        "server that lapsed, in an older copy, is used again by instances without a watch")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, false), 20), now);
    directory_builder peer{{1'200ms}};
    subject.advancePosition(store_kind::BackendServers, {0, 20});
    peer.integrate(subject.exportKnowledge(now), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(9, false), samples::entry(2, "b")});
    directory_builder starting{{1'200ms}};
    for (directory_builder *other : {&peer, &starting}) {
        other->integrate(subject.exportKnowledge(now + 1s), now + 1s);
        other->expire(now + 5'900ms);
        CHECK(other->snapshot()->candidates("desk").size() == 1);
        other->expire(now + 6'100ms);
        CHECK(other->snapshot()->candidates("desk").size() == 2);
    }
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that left, in an older copy that a peer still has, is not used again")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, false), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(9, false), samples::entry(2, "b")});
    directory_builder peer{{1'200ms}};
    peer.integrate(subject.exportKnowledge(now), now);
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {1, 12}, now + 2s);
    subject.advancePosition(store_kind::BackendServers, {1, 12});
    subject.integrate(peer.exportKnowledge(now + 2s), now + 2s);
    subject.expire(now + 10s);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "instance started after the store's return, peer's later reports, are taken over")
{
    subject.apply(store_kind::DesiredState, samples::object(samples::desiredState(7), 19), now);
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 20), now);
    directory_builder starting{{1'200ms}};
    for (directory_builder *each : {&subject, &starting}) {
        store_object copied = samples::object(samples::desiredState(4), 3);
        copied.era = 1;
        each->apply(store_kind::DesiredState, copied, now);
        each->advancePosition(store_kind::DesiredState, {1, 8});
        listCopy(*each, {report(5, false), samples::entry(2, "b")});
    }
    starting.integrate(subject.exportKnowledge(now), now);
    CHECK(starting.desiredVersion() == 7);
    CHECK(starting.snapshot()->byToken(tokenOf(server_key{1}))->availability
          == server_availability::Draining);
    CHECK(starting.snapshot()->candidates("desk").size() == 1);
    starting.expire(now + 7s);
    CHECK(starting.snapshot()->candidates("desk").size() == 2);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "instance started after the store's return, server gone, is not used")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    directory_builder starting{{1'200ms}};
    for (directory_builder *each : {&subject, &starting}) {
        listCopy(*each, {report(5, false), samples::entry(2, "b")});
    }
    starting.integrate(subject.exportKnowledge(now), now);
    starting.apply(store_kind::DesiredState, samples::object(samples::desiredState(5), 10), now);
    CHECK(starting.snapshot()->candidates("desk").size() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "peer knowledge, same position and newer count, changes nothing")
{
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    directory_builder peer{{1'200ms}};
    registered_server counted = samples::entry(1, "a");
    counted.reportCount = 4;
    peer.apply(store_kind::BackendServers, samples::object(counted, 11), now);
    peer.advancePosition(store_kind::BackendServers, {0, 12});
    CHECK(subject.integrate(peer.exportKnowledge(now), now).empty());
}

TEST_CASE_FIXTURE(directory_fixture, "peer knowledge, older, changes nothing")
{
    directory_builder peer{{}};
    peer.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 9), now);
    peer.advancePosition(store_kind::BackendServers, {0, 9});
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    CHECK(subject.integrate(peer.exportKnowledge(now), now).empty());
    CHECK(availability(1) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "cold server, sent to a peer later, is cold for the remaining time only")
{
    registered_server cold = samples::entry(1, "a");
    cold.coldRemaining = 2'000ms;
    subject.apply(store_kind::BackendServers, samples::object(cold, 20), now);
    const exported_knowledge exported = subject.exportKnowledge(now + 1'500ms);
    REQUIRE(exported.servers.size() == 2);
    CHECK(exported.servers.front().server.coldRemaining == 500ms);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "starting instance, store unreachable, gets complete knowledge from a peer")
{
    for (const store_kind kind : AllStoreKinds) {
        subject.advancePosition(kind, {0, 12});
    }
    directory_builder starting{{}};
    starting.integrate(subject.exportKnowledge(now), now);
    CHECK(starting.isComplete());
    CHECK(starting.snapshot()->candidates("desk").size() == 2);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "own domain evacuated, others unreachable, leaves no reachable server")
{
    // Guards against an instance that stays ready without any reachable server. Callers waited at
    // such instances while instances in other domains could have served them.
    CHECK(canServe(*subject.snapshot(), {"b"}));
    subject.apply(store_kind::Evacuations, {"a", 20, false, {}, {}}, now);
    CHECK(canServe(*subject.snapshot(), {}));
    CHECK_FALSE(canServe(*subject.snapshot(), {"b"}));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "knowledge for a peer, one server drains and one left, holds only the changes")
{
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 13), now);
    for (const store_kind kind : AllStoreKinds) {
        subject.advancePosition(kind, {0, 13});
    }
    directory_builder peer{{1'200ms}};
    peer.integrate(subject.exportKnowledge(now), now);
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 14), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(2, 15), now);
    subject.advancePosition(store_kind::BackendServers, {0, 15});
    const exported_knowledge changes = subject.exportKnowledge(now, peer.positions());
    CHECK_FALSE(changes.hasDesiredState);
    CHECK(changes.servers.size() == 2);
    peer.integrate(changes, now);
    const auto availabilityAtPeer = [&](std::uint64_t key) {
        return peer.snapshot()->byToken(tokenOf(server_key{key}))->availability;
    };
    CHECK(availabilityAtPeer(1) == server_availability::Draining);
    CHECK(availabilityAtPeer(2) == server_availability::Departed);
    CHECK(availabilityAtPeer(3) == server_availability::Usable);
    CHECK(peer.positions() == subject.positions());
    CHECK(peer.desiredVersion() == 5);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "knowledge for a peer, later list without changes, brings it to that position")
{
    for (const store_kind kind : AllStoreKinds) {
        subject.advancePosition(kind, {0, 13});
    }
    directory_builder peer{{1'200ms}};
    peer.integrate(subject.exportKnowledge(now), now);
    for (const store_kind kind : AllStoreKinds) {
        subject.advancePosition(kind, {0, 20});
    }
    CHECK(peer.integrate(subject.exportKnowledge(now, peer.positions()), now).empty());
    CHECK(peer.positions() == subject.positions());
    CHECK(peer.snapshot()->candidates("desk").size() == 2);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "knowledge for a peer, changes since its position forgotten, is complete")
{
    subject.apply(store_kind::BackendServers, samples::deletedServer(2, 15), now);
    subject.advancePosition(store_kind::BackendServers, {0, 15});
    subject.expire(now + 91s);
    directory_builder peer{{1'200ms}};
    peer.apply(store_kind::BackendServers, samples::object(samples::entry(2, "b"), 12), now);
    peer.advancePosition(store_kind::BackendServers, {0, 13});
    peer.integrate(subject.exportKnowledge(now + 91s, peer.positions()), now + 91s);
    CHECK(peer.snapshot()->byToken(tokenOf(server_key{2}))->availability
          == server_availability::Departed);
    CHECK(peer.snapshot()->byToken(tokenOf(server_key{1}))->availability
          == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "knowledge for a peer of an earlier era, higher revision, is complete")
{
    listCopy({samples::entry(1, "a"), samples::entry(2, "b")});
    directory_builder peer{{1'200ms}};
    peer.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 39), now);
    peer.advancePosition(store_kind::BackendServers, {0, 40});
    peer.integrate(subject.exportKnowledge(now, peer.positions()), now);
    peer.expire(now + 3s);
    CHECK(peer.serverCount() == 3);
    CHECK(peer.snapshot()->byToken(tokenOf(server_key{3}))->availability
          == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "changes since a position, receiver does not stand there, are not applied")
{
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    directory_builder other{{1'200ms}};
    other.integrate(subject.exportKnowledge(now), now);
    subject.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 14), now);
    subject.advancePosition(store_kind::BackendServers, {0, 14});
    const exported_knowledge changes = subject.exportKnowledge(now, other.positions());
    directory_builder behind{{1'200ms}};
    behind.advancePosition(store_kind::BackendServers, {0, 5});
    behind.integrate(changes, now);
    CHECK(behind.positions()[1] == store_position{0, 5});
}

TEST_CASE_FIXTURE(directory_fixture,
                  "draining server, ready in an older copy of the store, stays draining")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 20), now);
    listCopy({report(5, false), samples::entry(2, "b")});
    CHECK(availability(1) == server_availability::Draining);
    CHECK(subject.positions()[1] == store_position{1, 8});
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that left, present in an older copy of the store, is not used again")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(5, false), samples::entry(2, "b")});
    CHECK(availability(1) == server_availability::Departed);
    store_object gone = samples::deletedServer(1, 9);
    gone.era = 1;
    subject.apply(store_kind::BackendServers, gone, now + 2s);
    subject.expire(now + 10s);
    CHECK(availability(1) == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that left, only in the first list of an older copy, is not used again")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, true), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(5, false), samples::entry(2, "b")});
    subject.retainListed(store_kind::BackendServers, {"i-2"}, {1, 12}, now + 2s);
    subject.expire(now + 10s);
    CHECK(availability(1) == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that left, reports again after the store's return, is used again")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, false), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(5, false), samples::entry(2, "b")});
    store_object again = samples::object(report(10, false), 9);
    again.era = 1;
    subject.apply(store_kind::BackendServers, again, now);
    CHECK(availability(1) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that lapsed, in the store for longer than an entry lasts, is used again")
{
    subject.apply(store_kind::BackendServers, samples::object(report(9, false), 20), now);
    subject.apply(store_kind::BackendServers, samples::deletedServer(1, 21), now);
    listCopy({report(5, false), samples::entry(2, "b")});
    subject.expire(now + 3'600ms);
    CHECK(availability(1) == server_availability::Departed);
    subject.expire(now + 7s);
    CHECK(availability(1) == server_availability::Usable);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that the store lost, no report within the grace period, departs")
{
    subject.advancePosition(store_kind::BackendServers, {0, 12});
    listCopy({samples::entry(2, "b")});
    CHECK(availability(1) == server_availability::Usable);
    subject.expire(now + 2'300ms);
    CHECK(availability(1) == server_availability::Departed);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "evacuation that the store lost, written again or not, holds until then")
{
    for (const char *domain : {"a", "b"}) {
        subject.apply(store_kind::Evacuations, {domain, 20, false, evacuation{domain}, {}}, now);
    }
    subject.advancePosition(store_kind::Evacuations, {0, 20});
    subject.retainListed(store_kind::Evacuations, {}, {1, 8}, now);
    CHECK(candidates() == 0);
    subject.apply(store_kind::Evacuations, {"a", 9, false, evacuation{"a"}, {}, 1}, now);
    subject.expire(now + 2'300ms);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "desired state, older in the copy of the store, is not taken back")
{
    store_object older = samples::object(samples::desiredState(4), 8);
    older.era = 1;
    subject.apply(store_kind::DesiredState, older, now);
    CHECK(subject.desiredVersion() == 5);
    store_object next = samples::object(samples::desiredState(6), 9);
    next.era = 1;
    subject.apply(store_kind::DesiredState, next, now);
    CHECK(subject.desiredVersion() == 6);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "peer knowledge of an earlier era, at higher revisions, changes nothing")
{
    directory_builder peer{{}};
    peer.apply(store_kind::BackendServers, samples::object(samples::entry(3, "b"), 90), now);
    peer.advancePosition(store_kind::BackendServers, {0, 90});
    subject.advancePosition(store_kind::BackendServers, {1, 8});
    CHECK(subject.integrate(peer.exportKnowledge(now), now).empty());
    CHECK(subject.serverCount() == 2);
}

} // namespace ebonyway
