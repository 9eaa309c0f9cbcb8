#pragma once

#include "connection/flow_engine.h"
#include "core/seeded_random.h"
#include "fake_admission.h"
#include "version/route_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace ebonyway {

enum class strategy_kind {
    Engine, ///< flow_engine
    Table, ///< table_strategy
    FlowTable, ///< flow_table_strategy
};

struct driver_options
{
    std::uint64_t seed = 1;
    strategy_kind strategy = strategy_kind::Engine;
    std::size_t instances = 8;
    std::size_t domains = 3;
    std::size_t servers = 14;
    double messageLoss = 0.01;
    double packetLoss = 0.0;
    /** Share of answers that a wrong server of the same service sends as well. */
    double crossedAnswers = 0.0;
    duration idleTimeout = std::chrono::seconds{20};
    backup_placement placement = backup_placement::OtherDomain;
    std::size_t establishedCapacity = 30'000;
    std::size_t probationCapacity = 2'048;
    /** After this time the members of a silent domain count as dead instead of cut off. */
    duration partitionDeadAfter = std::chrono::minutes{10};
};

/** Counts of a run. Tests require zero for those that violate an invariant. */
struct driver_counts
{
    int started = 0;
    int finished = 0;
    int broken = 0; ///< Flows reset although their server was alive and in service.
    /** As broken, but started so shortly before a crash that the flow may not be copied yet. */
    int lostUncopied = 0;
    int stalled = 0; ///< Established flows without any answer for about 100 s.
    int unanswered = 0; ///< Flows whose SYN was never answered.
    int givenUp = 0; ///< Flows on a dead or out-of-service server, ended by RST or ICMP.
    int refused = 0; ///< New flows refused for lack of capacity.
    int wrongService = 0;
    int secondServer = 0; ///< Packets of a flow that reached another backend server than its first.
    int secondSyn = 0; ///< SYNs that reached another backend server than an earlier copy.
    int lateNewFlows = 0; ///< New flows on a backend server later than 3 s after its drain.
    int latePackets = 0; ///< Packets to a domain later than 3 s after it went out of service.
    int refusedButSeen = 0; ///< Flows refused as overloaded after a server had seen a packet.
    int repeatedRuns = 0; ///< Requests that ran more than once.
    int crossedSent = 0; ///< Answers of servers that never saw the flow.
    int crossedAccepted = 0; ///< Crossed answers that reached a caller.
    std::uint64_t messageBytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t relayed = 0;
    std::uint64_t forwarded = 0;
    std::map<drop_reason, int> drops;
};

/**
 * Simulates several instances with one strategy in virtual time. The fabric sends each packet to a
 * random instance, callers retransmit, and backend servers reset unknown flows.
 */
class engine_driver
{
public:
    explicit engine_driver(const driver_options &options);

    // Time.
    time_point now() const { return m_now; }
    void run(duration length);
    void at(duration delay, std::function<void()> action);

    // Callers.
    /** Starts flows at the rate (per second) for `length`; each sends `requests` requests. */
    void startFlows(double rate, duration length, int requests, duration gap,
                    service_id service = {});
    std::size_t startFlow(service_id service, int requests, duration gap);
    /** Sends single packets from spoofed caller addresses that never reply. */
    void flood(double rate, duration length, packet_kind kind, service_id service);
    /** If set, callers reach only the instances of this domain. */
    std::optional<failure_domain_id> callersReachOnly;

    // Release notes.
    intent nextIntent() const;
    /** Publishes a note. Each instance adopts it after a random delay of up to `spread`. */
    void accept(intent next, duration spread = std::chrono::milliseconds{500});
    void setDraining(backend_server_id server, bool draining);
    void setInService(failure_domain_id domain, bool inService);
    void setWeight(backend_server_id server, std::uint32_t weight);
    void addServer(service_id service, failure_domain_id domain);

    // Instances.
    void crash(std::size_t index);
    void freeze(std::size_t index, duration length);
    std::size_t join(failure_domain_id domain);
    void stop(std::size_t index); ///< Planned stop.
    void setCutOff(failure_domain_id domain, bool isCut);
    std::size_t homeOf(slot_id slot) const;
    flow_engine &engine(std::size_t index) { return *m_instances[index].engine; }
    std::size_t instanceCount() const { return m_instances.size(); }
    bool isRunning(std::size_t index) const { return m_instances[index].running; }
    std::size_t unsettledSlots();
    std::size_t trackedFlows();
    std::size_t openFlowsOn(failure_domain_id domain);

