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
 * How one deployment's routers, backend servers and store speak. Translates; decides nothing. The
 * packet functions are called on traffic threads and must not change the adapter.
 */
class frame_adapter
{
public:
    virtual ~frame_adapter() = default;

    /** Reads a caller's packet. Returns nothing if the datagram is malformed. */
    virtual std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram) const = 0;
    /** Builds the datagram that carries a caller's packet, with the token, to a backend server. */
    virtual void encodeForServer(std::span<const std::byte> packet, server_key server,
                                 flow_token token, datagram_buffer &target) const = 0;
    /** Builds the reset that ends the flow of a caller's packet. */
    virtual void encodeReset(const flow_packet &packet, datagram_buffer &target) const = 0;

    /** Connects to the store. Its calls and answers run on the reactor's thread. */
    virtual std::unique_ptr<store_port> connectStore(ACE_Reactor &loop, const endpoint &store,
                                                     store_port::answer_handler onAnswer) const = 0;

    /** Path at which routers ask whether this instance takes packets. */
    virtual std::string readinessPath() const = 0;
};

} // namespace ebonyway
