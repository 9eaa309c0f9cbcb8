#include "forwarding/directory_samples.h"
#include "forwarding/process/load_reports.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Service = 11;
constexpr std::uint32_t Route = 21;

service_demand demandOf(double newFlows, std::uint32_t service = Service)
{
    return {service, Route, newFlows, newFlows / 4, 0, newFlows / 10, 40ms};
}

peer_server_load loadOf(std::uint64_t key, double underWay)
{
    return {server_key{key}, 4, 0, 0ms, underWay, 50ms};
}

double sumOfNewFlows(const shared_load &shared, const std::string &domain = {})
{
    double sum = 0;
    for (const domain_demand &one : shared.demands) {
        if (domain.empty() || one.failureDomain == domain) {
            sum += one.demand.newFlows;
        }
    }
    return sum;
}

struct load_reports_fixture
{
    load_reports subject{"self"};
    time_point now{1'000s};
    std::map<std::string, std::size_t> instances{{"a", 3}, {"b", 1}};
    std::uint64_t nextHeartbeat = 1;

    peer_entry sender(const std::string &name, const std::string &domain = "a")
    {
        peer_entry entry;
        entry.name = name;
        entry.failureDomain = domain;
        entry.boot = 1'000;
        entry.heartbeat = nextHeartbeat++;
        return entry;
    }
    void report(const std::string &name, const std::string &domain, double newFlows)
    {
        subject.add(sender(name, domain), {loadOf(1, 2)}, {demandOf(newFlows)}, now);
    }
    shared_load estimate() { return subject.estimate(instances, now); }
};

/**
 * A deployment in three domains under uniform load. One instance receives the reports of random
 * others, of which some are lost, late or repeated.
 */
struct simulated_deployment
{
    struct instance
    {
        peer_entry entry;
        service_demand demand;
        double underWay = 0; ///< At the only server.
    };

    seeded_random random;
    load_reports subject{"i-0"};
    std::map<std::string, instance> members;
    std::multimap<time_point, std::pair<peer_entry, instance>> inFlight;
    std::map<std::string, instance> gone; ///< Instances that may come back with a later start.
    time_point now{1'000s};
    std::uint32_t created = 0;
    std::uint64_t boots = 1'000;

    simulated_deployment(std::size_t size, std::uint64_t seed)
        : random(seed)
    {
        while (members.size() < size) {
            join();
        }
    }

    void join()
    {
        instance made;
        made.entry.name = "i-" + std::to_string(created);
        made.entry.failureDomain = std::string(1, static_cast<char>('a' + created % 3));
        made.entry.boot = ++boots;
        made.demand = demandOf(10 * (0.8 + 0.4 * random.unit()));
        made.underWay = 0.8 + 0.4 * random.unit();
        members[made.entry.name] = made;
        ++created;
    }
    void comeBack()
    {
        if (gone.empty()) {
            return;
        }
        auto back = gone.extract(gone.begin());
        back.mapped().entry.boot = ++boots;
        back.mapped().entry.heartbeat = 0;
        members.insert(std::move(back));
    }
    /** Ends a random instance other than the observing one. */
    void end(bool announced)
    {
        auto at = std::next(members.begin(),
                            static_cast<std::ptrdiff_t>(1 + random.below(members.size() - 1)));
        if (announced) {
            peer_entry entry = at->second.entry;
            ++entry.heartbeat;
            entry.isLeaving = true;
            subject.remove(entry, now);
        }
        gone.insert(*at);
        members.erase(at);
    }
    std::map<std::string, std::size_t> counts() const
    {
        std::map<std::string, std::size_t> counts;
        for (const auto &[name, one] : members) {
            ++counts[one.entry.failureDomain];
        }
        return counts;
    }

    /** Advances by one heartbeat interval. */
    void advance()
    {
        now += 250ms;
        const auto sizes = counts();
        for (auto &[name, one] : members) {
            ++one.entry.heartbeat;
            const double size = static_cast<double>(sizes.at(one.entry.failureDomain));
            const bool isSent = name == "i-0" || members.size() <= 16 || random.unit() < 2 / size;
            const bool isLost = name != "i-0" && random.unit() < 0.1;
            if (!isSent || isLost) {
                continue;
            }
            const duration delay = random.unit() < 0.1
                                           ? std::chrono::milliseconds(random.below(600))
                                           : duration::zero();
            inFlight.insert({now + delay, {one.entry, one}});
            if (random.unit() < 0.1) {
                inFlight.insert(
                        {now + std::chrono::milliseconds(random.below(600)), {one.entry, one}});
            }
        }
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            const auto &[entry, one] = inFlight.begin()->second;
            subject.add(entry, {loadOf(7, one.underWay)}, {one.demand}, now);
            inFlight.erase(inFlight.begin());
        }
    }

