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
    Overloaded, ///< Each backend server is at a limit or was already offered the flow.
    BackendServerDead, ///< The backend server of the flow answers none of its flows.
    NotReady, ///< This instance has no desired state yet.
    UnknownToken, ///< No backend server in the directory has the token of the packet.
    Malformed, ///< Callers never send a packet like this.
    LoadShed, ///< The service cannot serve all that is asked for; see flow_admission.
};

/** Returns the lower-case name of a reason as it appears in logs and metrics. */
const char *forwardingRefusalName(forwarding_refusal reason);

/** Forward the packet to the backend server with its token replaced by this one. */
struct forward_packet
{
    server_key server;
    endpoint address;
    flow_token token;
};

/** Send the caller a reset: its flow is refused or has ended. */
struct reset_flow
{
    forwarding_refusal reason = forwarding_refusal::NoRoute;
};

/** Drop the packet without an answer; the caller retransmits or times out. */
struct drop_packet
{
    forwarding_refusal reason = forwarding_refusal::Malformed;
};

using forwarding_decision = std::variant<forward_packet, reset_flow, drop_packet>;

} // namespace ebonyway