    driver_counts counts;
    fake_admission admission;
    /** Additional latency of SYN-ACKs, to provoke SYN retransmissions. */
    duration synAnswerDelay{};
    double packetLoss = 0;

private:
    struct peer_knowledge
    {
        time_point lastHeard{};
        note_number note;
        member_state state = member_state::Ready;
        member_state seenAs = member_state::Ready;
        time_point stateSince{};
        bool known = false;
    };

    struct instance
    {
        instance_id id;
        failure_domain_id domain;
        bool running = true;
        bool frozen = false;
        time_point frozenSince{};
        member_state state = member_state::Ready;
        note_number note;
        std::unique_ptr<routing_strategy> strategy;
        flow_engine *engine = nullptr;
        std::map<std::size_t, peer_knowledge> peers;
        /** When a domain last looked cut off; its members count as dead only some time later. */
        std::map<failure_domain_id, time_point> cutOffAt;
        std::vector<std::function<void()>> inbox; ///< Events queued while the instance is frozen.
    };

    enum class flow_state {
        SynSent,
        Established,
        Ended,
    };

    struct caller_flow
    {
        flow_key key;
        service_id service;
        flow_state state = flow_state::SynSent;
        std::optional<backend_server_id> server; ///< Server that the flow is established with.
        std::set<backend_server_id> reachedServers; ///< All servers that have received a packet.
        int sequence = 0; ///< Number of the request being sent.
        int acknowledged = 0;
        int requests = 0;
        duration gap{};
        time_point startedAt{};
        bool spoofed = false;
    };

    struct server_state
    {
        std::map<std::size_t, int> connections; ///< Last request run, by flow index.
        std::optional<time_point> drainingSince;
    };

    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void addInstance(failure_domain_id domain, member_state state);
    void tick(std::size_t index);
    void sendHeartbeats(std::size_t index);
    cluster_view viewOf(std::size_t index);
    bool isCutBetween(failure_domain_id left, failure_domain_id right) const;
    duration latency();
    void deliverToInstance(std::size_t index, std::function<void()> action);
    std::optional<std::size_t> sprayTarget();
    void sendMessages(std::size_t index);

    void sendSyn(std::size_t flow, int attempt);
    void sendRequest(std::size_t flow, int sequence, int attempt);
    void inject(std::size_t flow, packet_kind kind, int sequence);
    void routeAt(std::size_t index, std::size_t flow, packet_kind kind, int sequence,
                 packet_origin origin);
    void onServerPacket(backend_server_id server, std::size_t flow, packet_kind kind, int sequence);
    void checkServerPacket(backend_server_id server, const caller_flow &flow, packet_kind kind);
    void answer(backend_server_id server, std::size_t flow, packet_kind kind, int sequence);
    void answerCrossed(backend_server_id server, std::size_t flow, packet_kind kind, int sequence);
    void routeAnswerAt(std::size_t index, backend_server_id server, std::size_t flow,
                       packet_kind kind, int sequence, packet_origin origin);
    void onCallerPacket(backend_server_id server, std::size_t flow, packet_kind kind, int sequence);
    void onReset(caller_flow &flow);
    /** Returns whether the flow started so shortly before a crash that it may not be copied yet. */
    bool mayBeUncopied(const caller_flow &flow) const;
    void onRefused(std::size_t flow, refusal_reason reason);
    bool isInService(backend_server_id server) const;

    driver_options m_options;
    seeded_random m_random;
    keyed_hash m_hash;
    time_point m_now{std::chrono::seconds{1000}};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<instance> m_instances;
    std::vector<caller_flow> m_flows;
    std::map<backend_server_id, server_state> m_servers;
    std::map<std::pair<std::size_t, int>, int> m_runs;
    std::shared_ptr<const route_plan> m_plan;
    std::map<failure_domain_id, time_point> m_outOfServiceSince;
    std::set<failure_domain_id> m_cut;
    std::vector<time_point> m_crashes;
    std::uint32_t m_session = 1;
    std::uint32_t m_nextPort = 0;
};

} // namespace ebonyway
