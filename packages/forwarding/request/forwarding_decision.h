#pragma once

#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <variant>

namespace ebonyway {

/** Why a packet was not forwarded. The names are used in logs and metrics. */
enum class forwarding_refusal : std::uint8_t {
    NoRoute, ///< The desired state has no route for the address and port.
    RouteWithdrawn, ///< The route of an open flow was withdrawn.
    NoServerUsable, ///< Every backend server of the service is gone, draining or evacuated.
    Overloaded, ///< No backend server can answer before the caller's goal.
    BackendServerDead, ///< The flow's backend server has stopped answering all its flows.
    NotReady, ///< This instance has no desired state yet.
    UnknownToken, ///< The packet names a backend server that this instance has never heard of.
    Malformed, ///< The packet cannot come from a caller.
};

/** Returns the stable lower-case name of a reason. */
const char *forwardingRefusalName(forwarding_refusal reason);

/** Send the packet to the backend server, with the token in place of the packet's own. */
struct forward_packet
{
    server_key server;
    endpoint address;
    flow_token token;
};

/** Tell the caller at once that its flow is refused or has ended. */
struct reset_flow
{
    forwarding_refusal reason = forwarding_refusal::NoRoute;
};

/** Say nothing; the caller's own timer decides. */
struct drop_packet
{
    forwarding_refusal reason = forwarding_refusal::Malformed;
};

using forwarding_decision = std::variant<forward_packet, reset_flow, drop_packet>;

} // namespace ebonyway
