#pragma once

#include "connection/admission_policy.h"
#include "core/seeded_random.h"
#include "version/intent.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <vector>

namespace ebonyway {

/** Result of placing a flow in the model. */
struct placement
{
    int server = -1; ///< -1 if the flow is refused.
    int admittedBy = -1; ///< Instance that counted it, or -1 if its slot was settled.
};

/** A strategy that the model evaluates: the product, plain hashing or a fixed time ramp. */
class capacity_strategy
{
public:
    virtual ~capacity_strategy() = default;
    virtual placement place(int slot, std::uint64_t hash, time_point now) = 0;
    virtual void onEvidence(int slot, int server, flow_evidence evidence, time_point now)
    {
        (void)slot, (void)server, (void)evidence, (void)now;
    }
    virtual void onReport(const load_report &report, time_point now) { (void)report, (void)now; }
    virtual void onEnded(const placement &placed, time_point now) { (void)placed, (void)now; }
};

/**
 * Backend server of the model. A request occupies a slot. A cold server is slower and speeds up
 * only with the number of requests it has served. With too many requests in flight it crashes: it
 * loses them, is down for some time and restarts cold.
 */
struct model_server
{
    /** Requests in flight per slot beyond which the server crashes. */
    static constexpr std::size_t CrashRequestsPerSlot = 10;

    std::size_t slots = 4;
    std::size_t connectionLimit = 2000;
    double warmSeconds = 0.02; ///< Time of one request when warm.
    double workToWarm = 500; ///< Requests after which a cold server is warm.
    double work = 1e9; ///< Requests served since its start.
    std::deque<std::size_t> queue; ///< Flows waiting for a slot.
    std::size_t busy = 0;
    std::size_t open = 0;
    std::size_t mostOpen = 0;
    std::size_t mostInFlight = 0;
    std::size_t overloadCrashes = 0;
    std::size_t offered = 0;
    std::uint64_t startCount = 1;
    std::uint64_t generation = 0; ///< Requests of earlier generations are lost.
    bool down = false;
    bool stalled = false; ///< Answers probes but no flow.
    bool reportsRestart = true;
    std::function<void(load_report &)> falsifyReport = [](load_report &) {
    };

    double speed() const { return std::min(1.0, 0.05 + work / workToWarm); }
    std::size_t inFlight() const { return queue.size() + busy; }
};

/** Discrete-event model of callers, homes and backend servers under virtual time. */
class capacity_world
{
public:
    static constexpr int SlotCount = 1024;
    static constexpr double CrashDownSeconds = 3; ///< Downtime after an overload crash.
    static constexpr double CallerTimeoutSeconds = 3; ///< Caller's timeout for its first answer.

    capacity_world(std::uint64_t seed, std::size_t serverCount, capacity_strategy &strategy)
        : servers(serverCount)
        , m_random(seed)
        , m_strategy(strategy)
    {
        const auto report = [this] {
            sendReports();
        };
        every(1.0, report);
    }

    double rate = 0; ///< New flows per second over all callers.
    double holdSeconds = 0; ///< Mean time that a flow stays open after its first answer.
    double reportLag = 0.5; ///< Seconds from the measurement of a report to its arrival.
    std::vector<model_server> servers;
    std::size_t offered = 0;
    std::size_t good = 0; ///< Answered before the caller gave up.
    std::size_t refused = 0;

    void at(double seconds, std::function<void()> action)
    {
        m_events.emplace(seconds, std::move(action));
    }

    void every(double period, const std::function<void()> &action)
    {
        at(m_now + period, [this, period, action] {
            action();
            every(period, action);
        });
    }

