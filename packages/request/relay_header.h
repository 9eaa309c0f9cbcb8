#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/ids.h"

namespace ebonyway {

/** Bytes of the header in front of an IP packet on the relay port. */
constexpr std::size_t RelayHeaderSize = 8;

/** Header of a packet that one instance relays to another (design section 4). */
struct relay_header
{
    std::uint8_t hops = 1; ///< Number of relays so far, including this one; never 0.
    instance_id sender;
};

/** Returns the header's bytes: `E` `W`, version 1, hop count, sender id in network byte order. */
std::array<std::byte, RelayHeaderSize> encodeRelayHeader(const relay_header &header);

/**
 * Decodes the header at the start of a datagram; the IP packet follows it. Returns nothing if the
 * datagram is too short, starts with other bytes, has another version or a hop count of 0.
 */
std::optional<relay_header> decodeRelayHeader(std::span<const std::byte> datagram);

} // namespace ebonyway
