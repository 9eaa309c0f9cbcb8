#pragma once

#include "forwarding/request/datagram_buffer.h"
#include "forwarding/request/flow_packet.h"

#include <cstddef>
#include <optional>
#include <span>

namespace ebonyway::platform {

/** Length of a packet's header, and the maximum lengths of its data and of the whole packet. */
constexpr std::size_t PacketHeaderBytes = 32;
constexpr std::size_t MaxPacketDataBytes = 1'200;
constexpr std::size_t MaxPacketBytes = PacketHeaderBytes + MaxPacketDataBytes;

/** Length in bytes of the prefix that identifies the target backend server of a packet. */
constexpr std::size_t ServerPrefixBytes = 8;

/**
 * Decodes the header of a caller's packet. Returns std::nullopt if the datagram is too short or too
 * long, or if its length field is wrong. The checksum is not verified, because its key is not known
 * here.
 */
std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram);

/** Encodes the datagram that carries a caller's packet to a backend server, with a new token. */
void encodeForServer(std::span<const std::byte> packet, server_key server, flow_token token,
                     datagram_buffer &target);

/** Encodes the reset that closes the flow of a caller's packet. */
void encodeReset(const flow_packet &packet, datagram_buffer &target);

} // namespace ebonyway::platform
