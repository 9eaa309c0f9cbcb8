#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "request/packet.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace ebonyway {

class route_plan;
struct cluster_view;

/** Reasons why a parsed packet is dropped. Each is counted separately. */
enum class drop_reason : std::uint8_t {
    UnknownService, ///< No service owns the destination address, protocol and port.
    NoIntent, ///< This instance has not adopted a release note yet.
    NoServerAvailable, ///< The service has no backend server that may receive the packet.
    PartitionSuspected, ///< The slot's home or the backend server is behind a suspected partition.
    HopLimit, ///< A first packet that has already been relayed twice.
    TableFull, ///< The flow must be tracked, but the flow table has no free entry.
    OutcomeUnknown, ///< Another backend server may know the flow; left to the caller's timeout.
    GivenUp, ///< The flow's backend server is gone, and the packet must not be answered.
};

/** Number of drop_reason values, for counters indexed by reason. */
constexpr std::size_t DropReasonCount = 8;

/** Returns the stable lower-case name used in metrics, for example "unknown_service". */
const char *dropReasonName(drop_reason reason);

/** Forward the packet unchanged to the backend server's tunnel endpoint. */
struct forward_action
{
    backend_server_id backendServer;
    bool firstPacket = false; ///< The packet starts a flow, which is counted as offered.
};

/** Relay the packet to a peer's relay port. */
struct relay_action
{
    instance_id peer;
    std::uint8_t hops = 1; ///< Hop count to write into the relay header.
};

/** Why a flow is refused or ended with a RST or ICMP error towards the caller. */
enum class refusal_reason : std::uint8_t {
    GivenUp, ///< The backend server of the flow is permanently gone.
    Overloaded, ///< No backend server has capacity. No packet of the flow has been forwarded.
};

/** Answer the caller with a TCP RST or an ICMP port unreachable. */
struct refuse_action
{
    refusal_reason reason = refusal_reason::GivenUp;
};

/** Drop the packet silently. */
struct drop_action
{
    drop_reason reason = drop_reason::UnknownService;
};

using route_decision = std::variant<forward_action, relay_action, refuse_action, drop_action>;

/** Where a packet came from. */
struct packet_origin
{
    std::uint8_t hops = 0; ///< 0 from the fabric; otherwise the relay header's hop count.
    instance_id relayedBy; ///< Meaningful only if hops > 0.
};

/**
 * Decides where packets go. Implementations perform no I/O and read no clock. Production uses
 * flow_engine; tests compare it with simpler strategies.
 */
class routing_strategy
{
public:
    virtual ~routing_strategy() = default;

    /** Adopts a newer plan. Plans with a lower or equal note number are ignored. */
    virtual void adoptPlan(std::shared_ptr<const route_plan> plan, time_point now) = 0;

    /** Replaces the view of the deployment. */
    virtual void updateCluster(const cluster_view &cluster, time_point now) = 0;

    /** Returns what to do with a packet from a caller to a service. */
    virtual route_decision route(const packet_view &packet, const packet_origin &origin,
                                 time_point now) = 0;
};

} // namespace ebonyway
