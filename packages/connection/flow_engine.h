#pragma once

#include "connection/answer_decision.h"
#include "connection/flow_copier.h"
#include "connection/freshness.h"
#include "connection/home_assignment.h"
#include "connection/home_store.h"
#include "connection/partition_signal.h"
#include "connection/peer_exchange.h"
#include "connection/routing_strategy.h"
#include "connection/settled_route.h"
#include "connection/slot_marks.h"
#include "connection/sync_round.h"
#include "connection/udp_reporter.h"
#include "connection/udp_seen_set.h"

#include <functional>
#include <map>
#include <set>

namespace ebonyway {

class admission_policy;

/** Fixed properties of one engine. */
struct flow_engine_options
{
    instance_id self;
    std::uint32_t session = 1; ///< Must be greater than in every earlier run of this instance.
    std::vector<std::byte> deploymentKey;
    duration freshnessLimit = std::chrono::seconds{2};
    /**
     * Interval between copies of tracked flows to the backups. Longer intervals lose more flows
     * when a home dies; shorter ones cost more messages.
     */
    duration copyInterval = std::chrono::milliseconds{500};
    /** Maximum number of established flows in the table, including copies held as backup. */
    std::size_t establishedCapacity = 400'000;
    /** Maximum number of flows of which only the first packet has been seen. */
    std::size_t probationCapacity = 16'384;
    std::size_t udpSeenCapacity = 262'144; ///< Capacity in flows of the set of seen UDP flows.
    backup_placement placement = backup_placement::OtherDomain;
};

/** Returns whether this instance may send packets to backend servers of the failure domain. */
using domain_predicate = std::function<bool(failure_domain_id)>;

/** Slot counts of one service, for the status page. */
struct service_slot_status
{
    service_id service;
    std::uint32_t slots = 0;
    std::uint32_t unsettled = 0; ///< According to this instance's marks and plan.
    std::uint32_t openHomes = 0; ///< Unsettled slots whose home is this instance.
};

/** Number of tracked flows of one backend server, in the slots whose home is this instance. */
struct server_flow_status
{
    backend_server_id backendServer;
    std::uint32_t flows = 0;
    bool draining = false;
    time_point drainingSince{}; ///< When this instance adopted the drain; set only if draining.
};

/**
 * Routing strategy used in production: manages slot homes, the transition of a slot from one
 * backend server to the next, and tracked flows, as described in section 5 of docs/design.md.
 *
 * Performs no I/O and reads no clock: packets, messages and times are passed in, and decisions and
 * messages are returned. Not thread-safe: all functions are called by one traffic thread. The other
 * traffic threads use published settled_route objects.
 */
class flow_engine
    : public routing_strategy
    , private flow_end_listener
{
public:
    /**
     * The admission policy must outlive the engine. Without a predicate, packets may be sent to
     * every failure domain.
     */
    flow_engine(flow_engine_options options, admission_policy &admission,
                domain_predicate mayUseDomain = {});
    flow_engine(const flow_engine &) = delete;
    flow_engine &operator=(const flow_engine &) = delete;

    void adoptPlan(std::shared_ptr<const route_plan> plan, time_point now) override;
    /**
     * Replaces the view of the deployment. When this instance itself returns to the Joining state,
     * call this before the new state is announced, because peers start to send flow copies to a
     * joining instance at once.
     */
    void updateCluster(const cluster_view &cluster, time_point now) override;
    route_decision route(const packet_view &packet, const packet_origin &origin,
                         time_point now) override;

    /** Returns what to do with a packet from a backend server to a caller. */
    answer_decision onAnswer(const packet_view &packet, backend_server_id sender, time_point now,
                             const packet_origin &origin = {});
    /** Handles an authenticated datagram from a peer's engine. Malformed input is rejected. */
    void onMessage(instance_id from, std::span<const std::byte> bytes, time_point now);
    /** Advances all timers. Call it every 50 to 200 ms. */
    void onTick(time_point now);
    /** Returns the datagrams to send to peers' engines, at most FrameSizeLimit bytes each. */
    std::vector<outgoing_message> takeMessages(time_point now);

    /** Returns a snapshot of the fast path for the traffic threads; publish it after each tick. */
    std::shared_ptr<const settled_route> publishSettledRoute() const;

    /** Returns whether this joining instance has the marks and flows that it needs as a home. */
    bool readyToJoin() const;
    /** Returns whether this leaving instance has handed over all its slots and may exit. */
    bool readyToLeave(time_point now) const;

    std::vector<service_slot_status> slotStatus() const;
    std::vector<server_flow_status> serverFlowStatus() const;
    std::size_t openHomeCount() const;
    std::size_t trackedFlowCount() const { return m_store.flows().size(); }
    std::size_t memoryBytes() const;
    bool isSynchronised() const { return m_synchronised; }
    std::uint64_t malformedMessageCount() const { return m_exchange.malformedCount(); }

private:
    /** A packet to be routed, with the service, flow hash and slot derived from it. */
    struct packet_context
    {
        const packet_view &packet;
        packet_origin origin;
        service_id service;
        flow_hash hash;
        slot_id slot;
        time_point receivedAt;
    };

    /** A slot of this instance that its former home, which is alive, has not handed over yet. */
    struct pending_handover
    {
        instance_id formerHome;
        time_point requestedAt{};
    };

    /** The frame with a mark that a peer must acknowledge before the slot may deviate. */
    struct mark_delivery
    {
        instance_id peer;
        std::uint32_t sequence = 0;
        std::uint32_t resetCount = 0;
    };

    // Packet routing.
    route_decision routeSlowPath(const packet_context &context);
    route_decision routeUnsynchronised(const packet_context &context) const;
    route_decision routeSettled(const packet_context &context);
    route_decision routeUnsettled(const packet_context &context);
    route_decision routeDuringPartition(const packet_context &context);
    route_decision relayTo(instance_id peer, const packet_context &context) const;
    route_decision routeAtHome(slot_home &home, const packet_context &context);
    route_decision routeTrackedFlow(slot_home &home, tracked_flow &flow,
                                    const packet_context &context);
    route_decision routeUnknownFlow(slot_home &home, const packet_context &context);
    route_decision routeFirstPacket(slot_home &home, const packet_context &context);
    route_decision startFlow(slot_home &home, backend_server_id server, bool admitted,
                             const packet_context &context);
    route_decision refuseFirstPacket(const slot_home &home, const packet_context &context) const;
    std::optional<backend_server_id> chooseServer(slot_home &home, const packet_context &context,
                                                  bool &admitted);
    std::vector<backend_server_id> fallbackServers(service_id service, flow_hash hash,
                                                   backend_server_id except) const;
    void updateTrackedFlow(slot_home &home, tracked_flow &flow, const packet_context &context);
    answer_decision decideAnswerAtHome(slot_home &home, const packet_context &context,
                                       backend_server_id sender);
    answer_decision decideAnswerElsewhere(const packet_context &context,
                                          backend_server_id sender) const;

    // Backend servers.
    bool isReachable(backend_server_id server) const;
    bool isGivenUp(backend_server_id server, time_point now) const;
    bool isDrainOverdue(backend_server_id server, time_point now) const;
    bool isDomainCutOff(failure_domain_id domain) const;
    void refreshUsableServers();

    // Slots.
    bool isSettled(slot_id slot) const;
    /** Returns whether marks of the slot from the other side of an ended partition are missing. */
    bool lacksMarks(slot_id slot) const;
    void refreshSlot(slot_id slot);
    void refreshAllSlots();
    std::optional<slot_state> initialState(slot_id slot) const;
    slot_home *openHome(slot_id slot, time_point now);
    void setMark(slot_home &home, slot_mark mark);
    void settle(slot_home &home);
    void retargetHomes(time_point now);
    void sendState(const slot_home &home);
    bool awaitHandover(slot_id slot);
    std::uint16_t memberIndex(instance_id id) const;
    bool allInstancesRelay(const slot_home &home, time_point now);
    bool isMarkDelivered(const slot_home &home, time_point now);

    // Periodic work.
    void openDueHomes(time_point now);
    void advanceHomes(time_point now);
    void switchDefaultServers(const std::unordered_set<slot_id> &switchedSlots);
    void requestUdpReports(slot_home &home, time_point now);
    void sendUdpRequests(time_point now);
    void trackReportedFlow(flow_hash hash, service_id service, time_point now);
    void checkDeviations(time_point now);
    void openDeviation(slot_id slot, time_point now);
    void openActingHome(slot_id slot, time_point now);
    void openActingHomes(time_point now);
    void maintainCopies(time_point now);
    void dropStaleCopies(time_point now);
    void streamToJoiners(time_point now);
    void assignWithJoiner(std::vector<home_candidate> candidates, instance_id joiner);
    void moveHomes(time_point now);
    void grantSlots(const std::unordered_map<slot_id, instance_id> &receivers);
    void requestHandovers(time_point now);
    void expireFlows(time_point now);
    void updateHomeShares(time_point now);

    // Membership.
    const member *findMember(instance_id id) const;
    const member *selfMember() const;
    bool isAlive(instance_id id) const;
    bool isJoinedMember() const;
    void refreshAssignment(time_point now);
    void onDomainsHealed(const std::vector<failure_domain_id> &cutBefore, time_point now);
    void onAssignmentChanged(time_point now);
    void refreshFreshness();
    void updateIsolation(time_point now);
    std::optional<instance_id> actingHome(slot_id slot) const;

    // Synchronisation.
    void beginSync(time_point now);
    void advanceSync(time_point now);
    void finishSync(time_point now);
    void discardHomes();

    // Records from peers.
    void onRecord(instance_id from, const mark_record &record, time_point now);
    void onRecord(instance_id from, const state_record &record, time_point now);
    void onRecord(instance_id from, const flow_record &record, time_point now);
    void onRecord(instance_id from, const flow_end_record &record, time_point now);
    void onRecord(instance_id from, const handover_request &record, time_point now);
    void onRecord(instance_id from, const handover_declined &record, time_point now);
    void onRecord(instance_id from, const udp_request &record, time_point now);
    void onRecord(instance_id from, const udp_report &record, time_point now);
    void onRecord(instance_id from, const udp_report_end &record, time_point now);
    void onRecord(instance_id from, const mark_sync_request &record, time_point now);
    void onRecord(instance_id from, const sync_base &record, time_point now);
    void onRecord(instance_id from, const sync_end &record, time_point now);
    void onRecord(instance_id from, const stream_end &record, time_point now);
    void takeOver(slot_home &home, time_point now);
    bool hasSlot(slot_id slot) const;

    void onFlowEnd(const tracked_flow &flow) override;
    void onFlowForgotten(const tracked_flow &flow) override;

    flow_engine_options m_options;
    admission_policy &m_admission;
    domain_predicate m_mayUseDomain;
    keyed_hash m_hash;
    time_point m_now{};

    std::shared_ptr<const route_plan> m_plan;
    cluster_view m_cluster;
    home_assignment m_assignment;
    home_assignment m_formerAssignment;
    time_point m_assignedAt{};
    std::set<instance_id> m_leavingMembers; ///< Members that announced a planned stop.
    /** Members whose marks have not been received again since a partition. */
    std::set<instance_id> m_membersWithUnknownMarks;
    /** Peers that asked for marks and are not in m_cluster yet. */
    std::set<instance_id> m_unlistedPeers;

    slot_marks m_marks;
    home_store m_store;
    peer_exchange m_exchange;
    flow_copier m_copier;
    udp_seen_set m_seenUdp;
    udp_reporter m_udpReporter;
    settled_route m_settledRoute;
    partition_signal m_partitionSignal;
    clock_jump_detector m_clock;
    sync_round m_sync;

    bool m_synchronised = false;
    bool m_homesDiscarded = false; ///< Declared dead by the peers, and has not joined again yet.
    time_point m_synchronisedAt{};
    bool m_isolated = false; ///< Other members exist, but none of their heartbeats is recent.
    bool m_hasOwnCallers = false; ///< Result of partition_signal during a partition.
    bool m_homeSharesOutdated = true;
    std::set<slot_id> m_unsettledSlots; ///< Slots of the plan that are not settled here.
    std::unordered_map<slot_id, pending_handover> m_pendingHandovers;
    std::unordered_map<slot_id, std::vector<mark_delivery>> m_markDeliveries;
    /** Slots whose former home has answered that it holds no state of the slot. */
    std::set<std::pair<slot_id, instance_id>> m_declinedHandovers;
    std::unordered_set<slot_id> m_copiesToDrop;
    /** Slots taken over since the last tick; the next tick updates their flow counts and times. */
    std::unordered_set<slot_id> m_takenOverSlots;
    home_assignment m_assignmentWithJoiner; ///< Assignment once m_assignedJoiner has joined.
    instance_id m_assignedJoiner;
    std::vector<slot_id> m_udpRequestsDue;
    std::map<instance_id, std::uint32_t> m_handledResetCounts; ///< Channel resets already handled.
    /** Joining members that were sent all flow copies they need. */
    std::set<instance_id> m_membersStreamedTo;
    /** Homes that have sent all flow copies to this instance. */
    std::set<instance_id> m_membersStreamedFrom;
    std::map<backend_server_id, time_point> m_drainingSince;
    time_point m_copiedAt{};
    time_point m_copiesCheckedAt{};
    time_point m_deviationCheckedAt{};
    time_point m_actingCheckedAt{};
    time_point m_leavingSince{};
};

} // namespace ebonyway
