#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/** What an instance has seen of one backend server through the packets of its callers. */
struct server_condition
{
    std::uint32_t opening = 0; ///< Flows offered and not yet opened.
    std::uint32_t open = 0;
    std::uint32_t busy = 0; ///< Open flows whose request is not answered yet.
    std::uint32_t silences = 0; ///< Offers in a row that stayed unanswered.
    std::uint32_t failures = 0; ///< Periods set aside in a row.
    std::uint32_t suspicions = 0; ///< Signs of silence since the last progress.
    time_point firstSuspicion;
    time_point lastSuspicion;
    std::optional<time_point> oldestOffer; ///< Of the offers that wait for an answer.
    std::optional<time_point> setAsideUntil;
    bool trialUnderWay = false; ///< One flow was offered after the period set aside.
    time_point lastAnswer; ///< When a caller last showed that the server had answered.
    std::uint64_t peersOpen = 0; ///< Open flows that other instances report.
    std::uint32_t peersSuspicious = 0; ///< Other instances for which it looks silent.
    time_point peersAnsweredAt; ///< When a caller of another instance last showed an answer.
};

/** What an instance has seen of the backend servers of one failure domain together. */
struct domain_condition
{
    std::uint32_t suspicions = 0; ///< Since the last progress of any of its servers.
    server_key firstSuspect;
    bool severalSuspects = false;
    time_point lastSuspicion;
};

} // namespace ebonyway
