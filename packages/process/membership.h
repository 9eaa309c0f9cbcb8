#pragma once

#include "connection/cluster_view.h"
#include "core/ip_address.h"
#include "core/keyed_hash.h"
#include "core/seeded_random.h"
#include "process/gossip_message.h"
#include "process/log_event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/** Gossip messages that an instance sends per interval. */
constexpr std::size_t GossipFanout = 2;

/**
 * Failure detection times as multiples of the gossip interval. With 240 members, 0.1% of live
 * members are silent for more than 4 intervals at any time and none for 6, so that suspecting at 4
 * is only sound in small deployments.
 */
constexpr int FreshnessIntervals = 4; ///< Silence after which a heartbeat is not fresh.
constexpr int SuspicionIntervalsSmall = 4; ///< Silence after which a member is suspected.
constexpr int SuspicionIntervals = 6; ///< The same above SmallDeployment members.
constexpr int DeathIntervals = 8; ///< Silence after which a suspected member is dead.
constexpr std::size_t SmallDeployment = 16;

/** How long a dead member stays in the view. */
constexpr std::chrono::seconds TombstoneTime{60};

/** Returns the gossip interval for a number of live members: max(500 ms, members x 4 ms). */
duration gossipInterval(std::size_t liveMembers);

/** What an instance needs to know to take part. */
struct membership_settings
{
    instance_id self;
    std::uint64_t incarnation = 0; ///< Must be higher than at any earlier start of this instance.
    member_profile profile;
    std::vector<endpoint> seeds; ///< Gossip endpoints from the settings; may include its own.
};

/** Send gossip to a member. */
struct gossip_order
{
    endpoint to;
    std::uint32_t echoedNonce = 0;
    bool withHeartbeats = true; ///< False for short answers that carry only details or the note.
    std::vector<instance_id> details; ///< Members whose details must be included.
};

struct ping_order
{
    endpoint to;
    ping_message message;
};

struct ping_request_order
{
    endpoint to;
    ping_request message;
};

struct details_request_order
{
    endpoint to;
    details_request message;
};

using membership_order =
        std::variant<gossip_order, ping_order, ping_request_order, details_request_order>;

/** One known member, including this instance itself. */
struct member_record
{
    member_details details;
    std::uint8_t check = 0; ///< profileCheck(details).
    member_state state = member_state::Joining;
    time_point lastHeard; ///< When a newer heartbeat was last learned.
    time_point silentSince; ///< Like lastHeard, but restarted when this instance was frozen or cut.
    time_point stateSince;
    std::uint8_t rumorsLeft = 0; ///< How often its details are still sent unasked.
    bool hasLeft = false; ///< The member itself said that it exits; only a restart revives it.
};

/**
 * Detects which instances are alive. Heartbeats are round numbers: in each interval an instance
 * takes max(own + 1, highest known), so that all counters stay close together and a message can
 * carry them as small ages. Silent members are suspected, pinged directly and through others, and
 * declared dead; a newer heartbeat or a higher incarnation refutes that.
 */
class membership
{
public:
    membership(membership_settings settings, const keyed_hash &hash, std::uint64_t seed,
               time_point now);

    /** Advances time. Call it at least every 100 ms. */
    void onTick(time_point now);

    /**
     * Merges a gossip message of a member. Returns false if it was ignored because this instance
     * is not synchronised and the message does not answer its ping.
     */
    bool onGossip(instance_id sender, std::uint64_t incarnation, const endpoint &from,
                  const gossip_message &message, time_point now);
    void onPing(instance_id sender, const endpoint &from, const ping_message &message,
                time_point now);
    void onPingRequest(const endpoint &from, const ping_request &message, time_point now);
    void onDetailsRequest(const endpoint &from, const details_request &message);

    /** Adds gossip endpoints that may belong to members. A hint only: nothing is believed. */
    void addHints(const std::vector<endpoint> &gossipEndpoints);

    /** Sets the state that this instance announces. Ignored once it has left. */
    void announce(announced_state state, time_point now);

    void setAdoptedNote(note_number note);

    /** Failure domains that operators have taken out of service; they are never suspected cut. */
    void setDomainsOutOfService(std::vector<std::string> names);

    /** Sends a short message with the note number to a few members at once. */
    void pushNote();
    /** Sends a short message with the note number to one endpoint. */
    void sendNoteTo(const endpoint &to);

    /** Fills the membership part of a gossip message with at most the given encoded size. */
    void fill(gossip_message &message, const gossip_order &order, std::size_t budget);

    /** Takes what is to be sent since the last call. */
    std::vector<membership_order> takeOrders();
    std::vector<log_event> takeEvents();

    /**
     * Returns whether a peer has confirmed this instance's view since it started or since its clock
     * last jumped.
     */
    bool isSynchronised() const { return m_isSynchronised; }

