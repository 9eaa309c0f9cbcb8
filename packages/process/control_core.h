#pragma once

#include "core/keyed_hash.h"
#include "process/control_action.h"
#include "process/intent_sync.h"
#include "process/load_gossip.h"
#include "process/membership.h"
#include "process/secure_datagram.h"
#include "process/singleton_work.h"
#include "process/sync_message.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonyway {

struct intent;

/** Largest engine message in bytes that fits into a datagram. */
constexpr std::size_t MaxEngineMessageSize = 1100;

/** Settings of the control core. */
struct control_settings
{
    membership_settings membership;
    std::vector<std::byte> deploymentKey;
    std::uint64_t seed = 0; ///< Seeds jitter and random choices.
};

/** Counters of the control protocol since the start. */
struct control_counters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramBytesSent = 0; ///< UDP payload.
    std::uint64_t datagramsReceived = 0; ///< Accepted ones.
    std::uint64_t datagramBytesReceived = 0;
    std::array<std::uint64_t, DatagramFaultCount> faults{}; ///< Indexed by datagram_fault.
    std::uint64_t platformCalls = 0;
    std::uint64_t syncRequests = 0;
};

/**
 * The control plane of one instance as pure logic: membership, note distribution and singleton
 * work. The process edge passes events in and carries out the actions that takeActions() returns.
 */
class control_core
{
public:
    /** The snapshots must outlive the core. */
    control_core(control_settings settings, const intent_snapshots &snapshots, time_point now);

    /** Takes a datagram received on the gossip port. Invalid ones are counted and dropped. */
    void onDatagram(const endpoint &from, std::span<const std::byte> bytes, time_point now);

    /** Answers a request received on the sync port. Fails like sync_codec::openRequest. */
    result<std::vector<std::byte>> onSyncRequest(std::span<const std::byte> bytes);

    /** Takes the response to a send_sync_request, or why there is none. */
    void onSyncResponse(std::uint64_t id, const result<std::vector<std::byte>> &response,
                        time_point now);

    /** Takes the answer to a call_platform, or why there is none. */
    void onPlatformResult(std::uint64_t id, const result<platform_answer> &outcome, time_point now);

    /** Advances time. Call it at least every 100 ms. */
    void onTick(time_point now);

    /** Takes what has to be done since the last call, in order. */
    std::vector<control_action> takeActions();

    /**
     * Sends bytes of the flow engine to a peer in one datagram. Fails with NotFound if the peer is
     * not a live member, and with LimitExceeded above MaxEngineMessageSize.
     */
    status sendEngineMessage(instance_id peer, std::span<const std::byte> bytes);

    /** Takes the result of a probe that set_probe_targets asked for. */
    void onLoadReport(const load_report &report);

    /**
     * Learns the intent in force. Call it after each adopt_note or adopt_snapshot has been folded:
     * only then the instance reports the note as adopted.
     */
    void onIntentAdopted(const intent &current);

    /** Announces that the flow engine owns its homes. */
    void announceReady(time_point now);
    /** Announces a planned stop. */
    void announceLeaving(time_point now);
    /** Announces the exit; call takeActions() and send the datagrams before exiting. */
    void announceLeft(time_point now);

    /** Returns a member's endpoints, or nullptr. Valid until the next call of any other function.
     */
    const member_profile *profileOf(instance_id id) const;

    /**
     * Returns whether this instance's view is confirmed by peers and its note is at least as high
     * as that of the peer that confirmed it.
     */
    bool isFresh() const;

    /** Why this instance has no intent and refuses traffic; empty if it has one. */
    std::optional<std::string> noSourceReason() const;

    /** Returns whether this instance watches the platform for its failure domain. */
    bool isWatcher() const;

    /** Returns whether this instance holds the lease for singleton work. */
    bool holdsLease(time_point now) const { return m_work.holdsLease(now); }

    /**
     * Returns about how many bytes the control state takes that grows with the members: their
     * records, replay windows and reports. Notes are bounded by note_history.
     */
    std::size_t stateBytes() const;

    const control_counters &counters() const { return m_counters; }
    const membership &members() const { return m_membership; }

private:
    enum class call_owner {
        IntentSync,
        SingletonWork,
        InstanceList,
    };

    void onGossip(const secure_datagram &datagram, const endpoint &from, time_point now);
    void onEngineMessage(secure_datagram &datagram);
    bool acceptSequence(const datagram_envelope &envelope);
    void answerLowIncarnation(const secure_datagram &datagram, const endpoint &from);
    void countFault(datagram_fault fault);
    void sendOrders();
    void send(datagram_kind kind, const endpoint &to, instance_id recipient,
              std::span<const std::byte> payload);
    std::vector<std::byte> composeGossip(const gossip_order &order);
    void updateRoles(time_point now);
    void updateProbeTargets();
    void syncIntent(time_point now);
    void askPeer(const peer_order &order, time_point now);
    void call(call_owner owner, platform_request request, duration timeout, time_point now);
    void askForInstances(time_point now);
    void reportNoSource(time_point now);
    void publishView();
    failure_domain_id domainId(const std::string &name) const;
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);

    control_settings m_settings;
    keyed_hash m_hash;
    datagram_codec m_datagrams;
    sync_codec m_syncCodec;
    membership m_membership;
    load_gossip m_loads;
    intent_sync m_sync;
    singleton_work m_work;
    retry_policy m_listRetry;
    std::unordered_map<instance_id, replay_window> m_windows;
    std::vector<std::pair<std::string, failure_domain_id>> m_domains;
    std::vector<std::pair<backend_server_id, std::string>> m_backendServers; ///< With domain name.
    std::vector<backend_server_id> m_probeTargets;
    std::unordered_map<std::uint64_t, call_owner> m_calls; ///< Platform calls under way, by id.
    std::uint64_t m_lastId = 0; ///< Of platform calls and sync requests.
    std::uint64_t m_syncId = 0; ///< The sync request under way.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_publishedRevision = 0;
    std::uint64_t m_rankedRevision = 0; ///< Topology revision for which the roles are known.
    bool m_isWatcher = false;
    bool m_isFirstWatcher = false; ///< Does what one instance per failure domain does.
    bool m_wasFresh = false;
    int m_lowIncarnationAnswers = 0; ///< In this tick.
    note_number m_note; ///< In force, as reported by the daemon.
    note_digest m_digest{};
    note_number m_requiredNote; ///< Note of the peer that last confirmed the view.
    time_point m_nextInstanceList;
    time_point m_nextSourceReport;
    std::string m_reportedReason;
    std::vector<control_action> m_actions;
    control_counters m_counters;
};

} // namespace ebonyway
