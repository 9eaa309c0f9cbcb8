#pragma once

#include "core/time.h"
#include "forwarding/connection/server_condition.h"
#include "forwarding/request/flow_packet.h"

#include <chrono>
#include <unordered_map>
#include <vector>

namespace ebonyway {

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
};

/**
 * Collects what callers' packets show about backend servers. An instance sees only the packets of
 * callers: a server has answered when the caller acknowledges something.
 */
class server_evidence
{
public:
    /** An opening packet was forwarded to the server. */
    void onOffer(server_key server, time_point now);
    /** A flow that was offered to the server has opened. */
    void onAnswer(server_key server, time_point now);
    /** An open flow of the server has made progress. */
    void onProgress(server_key server, time_point now);
    /** An offer stayed unanswered. */
    void onSilence(server_key server, time_point now);
    /** An offer was given up without a verdict, for example because the caller went away. */
    void onWithdrawnOffer(server_key server);

    void addOpen(server_key server, int change);
    void addBusy(server_key server, int change);
    void setPeerLoad(server_key server, std::uint64_t busy, std::uint64_t open);

    server_trust trustIn(server_key server, time_point now) const;
    const server_condition &condition(server_key server) const;

    /** Forgets a server, for example because it has started again. */
    void forget(server_key server);

    /** Returns the verdicts that have changed since the last call. */
    std::vector<trust_change> takeChanges();

    const std::unordered_map<server_key, server_condition> &all() const { return m_conditions; }

private:
    std::unordered_map<server_key, server_condition> m_conditions;
    std::vector<trust_change> m_changes;
};

} // namespace ebonyway
