#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/** State of one backend server, as inferred from the packets of its callers. */
struct server_condition
{
    std::uint32_t openingFlows = 0; ///< Flows offered and not yet opened.
    std::uint32_t openFlows = 0; ///< Flows that have opened and not ended.
    std::uint32_t busyFlows = 0; ///< Open flows with a request that is not answered yet.
    double meanBusyFlows = 0; ///< Busy flows, smoothed over about a second.
    duration answerTime{}; ///< Smoothed answer time of requests; see lastAnswerTime.
    time_point lastAnswerTime; ///< When answerTime was last updated.
    std::uint32_t silences = 0; ///< Consecutive unanswered offers.
    std::uint32_t failures = 0; ///< Consecutive periods for which the server was set aside.
    std::uint32_t suspicions = 0; ///< Missing responses since the last progress.
    time_point firstSuspicion;
    time_point lastSuspicion;
    /** When the oldest unanswered offer was made, or the time of the last progress if later. */
    std::optional<time_point> oldestOffer;
    std::optional<time_point> setAsideUntil;
    time_point setAsideAt; ///< If setAsideUntil is set: when the server was first set aside.
    bool trialUnderWay = false; ///< A flow tests the server after its set-aside period.
    time_point lastAnswer; ///< When a caller's packet last acknowledged an answer of the server.
    std::uint64_t peerFlows = 0; ///< Open and opening flows reported by other instances.
    std::uint32_t suspiciousPeers = 0; ///< Other instances that consider the server silent.
    time_point lastPeerAnswer; ///< Time of the last answer that another instance reported.
};

/** Aggregated state of the backend servers of one failure domain. */
struct domain_condition
{
    std::uint32_t suspicions = 0; ///< Suspicions since any server of the domain made progress.
    server_key firstSuspect;
    bool severalSuspects = false;
    time_point lastSuspicion;
};

} // namespace ebonyway
