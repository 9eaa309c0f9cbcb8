#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/keyed_hash.h"
#include "process/control_action.h"
#include "process/load_gossip.h"
#include "process/membership.h"
#include "process/secure_datagram.h"

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
    control_core(control_settings settings, time_point now);

    /** Takes a datagram received on the gossip port. Invalid ones are counted and dropped. */
    void onDatagram(const endpoint &from, std::span<const std::byte> bytes, time_point now);

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

    /** Learns the failure domains and backend servers of the intent in force. */
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

    /** Returns whether this instance's view and note are confirmed by peers. */
    bool isFresh() const;

    const control_counters &counters() const { return m_counters; }
    const membership &members() const { return m_membership; }

private:
    void onGossip(const secure_datagram &datagram, const endpoint &from, time_point now);
    void onEngineMessage(secure_datagram &datagram);
    bool acceptSequence(const datagram_envelope &envelope);
    void countFault(datagram_fault fault);
    void sendOrders();
    void send(datagram_kind kind, const endpoint &to, instance_id recipient,
              std::span<const std::byte> payload);
    std::vector<std::byte> composeGossip(const gossip_order &order);
    void publishView();
    failure_domain_id domainId(const std::string &name) const;
    void updateProbeTargets();
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);

    control_settings m_settings;
    keyed_hash m_hash;
    datagram_codec m_codec;
    membership m_membership;
    load_gossip m_loads;
    std::unordered_map<instance_id, replay_window> m_windows;
    std::vector<std::pair<std::string, failure_domain_id>> m_domains;
    std::vector<std::pair<backend_server_id, std::string>> m_backendServers; ///< With domain name.
    std::vector<backend_server_id> m_probeTargets;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_publishedRevision = 0;
    std::uint64_t m_rankedRevision = 0; ///< Topology revision for which probe targets are known.
    note_number m_note;
    note_digest m_digest{};
    std::vector<control_action> m_actions;
    control_counters m_counters;
};

} // namespace ebonyway
