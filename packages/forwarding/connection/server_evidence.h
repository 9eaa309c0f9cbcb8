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
 * Longest time until an offer is answered. A handshake takes two trips between callers and servers,
 * about 10 ms; the rest allows for a slow instance.
 */
constexpr duration AnswerTime = std::chrono::milliseconds(60);

/** How far an instance trusts a backend server with new flows, best first. */
enum class server_trust : std::uint8_t {
    Answering,
    Overdue, ///< An offer has waited longer than an answer takes.
    OnTrial, ///< Was set aside; one flow may show whether it answers again.
    SetAside, ///< Several offers in a row stayed unanswered.
};

/** Returns the stable lower-case name of a trust for logs. */
const char *serverTrustName(server_trust trust);

/** A verdict on a backend server that has changed. */
struct trust_change
{
    server_key server;
    bool setAside = false; ///< Otherwise it answers again.
    std::uint32_t silences = 0; ///< Offers in a row that stayed unanswered.
    std::uint32_t suspicions = 0; ///< All signs of silence since the last progress.
};

/**
 * Collects what callers' packets show about backend servers. An instance sees only the packets of
 * callers: a server has answered when the caller acknowledges something.
 */
class server_evidence
{
public:
    /** Takes over which servers exist and where they are; forgets the others. */
    void adopt(const directory &known);

    /** An opening packet was forwarded to the server. */
    void onOffer(server_key server, time_point now);
    /** A flow that was offered to the server has opened. */
    void onAnswer(server_key server, time_point now);
    /** An open flow of the server has made progress. */
    void onProgress(server_key server, time_point now);
    /**
     * An offer was answered after it had gone to another server: the server serves, and what was
     * held against it came from a slow link or a slow instance.
     */
    void onLateAnswer(server_key server, time_point now);
    /** An offer stayed unanswered until its caller repeated it. */
    void onSilence(server_key server, time_point now);
    /**
     * An offer stayed unanswered for AnswerTime and went to another server. On a full link answers
     * may take longer, so this becomes a sign of silence only later, by checkLateOffers().
     */
    void onLateOffer(server_key server, time_point offeredAt, time_point now);
    /** Judges late offers whose servers showed no life until callers would have repeated them. */
    void checkLateOffers(time_point now);
    /** A caller had to repeat a packet of an open flow. */
    void onRepeat(server_key server, time_point now);
    /** The server took this long to answer a request of an open flow. */
    void onAnswerTime(server_key server, duration length);
    /**
     * The caller of an offer has been gone for seconds. This counts against the server only if it
     * has answered nobody since, and is too old to be a sign that it is silent now.
     */
    void onAbandonedOffer(server_key server, time_point offeredAt, time_point now);
    /** An offer was given up without a verdict, for example because the caller went away. */
    void onWithdrawnOffer(server_key server);

    void addOpen(server_key server, int change);
    void addBusy(server_key server, int change);
    /**
     * Sets what the other instances send to the server, for how many it looks silent, and when it
     * last answered one of their callers.
     */
    void setPeerLoad(server_key server, std::uint64_t open, std::uint32_t suspicious,
                     time_point answeredAt);
    /** Sets the failure domains whose instances are all silent. */
    void setSilentDomains(std::set<std::string> domains);

    server_trust trustIn(server_key server, time_point now) const;
    /**
     * Returns whether the server seems to answer none of the flows that this instance sees. A full
     * link of this instance can look the same.
     */
    bool looksSilent(server_key server, time_point now) const;
    /**
     * Returns whether other instances may rely on looksSilent(): this instance was hardly ever
     * wrong lately.
     */
    bool confirmsSilence(server_key server, time_point now) const;
    /**
     * Returns whether the server has crashed or cannot be reached from here: it looks silent, and
     * so it does to another instance, or its whole failure domain is silent, or this instance has
     * no reason to doubt itself.
     */
    bool isSilent(server_key server, time_point now) const;
    const server_condition &condition(server_key server) const;

    /** Forgets a server, for example because it has started again. */
    void forget(server_key server);

    /** Returns the verdicts that have changed since the last call. */
    std::vector<trust_change> takeChanges();

    const std::unordered_map<server_key, server_condition> &all() const { return m_conditions; }

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
    bool isDomainSilent(server_key server, time_point now) const;
    void noteDisproof(time_point now);
    bool isOftenWrong(time_point now) const;
    std::size_t otherSuspects(server_key server, time_point now) const;

    /** Where a server belongs. */
    struct server_place
    {
        std::string failureDomain;
        std::string service;
    };

    const std::string *domainOf(server_key server) const;
    duration longestAnswer(server_key server) const;

    std::unordered_map<server_key, server_place> m_places;
    std::unordered_map<std::string, answer_time_estimate> m_answerTimes; ///< By service.
    std::unordered_map<std::string, domain_condition> m_domains;
    std::deque<late_offer> m_lateOffers; ///< Oldest first.
    std::set<std::string> m_silentDomains;
    time_point m_lastProgress; ///< Of any server.
    std::deque<time_point> m_disproved; ///< When a suspected or late server answered after all.
    std::vector<trust_change> m_changes;
};

} // namespace ebonyway
