#pragma once

#include "core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace ebonyway {

/** Bytes of the header in front of a caller's packet on the relay port. */
constexpr std::size_t RelayHeaderSize = 8;

/** Bytes of the header in front of a backend server's answer: the server's id follows. */
constexpr std::size_t RelayAnswerHeaderSize = RelayHeaderSize + 2;

/** Header of a packet that one instance relays to another (design section 4). */
struct relay_header
{
    std::uint8_t hops = 1; ///< Number of relays so far, including this one; 1 to 127.
    instance_id sender;
    std::optional<backend_server_id> answerFrom; ///< Set if the packet is an answer.

    /** Returns the size of the encoded header; the IP packet starts there. */
    std::size_t size() const { return answerFrom ? RelayAnswerHeaderSize : RelayHeaderSize; }
};

/** Encoded header, of which the first relay_header::size() bytes are sent. */
using relay_header_bytes = std::array<std::byte, RelayAnswerHeaderSize>;

/**
 * Returns the header's bytes: `E` `W`, version 1, hop count, sender id in network byte order. The
 * highest bit of the hop count marks an answer.
 */
relay_header_bytes encodeRelayHeader(const relay_header &header);

/**
 * Decodes the header at the start of a datagram; the IP packet follows it. Returns nothing if the
 * datagram is too short, starts with other bytes, has another version or a hop count of 0.
 */
std::optional<relay_header> decodeRelayHeader(std::span<const std::byte> datagram);

} // namespace ebonyway