    double trueNewFlows(const std::string &domain) const
    {
        double sum = 0;
        for (const auto &[name, one] : members) {
            sum += one.entry.failureDomain == domain ? one.demand.newFlows : 0;
        }
        return sum;
    }
    double trueUnderWay() const
    {
        double sum = 0;
        for (const auto &[name, one] : members) {
            sum += name == "i-0" ? 0 : one.underWay;
        }
        return sum;
    }
    /** Returns the largest relative errors of a domain's demand and of the use of the server. */
    std::pair<double, double> errors()
    {
        const shared_load shared = subject.estimate(counts(), now);
        double demandError = 0;
        for (const std::string domain : {"a", "b", "c"}) {
            const double expected = trueNewFlows(domain);
            demandError =
                    std::max(demandError, std::abs(sumOfNewFlows(shared, domain) / expected - 1));
        }
        const double used = shared.servers.empty() ? 0 : shared.servers.front().underWay;
        return {demandError, std::abs(used / trueUnderWay() - 1)};
    }
};

} // namespace

// The sums decide on load shedding: an estimate that is too large refuses flows with room.
TEST_CASE("estimate, 8, 88 and 300 instances with random reporters, is within 25% of the sums")
{
    for (const std::size_t size : {std::size_t{8}, std::size_t{88}, std::size_t{300}}) {
        double worstDemand = 0;
        double worstUse = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            simulated_deployment deployment(size, seed);
            for (int round = 0; round < 60; ++round) {
                deployment.advance();
                if (round < 8) {
                    continue;
                }
                const auto [demandError, useError] = deployment.errors();
                CHECK(demandError < 0.25);
                CHECK(useError < 0.25);
                worstDemand = std::max(worstDemand, demandError);
                worstUse = std::max(worstUse, useError);
            }
        }
        MESSAGE(size, " instances: largest error of a domain's demand ", worstDemand,
                ", of a server's use ", worstUse);
    }
}

// Reports of instances that have left, delivered late, once counted again as reports of live ones.
TEST_CASE("estimate, instances join, leave and come back in any order, is right 2 s after the last")
{
    for (const std::size_t size : {std::size_t{8}, std::size_t{88}}) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            simulated_deployment deployment(size, seed);
            for (int change = 0; change < 20; ++change) {
                const std::uint64_t kind = deployment.random.below(4);
                if (kind == 0) {
                    deployment.join();
                } else if (kind == 1) {
                    deployment.comeBack();
                } else if (deployment.members.size() > size - 2) {
                    deployment.end(kind == 2);
                }
                deployment.advance();
            }
            for (int round = 0; round < 9; ++round) {
                deployment.advance();
            }
            const auto [demandError, useError] = deployment.errors();
            CHECK(demandError < 0.25);
            CHECK(useError < 0.25);
        }
    }
}

TEST_CASE_FIXTURE(load_reports_fixture, "estimate, all instances report, is the sum of each domain")
{
    report("self", "a", 8);
    report("one", "a", 12);
    report("two", "a", 16);
    report("three", "b", 20);
    const shared_load shared = estimate();
    CHECK(sumOfNewFlows(shared, "a") == doctest::Approx(36));
    CHECK(sumOfNewFlows(shared, "b") == doctest::Approx(20));
    CHECK(shared.reporters == 3);
    REQUIRE(shared.servers.size() == 1);
    CHECK(shared.servers.front().underWay == doctest::Approx(6));
    CHECK(shared.servers.front().flows == doctest::Approx(12));
    CHECK(shared.servers.front().answerTime == 50ms);
    CHECK(shared.servers.front().answerReporters == 3);
}

TEST_CASE_FIXTURE(load_reports_fixture, "estimate, a third of a domain reports, is scaled")
{
    report("one", "a", 12);
    report("three", "b", 20);
    CHECK(sumOfNewFlows(estimate(), "a") == doctest::Approx(36));
    CHECK(sumOfNewFlows(estimate(), "b") == doctest::Approx(20));
}

