#pragma once

#include "forwarding/connection/cold_start_budget.h"
#include "forwarding/connection/flow_table.h"
#include "forwarding/connection/placement.h"
#include "forwarding/connection/server_evidence.h"
#include "forwarding/request/forwarding_decision.h"
#include "forwarding/version/directory.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

/** A new flow, or a further offer of one, that was given to a backend server. */
struct placement_record
{
    flow_id flow;
    std::string service;
    server_key server;
    endpoint address;
    flow_token token;
    placement_tier tier = placement_tier::Warm;
    double load = 0;
    std::size_t candidates = 0;
    std::uint32_t copy = 0; ///< How many opening packets the caller had sent before.
    std::uint64_t directorySerial = 0;
    std::uint64_t desiredVersion = 0;
};

/** A packet that was answered by a reset, or dropped before its flow opened. */
struct refusal_record
{
    flow_id flow;
    forwarding_refusal reason = forwarding_refusal::NoRoute;
    bool reset = false; ///< Otherwise the packet was dropped.
    bool opening = false;
    flow_token token;
    std::uint64_t directorySerial = 0;
    std::uint64_t desiredVersion = 0;
};

/** Receives the decisions that touch a flow, for logs and metrics. */
class forwarding_observer
{
public:
    virtual ~forwarding_observer() = default;

    virtual void onPlacement(const placement_record &record) = 0;
    virtual void onRefusal(const refusal_record &record) = 0;
    virtual void onTrustChange(const trust_change &change) = 0;
    /** The flow opened this long after its first opening packet was seen here. */
    virtual void onOpened(const flow_id &flow, server_key server, duration after) = 0;
};

/** Load of one backend server as this instance causes it. */
struct peer_server_load
{
    server_key server;
    std::uint32_t open = 0; ///< Flows, with those that have not been answered yet.
    std::uint32_t suspicious = 0; ///< Instances for which the server looks silent.
    std::chrono::milliseconds answeredAgo = NeverAnswered; ///< Since it last answered a caller.

    /** Stands for no answer, or one that is too long ago to matter. */
    static constexpr std::chrono::milliseconds NeverAnswered{0xffff};

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto age = static_cast<std::uint16_t>(std::min(answeredAgo, NeverAnswered).count());
        archive(server, open, suspicious, age);
        answeredAgo = std::chrono::milliseconds(age);
    }
};

/** An opening packet that is to be sent once more, to another backend server. */
struct further_offer
{
    flow_id flow;
    forward_packet target;
};

/** Settings of the forwarder. */
struct forwarder_options
{
    std::string failureDomain; ///< Of this instance.
    std::uint64_t seed = 0;
    std::size_t flowCapacity = 65'536;
};

/**
 * Decides what happens to each packet of a caller. Open flows follow the token in their packets;
 * only new flows are placed. Runs on a traffic thread; holds no sockets and reads no clock.
 */
class forwarder
{
public:
    forwarder(forwarder_options options, forwarding_observer &observer);

    /** Takes over new knowledge. Open flows stay where they are. */
    void adopt(std::shared_ptr<const directory> known);

    forwarding_decision decide(const flow_packet &packet, time_point now);

    /** Ends flows that fell silent and reports changed verdicts. Call it several times a second. */
    void tick(time_point now);

    /**
     * Offers flows whose backend server has not answered in time to others, before the caller
     * repeats its opening packet. Call it every few tens of milliseconds.
     */
    std::vector<further_offer> offerAgain(time_point now);

    /** Sets how many instances share the rates of cold backend servers. */
    void setInstances(std::size_t count);
    /** Sets what all other instances together send to each backend server and think of it. */
    void setPeerLoads(const std::vector<peer_server_load> &loads, time_point now);

    /** Sets the failure domains whose instances are all silent; others are preferred for new flows.
     */
    void setSilentDomains(std::set<std::string> domains);

    std::vector<peer_server_load> loads(time_point now) const;
    bool isOpening(const flow_id &flow) const;
    std::size_t flowCount() const { return m_flows.size(); }
    const server_evidence &evidence() const { return m_evidence; }

private:
    forwarding_decision decideOpening(const flow_packet &packet, time_point now);
    forwarding_decision decideOpen(const flow_packet &packet, time_point now);
    forwarding_decision offer(const flow_packet &packet, const route &to, followed_flow *record,
                              time_point now);
    forward_packet place(const flow_id &flow, const std::string &service,
                         const placement_choice &choice, std::uint32_t copy, followed_flow *record,
                         time_point now);
    bool shouldGiveUp(const flow_packet &packet, const directory_server &server, time_point now);
    forwarding_decision refuse(const flow_packet &packet, forwarding_refusal reason, bool reset);
    forwarding_decision holdOrRefuse(const flow_packet &packet, const std::string &service,
                                     followed_flow *record, time_point now);

    void follow(const flow_packet &packet, server_key server, time_point now);
    void onFirstPacketAfterOpening(const flow_packet &packet, followed_flow &record,
                                   server_key server, time_point now);
    void markOpen(const flow_packet &packet, followed_flow &record, server_key server);
    void followData(const flow_packet &packet, followed_flow &record, time_point lastSeen,
                    time_point now);
    void finish(followed_flow &record);

    placement m_placement;
    forwarding_observer &m_observer;
    std::shared_ptr<const directory> m_known;
    flow_table m_flows;
    server_evidence m_evidence;
    cold_start_budget m_coldStarts;
    time_point m_lastOfferCheck;
    time_point m_judgeOffersAfter;
    std::deque<std::pair<time_point, flow_id>> m_offers; ///< First offers, oldest first.
};

} // namespace ebonyway
