#include "forwarding/connection/placement_samples.h"
#include "forwarding/process/load_reports.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ServerCount = 120;
constexpr std::size_t SlotCount = 2;
constexpr double WorkSeconds = 0.06;
constexpr double SlowFactor = 6;

constexpr duration WarmUp = 4s;
constexpr duration Length = 24s; ///< With the warm-up.

// Requests per slot by which the rule before expected waits preferred the own domain.
constexpr double OtherDomainPenalty = 0.5;

// Each instance hears from 24 peers a second, or from all if there are fewer.
constexpr std::size_t ReportersPerSecond = 24;
constexpr duration TickInterval = 200ms;
constexpr std::size_t TicksPerReport = 5;

enum class placing_rule : std::uint8_t { OwnLoad, ExpectedWait, CommonQueue };

struct queueing_case
{
    std::size_t instances = 0;
    double utilization = 0;
    bool hasSlowServers = false;
};

struct simulated_server
{
    double workFactor = 1;
    std::size_t busySlots = 0;
    std::deque<std::size_t> waiting; ///< Requests.
};

struct simulated_request
{
    std::size_t instance = 0;
    std::size_t server = 0;
    time_point arrivedAt;
    duration wait{};
};

struct simulated_instance
{
    std::string domain;
    server_evidence evidence;
    deployment_load load;
    server_pace pace;
    cold_start_quota coldStarts;
    placement rule;
    load_reports reports;
    std::vector<std::size_t> underWay = std::vector<std::size_t>(ServerCount);

    simulated_instance(std::size_t number, const directory &servers)
        : domain(samples::PlacementDomains[number % samples::PlacementDomains.size()])
        , load(domain)
        , coldStarts(nameOf(number), number)
        , rule(domain, 1'000 + number)
        , reports(nameOf(number))
    {
        evidence.adopt(servers);
    }

    static std::string nameOf(std::size_t number) { return "instance-" + std::to_string(number); }
};

duration seconds(double length)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
}

/** Requests arrive at random instances, which place them on servers with unlimited queues. */
class queueing_simulation
{
public:
    queueing_simulation(const queueing_case &which, placing_rule rule)
        : m_case(which)
        , m_rule(rule)
        , m_directory(samples::deskDirectory(samples::deskServers(ServerCount)))
        , m_servers(ServerCount)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < ServerCount; ++i) {
            // Every third server of each domain.
            m_servers[i].workFactor = which.hasSlowServers && i / 3 % 3 == 0 ? SlowFactor : 1;
            capacity += SlotCount / (WorkSeconds * m_servers[i].workFactor);
        }
        m_arrivalRate = capacity * which.utilization;
        for (std::size_t i = 0; rule != placing_rule::CommonQueue && i < which.instances; ++i) {
            m_instances.emplace_back(i, m_directory);
            ++m_instanceCounts[m_instances.back().domain];
        }
    }

    /** Returns the 99th percentile of the waits until work begins, in milliseconds. */
    double run()
    {
        const time_point begin = m_now;
        time_point nextArrival = m_now;
        time_point nextTick = m_now;
        std::size_t ticks = 0;
        while (m_now < begin + Length) {
            const time_point ended = m_ends.empty() ? time_point::max() : m_ends.top().first;
            m_now = std::min({nextArrival, nextTick, ended});
            if (m_now == ended) {
                const std::size_t request = m_ends.top().second;
                m_ends.pop();
                end(request);
            } else if (m_now == nextTick) {
                nextTick += TickInterval;
                for (simulated_instance &one : m_instances) {
                    one.evidence.tick();
                }
                if (m_rule == placing_rule::ExpectedWait) {
                    report(++ticks);
                }
            } else {
                nextArrival += seconds(m_random.exponential(1 / m_arrivalRate));
                arrive();
            }
        }
        std::vector<double> waits;
        for (const simulated_request &one : m_requests) {
            if (one.arrivedAt >= begin + WarmUp) {
                const bool isWaiting = one.wait < 0ns;
                const duration wait = isWaiting ? m_now - one.arrivedAt : one.wait;
                waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
            }
        }
        const auto rank = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
        std::nth_element(waits.begin(), rank, waits.end());
        return *rank;
    }

