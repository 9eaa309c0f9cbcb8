#pragma once

#include "forwarding/connection/cold_start_quota.h"
#include "forwarding/connection/demand_meter.h"
#include "forwarding/connection/deployment_load.h"
#include "forwarding/connection/flow_admission.h"
#include "forwarding/connection/flow_table.h"
#include "forwarding/connection/placement.h"
#include "forwarding/connection/server_evidence.h"
#include "forwarding/connection/server_pace.h"
#include "forwarding/connection/shared_load.h"
#include "forwarding/request/forwarding_decision.h"
#include "forwarding/version/directory.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

/** Describes an offer of a new flow to a backend server; a flow can be offered several times. */
struct placement_record
{
    flow_id flow;
    std::string service;
    server_key server;
    endpoint address;
    flow_token token;
    placement_tier tier = placement_tier::Warm;
    double load = 0;
    duration wait{}; ///< Expected time until an answer; zero if it was not estimated.
    std::size_t candidates = 0;
    std::uint32_t copy = 0; ///< Number of opening packets that the caller had sent before.
    std::uint64_t directorySerial = 0;
    std::uint64_t desiredVersion = 0;
};

/** Describes a packet that was dropped or answered with a reset. */
struct refusal_record
{
    flow_id flow;
    forwarding_refusal reason = forwarding_refusal::NoRoute;
    bool reset = false; ///< True if the caller was sent a reset, false if the packet was dropped.
    bool opening = false;
    flow_token token;
    std::uint64_t directorySerial = 0;
    std::uint64_t desiredVersion = 0;
};

/** Receives forwarding decisions and changes of server trust, for logs and metrics. */
class forwarding_observer
{
public:
    virtual ~forwarding_observer() = default;

    virtual void onPlacement(const placement_record &record) = 0;
    virtual void onRefusal(const refusal_record &record) = 0;
    virtual void onTrustChange(const trust_change &change) = 0;
    virtual void onPaceChange(const pace_change &change) = 0;
    /** `service` is the name of the service. */
    virtual void onAdmissionChange(const std::string &service, const admission_change &change) = 0;
    /** Called when a flow opens. `after` is the time since this instance saw its first packet. */
    virtual void onOpened(const flow_id &flow, server_key server, duration after) = 0;
};

/** Load that an instance puts on one backend server; exchanged between instances. */
struct peer_server_load
{
    server_key server;
    std::uint32_t flowCount = 0; ///< Number of open and opening flows.
    std::uint32_t suspiciousInstances = 0; ///< Number of instances that consider the server silent.
    std::chrono::milliseconds answeredAgo = NeverAnswered; ///< Time since the last answer.
    double underWay = 0; ///< Mean number of unanswered requests, over the last second.
    duration answerTime{}; ///< Mean answer time of the last two seconds; zero if there is none.

    /** Value of answeredAgo if the server has not answered recently. */
    static constexpr std::chrono::milliseconds NeverAnswered{0xffff};

    static constexpr double UnderWayScale = 16;

    /** Encodes the load of one instance in 16 bytes. Figures above the range are cut off. */
    template <class Archive>
    void serialize(Archive &archive)
    {
        constexpr std::uint32_t MaxCount = 0xffff;
        auto age = static_cast<std::uint16_t>(std::min(answeredAgo, NeverAnswered).count());
        auto flows = static_cast<std::uint16_t>(std::min(flowCount, MaxCount));
        auto suspicious = static_cast<std::uint8_t>(suspiciousInstances > 0 ? 1 : 0);
        auto waiting = encodeFigure<std::uint8_t>(underWay, UnderWayScale);
        auto answer = encodeFigure<std::uint16_t>(
                std::chrono::duration<double, std::milli>(answerTime).count(), 1);
        archive(server, flows, suspicious, age, waiting, answer);
        underWay = waiting / UnderWayScale;
        answerTime = std::chrono::milliseconds(answer);
        flowCount = flows;
        suspiciousInstances = suspicious;
        answeredAgo = std::chrono::milliseconds(age);
    }
};

/** An opening packet to be sent again, to another backend server. */
struct further_offer
{
    flow_id flow;
    forward_packet target;
};

struct forwarder_options
{
    std::string failureDomain; ///< Failure domain of this instance.
    std::uint64_t seed = 0;
    std::size_t flowCapacity = 65'536;
    std::string instance{}; ///< Name of this instance.
};

/** Load of one service as this instance sees it, for metrics. */
struct service_load_figures
{
    std::string service;
    double slots = 0; ///< Of the servers in reach that take new flows.
    double demand = 0; ///< In slots, of all callers.
    double pressure = 0; ///< Requests under way per slot.
    double ownDomainShare = 1; ///< Share of new flows that stay in this failure domain.
    double leastAdmitted = 1; ///< Lowest share of callers let through on any route here.
};