    const member_record *find(instance_id id) const;
    const std::vector<member_record> &members() const { return m_members; }
    const member_record &self() const;

    /** Silence beyond this limit means that a member's heartbeat is not fresh. */
    duration freshnessLimit() const;
    /** Silence beyond this limit makes a member suspect. */
    duration suspicionLimit() const;
    duration interval() const;
    std::size_t liveCount() const;
    note_number newestNote() const;

    /** Returns whether the member's heartbeat was heard within the freshness limit. */
    bool isFresh(const member_record &record, time_point now) const;

    /** Failure domains whose members all fell silent together. */
    const std::vector<std::string> &suspectedPartitions() const { return m_partitions; }

    /**
     * Ranks the Joining and Ready members of a failure domain for a task by rendezvous hashing.
     * Returns the rank of this instance, or the number of ranked members if it is not among them.
     */
    std::size_t ownRank(std::uint64_t task) const;

    /** Increases with every change that a cluster_view shows. */
    std::uint64_t revision() const { return m_revision; }

    /** Increases when a member is added or removed or changes its state. */
    std::uint64_t topologyRevision() const { return m_topologyRevision; }

private:
    struct pending_ping
    {
        std::uint32_t nonce = 0;
        instance_id target;
        std::optional<endpoint> requester; ///< Set if the ping was sent for another instance.
        time_point expires;
    };

    member_record *findMutable(instance_id id);
    member_record &ownRecord();
    void noteTime(time_point now);
    void desynchronise(time_point now);
    void resynchronise(time_point now);
    void sendResyncPings(time_point now);
    void startInterval(time_point now);
    void gossipToPeers();
    void gossipToLostMembers();
    void pingUnknownEndpoint();
    std::vector<const member_record *> reachableMembers() const;
    std::vector<const member_record *> randomReachable(std::size_t count);
    void judgeSilence(time_point now);
    void judgeMember(member_record &record, time_point now);
    bool mayDeclareDead(const member_record &record, time_point now) const;
    void findPartitions(time_point now);
    bool fellSilentTogether(const std::vector<const member_record *> &group, time_point now) const;
    bool isHeldBack(const member_record &record) const;
    void removeOldTombstones(time_point now);
    void noteTopologyChange();
    void setState(member_record &record, member_state state, time_point now);
    void heard(member_record &record, time_point now);
    void learnHeartbeat(const gossip_message &message, const heartbeat_entry &entry,
                        const endpoint &from, time_point now);
    void learnDetails(const member_details &details, time_point now);
    void learnAboutSelf(const member_details &details, time_point now);
    void addMember(const member_details &details, time_point now);
    void adoptDetails(member_record &record, const member_details &details, time_point now);
    void believeDeath(member_record &record, time_point now);
    void spread(member_record &record);
    void wantDetails(instance_id id, const endpoint &from);
    void sendDetailsRequests();
    void probe(const member_record &record, time_point now);
    bool isProberOf(instance_id id) const;
    void ping(const member_record &record, std::optional<endpoint> requester, time_point now);
    void onEcho(instance_id sender, std::uint32_t nonce, time_point now);
    void fillHeartbeats(gossip_message &message, std::size_t &budget);
    void fillDetails(gossip_message &message, const gossip_order &order, std::size_t &budget);
    void fillChecks(gossip_message &message, std::size_t &budget);
    void compareChecks(const gossip_message &message, const endpoint &from);
    heartbeat_entry entryOf(const member_record &record, const gossip_message &message) const;
    std::uint32_t newNonce();
    void report(std::string name, const member_record &record);

    membership_settings m_settings;
    keyed_hash m_hash;
    seeded_random m_random;
    std::vector<member_record> m_members; ///< Ordered by id; contains this instance.
    std::vector<endpoint> m_hints;
    std::vector<std::string> m_domainsOutOfService;
    std::vector<std::string> m_partitions; ///< Ordered by name.
    bool m_isIsolated = false; ///< All other members fell silent together.
    std::vector<membership_order> m_orders;
    std::vector<log_event> m_events;
    std::vector<pending_ping> m_pendingPings;
    std::vector<std::pair<instance_id, endpoint>> m_wantedDetails;
    std::size_t m_liveCount = 1;
    std::uint64_t m_highestRound = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_topologyRevision = 0;
    std::uint64_t m_intervalCount = 0;
    /**
     * Highest member counts that peers reported in this and in the last interval. Instances that
     * still learn members must not send and suspect faster than those that know them all.
     */
    std::size_t m_reportedCount = 0;
    std::size_t m_reportedBefore = 0;
    std::size_t m_heartbeatCursor = 0;
    std::size_t m_checkCursor = 0;
    std::uint32_t m_resyncNonce = 0;
    bool m_isSynchronised = false;
    time_point m_lastTime;
    time_point m_desynchronisedAt;
    time_point m_nextInterval;
    time_point m_nextResyncPing;
};

} // namespace ebonyway
