#pragma once

#include "connection/answer_decision.h"
#include "connection/routing_strategy.h"

namespace ebonyway {

/** Decides packets for one traffic thread; all calls come from that thread. */
class packet_decider
{
public:
    virtual ~packet_decider() = default;

    /** Decides a packet from a caller. */
    virtual route_decision decide(const packet_view &packet, const packet_origin &origin,
                                  time_point now) = 0;

    /** Decides an answer of a backend server. */
    virtual answer_decision decideAnswer(const packet_view &packet, backend_server_id sender,
                                         const packet_origin &origin, time_point now) = 0;
};

} // namespace ebonyway
