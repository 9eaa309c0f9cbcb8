#include "emulator/emulation_samples.h"
#include "emulator/random_events.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t SeedCount = 3;

/** Nine instances and 36 servers, which do 720 requests per second. */
struct load_fixture
{
    scenario plan;
    emulation_report sum; ///< Of all days.

    load_fixture()
    {
        plan.instancesPerDomain = 3;
        plan.callersPerDomain = 1'000;
        plan.length = 12s;
        scenario_service desk;
        desk.name = "desk";
        desk.servers = 36;
        desk.slots = 2;
        desk.work = 100ms;
        desk.workSpread = 0.5;
        plan.services = {desk};
        traffic_kind feed;
        feed.name = "feed";
        feed.service = "desk";
        feed.idempotent = true;
        feed.requestsPerFlow = 5;
        feed.pause = 200ms;
        feed.priority = 2;
        feed.goal = 500ms;
        traffic_kind order;
        order.name = "order";
        order.service = "desk";
        order.priority = 1;
        order.goal = 500ms;
        plan.traffic = {feed, order};
        setUtilization(0.33);
    }

    /** Each kind makes half of the load, which is the given share of the capacity. */
    void setUtilization(double share)
    {
        plan.traffic[0].rate = static_cast<std::uint32_t>(share * 72);
        plan.traffic[1].rate = static_cast<std::uint32_t>(share * 360);
    }

    void play()
    {
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            emulation day(plan, {seed, {}, nullptr});
            const emulation_report report = day.run();
            INFO("seed " << seed << ": " << samples::brokenRules(report));
            CHECK(report.broken.empty());
            sum.loadShed += report.loadShed;
            sum.rejectedByServers += report.rejectedByServers;
            add(sum.all, report.all);
            for (const auto &[name, counts] : report.byTraffic) {
                add(sum.byTraffic[name], counts);
            }
            for (const auto &[name, counts] : report.byDomain) {
                add(sum.byDomain[name], counts);
            }
            for (const auto &[name, waits] : report.waitsByTraffic) {
                sum.waitsByTraffic[name].add(waits);
            }
        }
    }

    static void add(outcome_counts &total, const outcome_counts &day)
    {
        total.inGoal += day.inGoal;
        total.late += day.late;
        total.failed += day.failed;
    }
};

} // namespace

// Guards against refusals that do not regard priorities, and against overload that nobody refuses.
TEST_CASE_FIXTURE(load_fixture, "overload, of two priorities, serves the urgent kind better")
{
    setUtilization(0.58);
    plan.events = {samples::event("burst", 3s, 5s, 1, 2.75)};
    play();
    CHECK(sum.loadShed > 0);
    CHECK(sum.byTraffic["order"].inGoalShare() > sum.byTraffic["feed"].inGoalShare());
    CHECK(sum.byTraffic["order"].servedShare() > sum.byTraffic["feed"].servedShare());
}

// Guards against callers that wait for the servers of their own domain while others have room.
TEST_CASE_FIXTURE(load_fixture, "surge, of one domain's callers, is shared by all domains")
{
    scenario_event surge = samples::event("burst", 3s, 6s, 1, 3);
    surge.failureDomain = "a";
    plan.events = {samples::event("server_drain", 2s, 1s, 11), surge};
    play();
    const double there = sum.byDomain["a"].inGoalShare();
    for (const char *other : {"b", "c"}) {
        INFO("callers of a " << there << ", of " << other << " "
                             << sum.byDomain[other].inGoalShare());
        CHECK(sum.byDomain[other].asked() < sum.byDomain["a"].asked());
        CHECK(there > sum.byDomain[other].inGoalShare() - 0.02);
    }
}

// Guards against a placement that does not regard how slow a server is.
TEST_CASE_FIXTURE(load_fixture, "slow third of the servers, at a raised load, makes few late")
{
    setUtilization(0.4);
    plan.events = {samples::event("server_slow", 2s, 8s, 12, 6),
                   samples::event("burst", 4s, 4s, 1, 1.6)};
    play();
    const double late = static_cast<double>(sum.all.late) / static_cast<double>(sum.all.asked());
    CHECK(late < 0.03);
}

// Guards against cold servers that get more than their rate while others are short of room.
TEST_CASE_FIXTURE(load_fixture, "cold servers, back while one kind doubles, get their cold rate")
{
    setUtilization(0.35);
    scenario_event doubled = samples::event("burst", 4s, 5s, 1, 2);
    doubled.traffic = "order";
    plan.events = {samples::event("server_crash", 2s, 3s, 16), doubled};
    play();
    CHECK(sum.all.asked() > 0);
}