// In a rolling update, instances of the previous version once counted as ones without demand, and
// the sums were too small.
TEST_CASE_FIXTURE(load_reports_fixture, "estimate, some instances do not measure demand, is scaled")
{
    report("self", "a", 12);
    report("one", "a", 12);
    subject.addLoads(sender("two"), {loadOf(1, 2)}, now);
    const shared_load shared = estimate();
    CHECK(sumOfNewFlows(shared, "a") == doctest::Approx(36));
    CHECK(shared.reporters == 2);
    REQUIRE(shared.servers.size() == 1);
    CHECK(shared.servers.front().underWay == doctest::Approx(4));
}

// The use by others was scaled as if this instance were one of the others, so it was too small.
TEST_CASE_FIXTURE(load_reports_fixture, "use of a server, one of two others reports, is doubled")
{
    report("self", "a", 12);
    report("one", "a", 12);
    REQUIRE(estimate().servers.size() == 1);
    CHECK(estimate().servers.front().underWay == doctest::Approx(4));
}

TEST_CASE_FIXTURE(load_reports_fixture, "estimate, only the own report, stands for the own domain")
{
    report("self", "a", 12);
    const shared_load shared = estimate();
    CHECK(sumOfNewFlows(shared) == doctest::Approx(36));
    CHECK(shared.servers.empty());
    CHECK(shared.reporters == 0);
}

TEST_CASE_FIXTURE(load_reports_fixture, "work time, several reporters, is weighted by requests")
{
    service_demand quick = demandOf(30);
    quick.workTime = 20ms;
    service_demand slow = demandOf(10);
    slow.workTime = 60ms;
    service_demand unknown = demandOf(1'000);
    unknown.workTime = 0ms;
    subject.add(sender("one"), {}, {quick}, now);
    subject.add(sender("two"), {}, {slow}, now);
    subject.add(sender("self"), {}, {unknown}, now);
    const shared_load shared = estimate();
    REQUIRE(shared.demands.size() == 1);
    CHECK(std::chrono::abs(shared.demands.front().demand.workTime - 30ms) < 1us);
}

TEST_CASE_FIXTURE(load_reports_fixture, "report, silent sender, counts 1 s for demands, 2 s in all")
{
    report("one", "a", 12);
    now += 1s;
    CHECK(sumOfNewFlows(estimate()) > 0);
    now += 1ms;
    CHECK(estimate().demands.empty());
    CHECK(estimate().servers.size() == 1);
    now += 999ms;
    CHECK(estimate().reporters == 1);
    now += 1ms;
    CHECK(estimate().servers.empty());
    CHECK(estimate().reporters == 0);
}

TEST_CASE_FIXTURE(load_reports_fixture, "report, sender leaves, drops out at once")
{
    report("one", "a", 12);
    report("three", "b", 20);
    subject.remove(sender("one"), now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(20));
    CHECK(estimate().reporters == 1);
}

// Datagrams arrive in any order. A late report once brought a left instance back for 2 s.
TEST_CASE_FIXTURE(load_reports_fixture, "late report, sender has left, is ignored")
{
    report("three", "b", 20);
    const peer_entry late = sender("one");
    subject.remove(sender("one"), now);
    subject.add(late, {loadOf(1, 2)}, {demandOf(12)}, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(20));
    CHECK(estimate().reporters == 1);
}

// An instance that starts again under the same name once lost its report to the old process's end.
TEST_CASE_FIXTURE(load_reports_fixture, "late leave, sender has started again, is ignored")
{
    const peer_entry leaving = sender("three", "b");
    peer_entry restarted = leaving;
    restarted.boot = 2'000;
    restarted.heartbeat = 1;
    subject.add(restarted, {}, {demandOf(20)}, now);
    subject.remove(leaving, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(20));
}

TEST_CASE_FIXTURE(load_reports_fixture, "report, sender has left and starts again, counts")
{
    subject.remove(sender("one"), now);
    peer_entry restarted = sender("one");
    restarted.boot = 2'000;
    restarted.heartbeat = 1;
    subject.add(restarted, {}, {demandOf(12)}, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(36));
}

// An older report once replaced a newer one, and a repeated one extended its lifetime.
TEST_CASE_FIXTURE(load_reports_fixture, "late or repeated report, newer one known, is ignored")
{
    const peer_entry older = sender("three", "b");
    const peer_entry newer = sender("three", "b");
    subject.add(newer, {}, {demandOf(20)}, now);
    subject.add(older, {}, {demandOf(5)}, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(20));
    now += 800ms;
    subject.add(newer, {}, {demandOf(20)}, now);
    now += 300ms;
    CHECK(estimate().demands.empty());
}

// The wall clock of an instance may go back at a restart.
TEST_CASE_FIXTURE(load_reports_fixture, "report, restarted with an earlier clock, counts after 2 s")
{
    report("three", "b", 20);
    peer_entry restarted = sender("three", "b");
    restarted.boot = 500;
    for (int round = 0; round < 10; ++round) {
        now += 250ms;
        ++restarted.heartbeat;
        subject.add(restarted, {}, {demandOf(5)}, now);
        estimate();
    }
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(5));
}