private:
    void arrive()
    {
        const std::size_t request = m_requests.size();
        m_requests.push_back({m_random.below(m_case.instances), 0, m_now, -1ns});
        simulated_request &added = m_requests.back();
        if (m_rule == placing_rule::CommonQueue) {
            m_common.push_back(request);
            startCommon();
            return;
        }
        simulated_instance &at = m_instances[added.instance];
        added.server = choose(at);
        const server_key key{added.server + 1};
        ++at.underWay[added.server];
        at.evidence.onOffer(key, m_now);
        at.evidence.onAnswer(key, m_now);
        at.evidence.addOpenFlows(key, 1);
        at.evidence.addBusyFlows(key, 1);
        m_servers[added.server].waiting.push_back(request);
        startNext(added.server);
    }

    std::size_t choose(simulated_instance &at)
    {
        if (m_rule == placing_rule::ExpectedWait) {
            const auto choice =
                    at.rule.choose({m_directory, at.evidence, at.load, at.pace, at.coldStarts},
                                   "desk", 0, nullptr, m_now);
            return choice->server->entry.key.value - 1;
        }
        std::size_t best = 0;
        double bestCost = 0;
        for (std::size_t i = 0; i < ServerCount; ++i) {
            const bool inOwnDomain = samples::PlacementDomains[i % 3] == at.domain;
            const double cost = static_cast<double>(at.underWay[i]) / SlotCount
                                + (inOwnDomain ? 0 : OtherDomainPenalty) + m_random.unit() * 1e-3;
            if (i == 0 || cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best;
    }

    void startNext(std::size_t index)
    {
        simulated_server &server = m_servers[index];
        if (server.waiting.empty() || server.busySlots == SlotCount) {
            return;
        }
        const std::size_t request = server.waiting.front();
        server.waiting.pop_front();
        start(request, index);
    }

    /** The request at the head of the common queue takes the fastest free slot. */
    void startCommon()
    {
        std::size_t best = ServerCount;
        for (std::size_t i = 0; i < ServerCount; ++i) {
            const bool isFree = m_servers[i].busySlots < SlotCount;
            const bool isFaster =
                    best == ServerCount || m_servers[i].workFactor < m_servers[best].workFactor;
            best = isFree && isFaster ? i : best;
        }
        if (m_common.empty() || best == ServerCount) {
            return;
        }
        const std::size_t request = m_common.front();
        m_common.pop_front();
        start(request, best);
    }

    void start(std::size_t request, std::size_t index)
    {
        simulated_request &started = m_requests[request];
        started.server = index;
        started.wait = m_now - started.arrivedAt;
        ++m_servers[index].busySlots;
        const double work = m_random.exponential(WorkSeconds * m_servers[index].workFactor);
        m_ends.emplace(m_now + seconds(work), request);
    }

    void end(std::size_t request)
    {
        const simulated_request &ended = m_requests[request];
        --m_servers[ended.server].busySlots;
        if (m_rule == placing_rule::CommonQueue) {
            startCommon();
            return;
        }
        simulated_instance &at = m_instances[ended.instance];
        const server_key key{ended.server + 1};
        --at.underWay[ended.server];
        at.evidence.addBusyFlows(key, -1);
        at.evidence.addOpenFlows(key, -1);
        at.evidence.onProgress(key, m_now);
        at.evidence.onAnswerTime(key, m_now - ended.arrivedAt, m_now);
        startNext(ended.server);
    }

    /** What the instance reports, as in forwarder::loads(), with the precision of a heartbeat. */
    std::vector<peer_server_load> loadsOf(const simulated_instance &one) const
    {
        std::vector<peer_server_load> loads;
        for (const auto &[key, state] : one.evidence.conditions()) {
            const bool hasAnswered = m_now - state.lastAnswer < 2s;
            if (state.openFlows == 0 && !hasAnswered) {
                continue;
            }
            peer_server_load load{key, state.openFlows, 0, 0ms, 0, {}};
            load.underWay = std::round(state.meanBusyFlows * peer_server_load::UnderWayScale)
                            / peer_server_load::UnderWayScale;
            if (m_now - state.lastAnswerTime < 2s) {
                load.answerTime = std::chrono::floor<std::chrono::milliseconds>(state.answerTime);
            }
            loads.push_back(load);
        }
        return loads;
    }

    /**
     * A fifth of the instances reads the reports of random peers. They serve for a second and are
     * kept for 2 s, so that the figures in use are a second old on average.
     */
    void report(std::size_t tick)
    {
        std::vector<std::vector<peer_server_load>> loads;
        for (const simulated_instance &one : m_instances) {
            loads.push_back(loadsOf(one));
        }
        const double underWay = m_arrivalRate * WorkSeconds / static_cast<double>(loads.size());
        for (std::size_t i = tick % TicksPerReport; i < m_instances.size(); i += TicksPerReport) {
            simulated_instance &reader = m_instances[i];
            addReport(reader, i, loads[i], underWay);
            const bool hearsAll = m_instances.size() <= ReportersPerSecond;
            const std::size_t count = hearsAll ? m_instances.size() : ReportersPerSecond;
            for (std::size_t j = 0; j < count; ++j) {
                const std::size_t peer = hearsAll ? j : m_random.below(m_instances.size());
                if (peer != i) {
                    addReport(reader, peer, loads[peer], underWay);
                }
            }
            reader.load.update(m_directory, reader.evidence,
                               reader.reports.estimate(m_instanceCounts, m_now), {}, m_now);
        }
    }

    void addReport(simulated_instance &reader, std::size_t sender,
                   const std::vector<peer_server_load> &loads, double underWay)
    {
        peer_entry entry;
        entry.name = simulated_instance::nameOf(sender);
        entry.failureDomain = m_instances[sender].domain;
        const service_demand demand =
                samples::deskDemand(entry.failureDomain, samples::feedAddress(), underWay).demand;
        reader.reports.add(entry, loads, {demand}, m_now);
    }

    using request_end = std::pair<time_point, std::size_t>;

    queueing_case m_case;
    placing_rule m_rule;
    directory m_directory;
    seeded_random m_random{77};
    time_point m_now{1'000s};
    double m_arrivalRate = 0;
    std::vector<simulated_server> m_servers;
    std::deque<simulated_instance> m_instances;
    std::map<std::string, std::size_t> m_instanceCounts;
    std::vector<simulated_request> m_requests;
    std::deque<std::size_t> m_common;
    std::priority_queue<request_end, std::vector<request_end>, std::greater<>> m_ends;
};

/** 99th percentiles of the waits, in milliseconds. */
struct waits_by_rule
{
    double ownLoad = 0;
    double expectedWait = 0;
    double commonQueue = 0;
};

/** Simulates each rule with the same seed and prints the waits. */
waits_by_rule compareRules(const queueing_case &which)
{
    waits_by_rule waits;
    waits.ownLoad = queueing_simulation(which, placing_rule::OwnLoad).run();
    waits.expectedWait = queueing_simulation(which, placing_rule::ExpectedWait).run();
    waits.commonQueue = queueing_simulation(which, placing_rule::CommonQueue).run();
    const std::string toCommon = waits.commonQueue > 0
                                         ? std::to_string(waits.expectedWait / waits.commonQueue)
                                         : std::string("none");
    MESSAGE(which.instances, " instances, utilization ", which.utilization, ": own load ",
            waits.ownLoad, " ms, expected wait ", waits.expectedWait, " ms, common queue ",
            waits.commonQueue, " ms; ratio to own load ", waits.expectedWait / waits.ownLoad,
            ", to the common queue ", toCommon);
    return waits;
}

} // namespace

// Figures of peers are a second old, which is many requests: instances that all follow them choose
// the same servers.
TEST_CASE("equal servers, simulated queues, waits are at most 5% above those by own load")
{
    for (const std::size_t instances : {8, 88, 300}) {
        for (const double utilization : {0.7, 0.85}) {
            const waits_by_rule waits = compareRules({instances, utilization, false});
            CAPTURE(instances);
            CAPTURE(utilization);
            CHECK((instances < 88 || waits.expectedWait <= waits.ownLoad * 1.05));
        }
    }
}

// Placement by own load sends slow servers as many requests as others, and their queues grow.
TEST_CASE("a third of the servers slow, utilization 0.7, waits are below those by own load")
{
    for (const std::size_t instances : {8, 88, 300}) {
        const waits_by_rule waits = compareRules({instances, 0.7, true});
        CAPTURE(instances);
        CHECK((instances < 88 || waits.expectedWait < waits.ownLoad));
    }
}

TEST_CASE("a third of the servers slow, utilization 0.85, waits are below those by own load")
{
    for (const std::size_t instances : {8, 88, 300}) {
        const waits_by_rule waits = compareRules({instances, 0.85, true});
        CAPTURE(instances);
        CHECK((instances < 88 || waits.expectedWait < waits.ownLoad));
    }
}

} // namespace ebonyway
