#pragma once

#include "core/ip_address.h"
#include "forwarding/process/store_call.h"
#include "forwarding/request/datagram_buffer.h"
#include "forwarding/request/flow_packet.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>

class ACE_Reactor;

namespace ebonyway {

/**
 * Converts between the forwarder's types and the formats that one deployment's routers, backend
 * servers and store use. Makes no forwarding decisions. The packet functions are called on traffic
 * threads and must not modify the adapter.
 */
class deployment_adapter
{
public:
    virtual ~deployment_adapter() = default;

    /** Decodes a caller's packet. Returns std::nullopt if the datagram is malformed. */
    virtual std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram) const = 0;
    /** Encodes the datagram that carries a caller's packet and the token to a backend server. */
    virtual void encodeForServer(std::span<const std::byte> packet, server_key server,
                                 flow_token token, datagram_buffer &target) const = 0;
    /** Encodes the reset that closes the flow of a caller's packet. */
    virtual void encodeReset(const flow_packet &packet, datagram_buffer &target) const = 0;

    /** Creates a client of the store. Calls and answers run on the reactor's thread. */
    virtual std::unique_ptr<store_port> connectStore(ACE_Reactor &loop, const endpoint &store,
                                                     store_port::answer_handler onAnswer) const = 0;

    /** Returns the HTTP path of the readiness check that routers poll. */
    virtual std::string readinessPath() const = 0;
};

} // namespace ebonyway