// The own figures change more often than heartbeats are sent.
TEST_CASE_FIXTURE(load_reports_fixture, "own report, same heartbeat number, replaces the last one")
{
    const peer_entry self = sender("self");
    subject.add(self, {}, {demandOf(4)}, now);
    subject.add(self, {}, {demandOf(8)}, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(24));
}

// One wrong figure in a sum would decide the placement and admission of all instances.
TEST_CASE_FIXTURE(load_reports_fixture, "implausible figures, reported, are counted and not summed")
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinite = std::numeric_limits<double>::infinity();
    std::vector<service_demand> demands{demandOf(20)};
    std::uint32_t tag = 100;
    for (double service_demand::*figure :
         {&service_demand::newFlows, &service_demand::laterRequests, &service_demand::refused,
          &service_demand::underWay}) {
        for (const double wrong : {nan, -1.0, infinite, -infinite}) {
            demands.push_back(demandOf(20, ++tag));
            demands.back().*figure = wrong;
        }
    }
    for (const duration wrong : {duration(-1ns), duration(60'001ms)}) {
        demands.push_back(demandOf(20, ++tag));
        demands.back().workTime = wrong;
    }
    std::vector<peer_server_load> loads{loadOf(1, 2)};
    for (const double wrong : {nan, -1.0, infinite}) {
        loads.push_back(loadOf(loads.size() + 1, wrong));
    }
    for (const duration wrong : {duration(-1ns), duration(60'001ms)}) {
        loads.push_back(loadOf(loads.size() + 1, 2));
        loads.back().answerTime = wrong;
    }
    subject.add(sender("three", "b"), loads, demands, now);
    const shared_load shared = estimate();
    REQUIRE(shared.demands.size() == 1);
    CHECK(shared.demands.front().demand.newFlows == doctest::Approx(20));
    CHECK(shared.demands.front().demand.service == Service);
    REQUIRE(shared.servers.size() == 1);
    CHECK(shared.servers.front().server == server_key{1});
    CHECK(subject.ignoredEntries() == 18 + 5);
}

TEST_CASE_FIXTURE(load_reports_fixture, "answer time of a minute, reported, is still counted")
{
    service_demand slow = demandOf(20);
    slow.workTime = 1min;
    subject.add(sender("three", "b"), {}, {slow}, now);
    CHECK(estimate().demands.size() == 1);
    CHECK(subject.ignoredEntries() == 0);
}

TEST_CASE_FIXTURE(load_reports_fixture, "repeated keys, in one report, count once")
{
    service_demand otherRoute = demandOf(7);
    otherRoute.route = Route + 1;
    subject.add(sender("three", "b"), {loadOf(1, 2), loadOf(1, 9)},
                {demandOf(20), demandOf(90), otherRoute}, now);
    CHECK(sumOfNewFlows(estimate()) == doctest::Approx(27));
    CHECK(estimate().servers.front().underWay == doctest::Approx(2));
    CHECK(subject.ignoredEntries() == 2);
}

TEST_CASE_FIXTURE(load_reports_fixture, "demands above the limit, in one report, are ignored")
{
    std::vector<service_demand> demands;
    for (std::uint32_t index = 0; index < MaxDemandsReported + 5; ++index) {
        demands.push_back(demandOf(1, 100 + index));
    }
    subject.add(sender("three", "b"), {}, demands, now);
    CHECK(estimate().demands.size() == MaxDemandsReported);
    CHECK(subject.ignoredEntries() == 5);
}

} // namespace ebonyway
