#pragma once

#include "forwarding/request/datagram_buffer.h"
#include "forwarding/request/flow_packet.h"

#include <cstddef>
#include <optional>
#include <span>

namespace ebonyway::platform {

/** Length of a packet's header and its largest data, in bytes. */
constexpr std::size_t PacketHeaderBytes = 32;
constexpr std::size_t MaxPacketDataBytes = 1'200;
constexpr std::size_t MaxPacketBytes = PacketHeaderBytes + MaxPacketDataBytes;

/** Length of the number before a packet that names the intended backend server, in bytes. */
constexpr std::size_t ServerPrefixBytes = 8;

/**
 * Reads the header of a caller's packet. Returns nothing if the datagram is too short, too long, or
 * its length field is wrong. The checksum has a key that is not known here and is not checked.
 */
std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram);

/** Builds the datagram that carries a caller's packet, with another token, to a backend server. */
void encodeForServer(std::span<const std::byte> packet, server_key server, flow_token token,
                     datagram_buffer &target);

/** Builds the reset that ends the flow of a caller's packet. */
void encodeReset(const flow_packet &packet, datagram_buffer &target);

} // namespace ebonyway::platform
