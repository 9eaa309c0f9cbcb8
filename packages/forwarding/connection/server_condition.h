#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/** State of one backend server, as inferred from the packets of its callers. */
struct server_condition
{
    std::uint32_t opening = 0; ///< Flows offered and not yet opened.
    std::uint32_t open = 0;
    std::uint32_t busy = 0; ///< Open flows with a request that is not answered yet.
    std::uint32_t silences = 0; ///< Consecutive unanswered offers.
    std::uint32_t failures = 0; ///< Consecutive periods for which it was set aside.
    std::uint32_t suspicions = 0; ///< Missing responses since the last progress.
    time_point firstSuspicion;
    time_point lastSuspicion;
    std::optional<time_point> oldestOffer; ///< When the oldest unanswered offer was made.
    std::optional<time_point> setAsideUntil;
    bool trialUnderWay = false; ///< A flow tests the server after its set-aside period.
    time_point lastAnswer; ///< When a caller's packet last acknowledged an answer of the server.
    std::uint64_t peersOpen = 0; ///< Number of flows that other instances report.
    std::uint32_t peersSuspicious = 0; ///< Number of other instances that consider it silent.
    time_point peersAnsweredAt; ///< Last answer that another instance reported.
};

/** Aggregated state of the backend servers of one failure domain. */
struct domain_condition
{
    std::uint32_t suspicions = 0; ///< Since the last progress of any of its servers.
    server_key firstSuspect;
    bool severalSuspects = false;
    time_point lastSuspicion;
};

} // namespace ebonyway