    void run(double seconds)
    {
        if (!m_started) {
            m_started = true;
            scheduleArrival();
        }
        const double end = m_now + seconds;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    /** Offers one flow now, in addition to the steady arrivals. */
    void arrive()
    {
        ++offered;
        const std::size_t id = m_flows.size();
        const std::uint64_t hash = m_random.next();
        flow added;
        added.slot = static_cast<int>(hash % SlotCount);
        added.placed = m_strategy.place(added.slot, hash, now());
        m_flows.push_back(added);
        if (added.placed.server < 0) {
            ++refused;
            return;
        }
        offer(id);
    }

    /** Makes a server cold and closes its flows. Its start count changes only if isReported. */
    void restart(std::size_t index, bool isReported = true)
    {
        model_server &server = servers[index];
        server.work = 0;
        server.reportsRestart = isReported;
        server.startCount += isReported ? 1 : 0;
        dropAllRequests(server);
    }

    /** Takes a server down for the given time; it returns cold. */
    void crash(std::size_t index, double downSeconds)
    {
        servers[index].down = true;
        dropAllRequests(servers[index]);
        at(m_now + downSeconds, [this, index] {
            servers[index].down = false;
            restart(index, servers[index].reportsRestart);
        });
    }

    time_point now() const
    {
        return time_point(
                std::chrono::nanoseconds(static_cast<std::int64_t>((m_now + 1000) * 1e9)));
    }
    double seconds() const { return m_now; }

    /** Ratio of the most open flows on one server to the mean over all servers. */
    double imbalance() const
    {
        const auto lessOpen = [](const auto &a, const auto &b) {
            return a.open < b.open;
        };
        const auto most = std::max_element(servers.begin(), servers.end(), lessOpen);
        return static_cast<double>(most->open) * static_cast<double>(servers.size())
               / static_cast<double>(totalOpen());
    }
    std::size_t totalOpen() const { return sum(&model_server::open); }
    /** Requests per second that all servers could answer now. */
    double capacity() const
    {
        double total = 0;
        for (const model_server &server : servers) {
            const double slots = server.down ? 0 : static_cast<double>(server.slots);
            total += slots * server.speed() / server.warmSeconds;
        }
        return total;
    }
    std::size_t totalOverloadCrashes() const { return sum(&model_server::overloadCrashes); }

private:
    struct flow
    {
        int slot = 0;
        placement placed;
        bool answered = false;
        bool closed = false;
        std::uint64_t generation = 0;
    };

    std::size_t sum(std::size_t model_server::*member) const
    {
        std::size_t total = 0;
        for (const model_server &server : servers) {
            total += server.*member;
        }
        return total;
    }

    void scheduleArrival()
    {
        const double gap = rate > 0 ? m_random.exponential(1 / rate) : 0.01;
        at(m_now + gap, [this] {
            if (rate > 0) {
                arrive();
            }
            scheduleArrival();
        });
    }

    void offer(std::size_t id)
    {
        model_server &server = servers[m_flows[id].placed.server];
        m_flows[id].generation = server.generation;
        ++server.offered;
        at(m_now + 1, [this, id] { retransmit(id); });
        if (server.down) {
            return;
        }
        if (server.open >= server.connectionLimit) {
            notifyStrategy(id, flow_evidence::Reset);
            close(id);
            return;
        }
        ++server.open;
        server.mostOpen = std::max(server.mostOpen, server.open);
        server.queue.push_back(id);
        server.mostInFlight = std::max(server.mostInFlight, server.inFlight());
        if (!server.stalled && server.inFlight() > crashLimit(server)) {
            ++server.overloadCrashes;
            crash(m_flows[id].placed.server, CrashDownSeconds);
            return;
        }
        serve(server);
    }

    static std::size_t crashLimit(const model_server &server)
    {
        return model_server::CrashRequestsPerSlot * server.slots;
    }

    void serve(model_server &server)
    {
        while (!server.stalled && !server.queue.empty() && server.busy < server.slots) {
            const std::size_t id = server.queue.front();
            server.queue.pop_front();
            ++server.busy;
            const double time = m_random.exponential(server.warmSeconds / server.speed());
            at(m_now + time, [this, id] { finish(id); });
        }
    }

    void finish(std::size_t id)
    {
        flow &finished = m_flows[id];
        model_server &server = servers[finished.placed.server];
        if (finished.generation != server.generation) {
            return;
        }
        --server.busy;
        server.work += 1;
        if (!finished.closed) {
            finished.answered = true;
            ++good;
            notifyStrategy(id, flow_evidence::Answered);
            const double hold = holdSeconds > 0 ? m_random.exponential(holdSeconds) : 0;
            at(m_now + hold, [this, id] { end(id); });
        }
        serve(server);
    }

    void retransmit(std::size_t id)
    {
        if (m_flows[id].answered || m_flows[id].closed) {
            return;
        }
        notifyStrategy(id, flow_evidence::Retransmitted);
        at(m_now + CallerTimeoutSeconds - 1, [this, id] {
            if (!m_flows[id].answered && !m_flows[id].closed) {
                end(id); // The server still processes the request, but nobody waits for it.
            }
        });
    }

    void end(std::size_t id)
    {
        model_server &server = servers[m_flows[id].placed.server];
        if (m_flows[id].generation == server.generation && !server.down) {
            --server.open;
        }
        close(id);
    }

    void close(std::size_t id)
    {
        m_flows[id].closed = true;
        m_strategy.onEnded(m_flows[id].placed, now());
    }

    void notifyStrategy(std::size_t id, flow_evidence evidence)
    {
        m_strategy.onEvidence(m_flows[id].slot, m_flows[id].placed.server, evidence, now());
    }

    static void dropAllRequests(model_server &server)
    {
        ++server.generation;
        server.queue.clear();
        server.busy = 0;
        server.open = 0;
    }

    void sendReports()
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const model_server &server = servers[i];
            load_report report;
            report.backendServer.value = static_cast<std::uint16_t>(i);
            report.reachable = !server.down;
            report.ready = !server.down;
            report.openConnections = static_cast<std::uint32_t>(server.open);
            report.busySlots = static_cast<std::uint32_t>(server.busy);
            report.startCount = server.startCount;
            server.falsifyReport(report);
            at(m_now + reportLag, [this, report] { m_strategy.onReport(report, now()); });
        }
    }

    seeded_random m_random;
    capacity_strategy &m_strategy;
    std::multimap<double, std::function<void()>> m_events;
    std::deque<flow> m_flows;
    double m_now = 0;
    bool m_started = false;
};

/** Returns an intent with one service and the given number of identical backend servers. */
inline intent capacityIntent(std::size_t serverCount, const model_server &serverTemplate = {})
{
    intent current;
    current.number = note_number{1};
    current.services.push_back({});
    current.failureDomains.push_back({});
    for (std::size_t i = 0; i < serverCount; ++i) {
        backend_server server;
        server.id.value = static_cast<std::uint16_t>(i);
        server.connectionLimit = static_cast<std::uint32_t>(serverTemplate.connectionLimit);
        server.slotLimit = static_cast<std::uint32_t>(serverTemplate.slots);
        current.backendServers.push_back(server);
    }
    return current;
}

} // namespace ebonyway
