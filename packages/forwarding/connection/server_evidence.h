#pragma once

#include "core/time.h"
#include "forwarding/connection/answer_time_estimate.h"
#include "forwarding/connection/server_condition.h"
#include "forwarding/request/flow_packet.h"
#include "forwarding/version/directory.h"

#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/**
 * How long an offer may take to be answered. The handshake takes two trips between caller and
 * server, about 10 ms; the rest allows for a slow instance.
 */
constexpr duration OfferTimeout = std::chrono::milliseconds(60);

/** Whether a backend server is expected to answer new flows, best first. */
enum class server_trust : std::uint8_t {
    Answering,
    /**
     * The server is not set aside, but it has not answered an offer within OfferTimeout, or the
     * server or its failure domain looks silent.
     */
    Overdue,
    OnTrial, ///< The set-aside period is over; one flow may test whether the server answers.
    SetAside, ///< New flows avoid the server for a period, after unanswered offers or silence.
};

/** Returns the lower-case name of a trust level as it appears in logs. */
const char *serverTrustName(server_trust trust);

/** Reports that a backend server was set aside or answers again. */
struct trust_change
{
    server_key server;
    bool setAside = false; ///< False if the server answers again.
    std::uint32_t silences = 0; ///< Consecutive unanswered offers.
    std::uint32_t suspicions = 0; ///< Missing responses since the last progress.
    /** If it answers again: it has answered other instances meanwhile, so it was never away. */
    bool answeredOthers = false;
};

/**
 * Detects unresponsive backend servers. An instance sees only the packets that callers send, not
 * the answers; a server has answered when a caller acknowledges new data.
 */
class server_evidence
{
public:
    /** Updates the set of servers and their failure domains; drops the state of removed servers. */
    void adopt(const directory &serverDirectory);

    /** An opening packet was forwarded to the server. */
    void onOffer(server_key server, time_point now);
    /** A flow that was offered to the server has opened. */
    void onAnswer(server_key server, time_point now);
    /** An open flow of the server has made progress. */
    void onProgress(server_key server, time_point now);
    /**
     * An offer was answered after the flow had been offered to another server. The server works;
     * the suspicions against it were caused by a slow link or a slow instance.
     */
    void onLateAnswer(server_key server, time_point now);
    /** An offer was unanswered until its caller retransmitted the opening packet. */
    void onSilence(server_key server, time_point now);
    /**
     * An offer was unanswered for OfferTimeout, so the flow was offered to another server. Answers
     * may take longer on a saturated link, so this raises a suspicion only later, in
     * checkLateOffers().
     */
    void onLateOffer(server_key server, time_point offeredAt, time_point now);
    /**
     * Suspects the servers of late offers that have answered nothing by the time at which callers
     * retransmit.
     */
    void checkLateOffers(time_point now);
    /** A caller has retransmitted a packet of an open flow. */
    void onRetransmission(server_key server, time_point now);
    /** The server took this long to answer a request of an open flow. */
    void onAnswerTime(server_key server, duration length, time_point now);
    /** Returns a time that few answers of any service exceed. */
    duration longestAnswerTime() const;
    /** Updates the mean number of busy flows of each server; call it every 200 ms. */
    void tick();
    /**
     * An offer has expired unanswered. The offer counts as unanswered only if the server has
     * answered no caller since the offer. It raises no suspicion: it is seconds old and does not
     * show that the server is silent now.
     */
    void onAbandonedOffer(server_key server, time_point offeredAt, time_point now);
    /** An offer has ended without showing whether the server works. */
    void onWithdrawnOffer(server_key server);

    void addOpenFlows(server_key server, int change);
    void addBusyFlows(server_key server, int change);
    /**
     * Sets the number of flows that other instances send to the server, the number of instances
     * that consider it silent, and when it last answered one of their callers.
     */
    void setPeerLoad(server_key server, std::uint64_t flowCount, std::uint32_t suspiciousInstances,
                     time_point answeredAt);
    /** Sets the failure domains whose instances are all silent. */
    void setSilentDomains(std::set<std::string> domains);

    server_trust trustIn(server_key server, time_point now) const;
    /**
     * Returns whether the server seems to answer none of the flows that this instance sees. A
     * saturated link of this instance can have the same effect.
     */
    bool looksSilent(server_key server, time_point now) const;
    /**
     * Returns whether the server looks silent and this instance had few false suspicions recently.
     * Only then is the silence reported to other instances.
     */
    bool confirmsSilence(server_key server, time_point now) const;
    /**
     * Returns whether the server is considered crashed or unreachable from this instance. The
     * server must look silent, the first suspicion must not be too recent, and one of these must
     * hold: another instance considers the server silent; all instances of its failure domain are
     * silent; or this instance had few false suspicions recently and suspects at most one other
     * server. For a limited time, an answer that another instance reports overrides all of this.
     */
    bool isSilent(server_key server, time_point now) const;
    const server_condition &condition(server_key server) const;

    /** Drops the state of a server, for example because it has restarted. */
    void forget(server_key server);

    /** Returns and clears the trust changes since the last call. */
    std::vector<trust_change> takeChanges();

    const std::unordered_map<server_key, server_condition> &conditions() const
    {
        return m_conditions;
    }

private:
    std::unordered_map<server_key, server_condition> m_conditions;
    struct late_offer
    {
        time_point offeredAt;
        server_key server;
    };

    void countSilence(server_key server, time_point now);
    void suspect(server_key server, time_point now);
    void setAside(server_key server, server_condition &state, time_point now);
    /** Returns whether several servers of the failure domain are suspected and none answers. */
    bool domainLooksSilent(server_key server, time_point now) const;
    void recordFalseSuspicion(time_point now);
    bool hasManyFalseSuspicions(time_point now) const;
    std::size_t countOtherSuspects(server_key server, time_point now) const;

    /** Failure domain and service of a server. */
    struct server_location
    {
        std::string failureDomain;
        std::string service;
    };

    const std::string *domainOf(server_key server) const;
    duration answerTimeBound(server_key server) const;

    std::unordered_map<server_key, server_location> m_locations;
    std::unordered_map<std::string, answer_time_estimate> m_answerTimes; ///< By service.
    std::unordered_map<std::string, domain_condition> m_domains;
    std::deque<late_offer> m_lateOffers; ///< Oldest first.
    std::set<std::string> m_silentDomains;
    time_point m_lastProgress; ///< When any server last made progress.
    /** Times at which suspected servers, or servers with a late offer, answered. Oldest first. */
    std::deque<time_point> m_falseSuspicions;
    std::vector<trust_change> m_changes;
};

} // namespace ebonyway
