#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>

namespace ebonyway {

/** Identifies one attempt of a caller's request. Zero means none. */
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;

/** Attempts of one request have ids that differ below this factor only. */
constexpr std::uint64_t AttemptsPerRequest = 16;

/** Returns the number of the request that an attempt belongs to. */
constexpr std::uint64_t requestOf(attempt_id attempt)
{
    return attempt.value / AttemptsPerRequest;
}

/** A packet of a caller, with what only the two ends of the flow can read. */
struct caller_packet
{
    flow_packet header;
    server_key chosen; ///< Whose answer to the opening packet the caller took; zero in that packet.
    attempt_id attempt;
    std::uint32_t requestEnd = 0; ///< Sequence at which the request is complete.
    time_point sentAt;
};

/** A packet of a backend server, which reaches the caller directly. */
struct server_packet
{
    enum class content : std::uint8_t {
        Accepted, ///< Answers an opening packet.
        Received, ///< Acknowledges data.
        Answer, ///< The whole answer to a request.
        NotRun, ///< The server is full and has not run the request.
        Reset, ///< The server does not hold the flow.
    };

    content what = content::Accepted;
    flow_id flow;
    server_key server;
    flow_token token; ///< As in the last packet that the server has received on the flow.
    attempt_id attempt;
    std::uint32_t acknowledged = 0;
    bool closes = false; ///< A draining server ends the flow after the answer.
};

} // namespace ebonyway