/**
 * Decides what happens to each packet of a caller. Packets of open flows go to the server that
 * their token names; for new flows, a server is chosen. Runs on a traffic thread; uses no sockets
 * and receives the time as a parameter.
 */
class forwarder
{
public:
    forwarder(const forwarder_options &options, forwarding_observer &observer);

    /** Replaces the directory of servers and routes. Open flows keep their servers. */
    void adopt(std::shared_ptr<const directory> newDirectory, time_point now);

    forwarding_decision decide(const flow_packet &packet, time_point now);

    /** Ends idle flows and reports changes of server trust. Call it several times a second. */
    void tick(time_point now);

    /**
     * Offers flows whose backend server has not answered within OfferTimeout to another server of
     * the tier Warm, if there is one, before the caller retransmits the opening packet. Call it
     * every 20 ms.
     */
    std::vector<further_offer> offerAgain(time_point now);

    /** Sets the names of the known instances, including this one, by failure domain. */
    void setInstances(std::map<std::string, std::vector<std::string>> instances, time_point now);
    /** Sets the load that the instances share; placement and admission follow it. */
    void setSharedLoad(const shared_load &shared, time_point now);
    /**
     * Sets the number of the round in which the same callers are refused during an overload. It
     * must be nearly the same at all instances.
     */
    void setRefusalRound(std::uint64_t round) { m_refusalRound = round; }
    /** Sets the load and suspicions that all other instances together report for each server. */
    void setPeerLoads(const std::vector<peer_server_load> &loads, time_point now);

    /** Sets the failure domains whose instances are all silent. New flows prefer other domains. */
    void setSilentDomains(std::set<std::string> domains);

    std::vector<peer_server_load> loads(time_point now) const;
    /** Returns the demand at this instance, to be reported to the others. */
    std::vector<service_demand> demands() const { return m_meter.demands(); }
    std::vector<service_load_figures> serviceLoads() const;
    bool isOpening(const flow_id &flow) const;
    std::size_t flowCount() const { return m_flows.size(); }
    const server_evidence &evidence() const { return m_evidence; }

private:
    forwarding_decision decideOpening(const flow_packet &packet, time_point now);
    forwarding_decision decideOpen(const flow_packet &packet, time_point now);
    forwarding_decision offer(const flow_packet &packet, const route &to, flow_table_entry *record,
                              time_point now);
    forward_packet place(const flow_id &flow, const std::string &service,
                         const placement_choice &choice, std::uint32_t copy,
                         flow_table_entry *record, time_point now);
    bool shouldResetFlow(const flow_packet &packet, const directory_server &server, time_point now);
    forwarding_decision refuse(const flow_packet &packet, forwarding_refusal reason, bool reset);
    forwarding_decision deferOrRefuse(const flow_packet &packet, const std::string &service,
                                      flow_table_entry *record, time_point now);

    /** Returns the usual answer time of the server's service; zero if unknown. */
    duration usualAnswerTime(server_key server) const;
    /** Returns whether admission refuses the new flow; counts it if so. */
    bool isShed(const flow_packet &packet, const route &to, const std::string &service);
    placement_inputs inputs() { return {*m_directory, m_evidence, m_load, m_pace, m_coldStarts}; }
    /** Begins the slow start of servers that were added or have restarted. */
    void beginSlowStarts(const directory &newDirectory, time_point now);

    void trackFlow(const flow_packet &packet, server_key server, time_point now);
    void onFirstPacketAfterOpening(const flow_packet &packet, flow_table_entry &record,
                                   server_key server, time_point now);
    void markOpen(const flow_packet &packet, flow_table_entry &record, server_key server);
    void trackData(const flow_packet &packet, flow_table_entry &record, time_point lastSeen,
                   time_point now);
    void onAnswerTime(const flow_table_entry &record, time_point now);
    void endRequest(flow_table_entry &record);
    /** Ends requests that were not answered in the time that answers take. */
    void expireRequests(time_point now);
    void finish(flow_table_entry &record);
    /** Ends the flow of an entry and prepares it for a new flow from the same port. */
    void reuse(flow_table_entry &record, time_point now);

    placement m_placement;
    forwarding_observer &m_observer;
    std::shared_ptr<const directory> m_directory;
    flow_table m_flows;
    server_evidence m_evidence;
    cold_start_quota m_coldStarts;
    server_pace m_pace;
    deployment_load m_load;
    demand_meter m_meter;
    flow_admission m_admission;
    std::string m_failureDomain;
    std::uint64_t m_refusalRound = 0;
    std::set<std::string> m_silentDomains;
    time_point m_lastOfferCheck;
    time_point m_offerChecksResumeAt;
    /** Offers that were not yet checked for a timeout, oldest first. */
    std::deque<std::pair<time_point, flow_id>> m_offers;
    /** Requests that may be unanswered, oldest first. */
    std::deque<std::pair<time_point, flow_id>> m_requests;
};

} // namespace ebonyway