// Guards against limits of a burst that reach other callers or other kinds.
TEST_CASE_FIXTURE(load_fixture, "burst, of one domain and one kind, changes no other load")
{
    play();
    const emulation_report calm = std::exchange(sum, {});
    scenario_event burst = samples::event("burst", 0s, 12s, 1, 2.5);
    burst.failureDomain = "b";
    burst.traffic = "order";
    plan.events = {burst};
    play();
    const auto ratio = [](const outcome_counts &now, const outcome_counts &before) {
        return static_cast<double>(now.asked()) / static_cast<double>(before.asked());
    };
    // Orders of b make 2.5 instead of 1 of 3 parts of the orders, which are half of all requests.
    CHECK(ratio(sum.byTraffic["order"], calm.byTraffic.at("order"))
          == doctest::Approx(1.5).epsilon(0.08));
    CHECK(ratio(sum.byTraffic["feed"], calm.byTraffic.at("feed"))
          == doctest::Approx(1).epsilon(0.08));
    CHECK(ratio(sum.byDomain["b"], calm.byDomain.at("b")) == doctest::Approx(1.75).epsilon(0.1));
    CHECK(ratio(sum.byDomain["a"], calm.byDomain.at("a")) == doctest::Approx(1).epsilon(0.1));
}

// Guards against work times whose mean changes with the spread, or that ignore a kind's own time.
TEST_CASE("work times, of a server with a spread, keep the mean of each kind")
{
    const endpoint usual = trafficAddress(0);
    const endpoint longer = trafficAddress(1);
    registered_server entry;
    entry.key = server_key{1};
    entry.slots = 1;
    emulated_server server(entry, {100ms, {{longer, 300ms}}, 0.5}, 7);
    for (const auto &[address, mean] : {std::pair{usual, 100.0}, std::pair{longer, 300.0}}) {
        double sum = 0;
        double squares = 0;
        constexpr int Requests = 4'000;
        for (int i = 1; i <= Requests; ++i) {
            caller_packet packet;
            packet.header.flow = {trafficAddress(2), address};
            packet.header.opens = true;
            server.onPacket(packet);
            packet.header.opens = false;
            packet.header.sequence = 1;
            packet.header.dataLength = 10;
            packet.requestEnd = 11;
            packet.chosen = entry.key;
            packet.attempt = attempt_id{static_cast<std::uint64_t>(i)};
            server.onPacket(packet);
            const auto started = server.startWork({});
            REQUIRE(started.size() == 1);
            const double time =
                    std::chrono::duration<double, std::milli>(started[0].length).count();
            sum += time;
            squares += time * time;
            server.finishWork(started[0].answer);
            packet.header.finishes = true;
            server.onPacket(packet);
        }
        const double average = sum / Requests;
        const double deviation = std::sqrt(squares / Requests - average * average);
        CHECK(average == doctest::Approx(mean).epsilon(0.03));
        CHECK(deviation / average == doctest::Approx(0.5).epsilon(0.1));
    }
}

// Guards against waits of which the slowest are lost.
TEST_CASE("wait times, of a hundred answers, give the median and the 99th of a hundred")
{
    wait_times waits;
    CHECK(waits.quantile(0.5) == 0ms);
    for (int i = 1; i <= 100; ++i) {
        waits.add(std::chrono::milliseconds(i));
    }
    CHECK(waits.quantile(0.5) == 50ms);
    CHECK(waits.quantile(0.99) == 99ms);
    CHECK(waits.quantile(1) == 100ms);
}

// Guards against a scenario that is played without the limit that its author misspelled.
TEST_CASE("burst, of a kind or domain that does not exist, is an error")
{
    Json::Value root;
    root["services"][0]["name"] = "desk";
    root["traffic"][0]["name"] = "order";
    root["traffic"][0]["service"] = "desk";
    Json::Value &burst = root["events"][0];
    burst["kind"] = "burst";
    burst["strength"] = 1.6;
    burst["traffic"] = "order";
    burst["failureDomain"] = "b";
    const result<scenario> read = readScenario("file", root);
    REQUIRE(isOk(read));
    CHECK(valueOf(read).events[0].strength == doctest::Approx(1.6));
    burst["traffic"] = "orders";
    CHECK(!isOk(readScenario("file", root)));
    burst["traffic"] = "order";
    burst["failureDomain"] = "d";
    CHECK(!isOk(readScenario("file", root)));
}

// Guards against a hunt that never plays limited bursts or many slow servers.
TEST_CASE_FIXTURE(load_fixture, "random events, of many seeds, include the variants")
{
    std::set<std::string> seen;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        for (const scenario_event &event : drawEvents(plan, 6, seed)) {
            if (event.kind == "server_slow" && event.count > 6) {
                seen.insert("many slow servers");
            }
            if (event.kind == "burst") {
                seen.insert(std::string("burst") + (event.failureDomain.empty() ? "" : " domain")
                            + (event.traffic.empty() ? "" : " traffic"));
            }
        }
    }
    CHECK(seen
          == std::set<std::string>{"burst", "burst domain", "burst domain traffic", "burst traffic",
                                   "many slow servers"});
}

} // namespace ebonyway
