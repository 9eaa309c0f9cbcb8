#pragma once

#include "core/ids.h"
#include "core/ip_address.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ebonyway {

/**
 * Identifies a backend server entry across restarts of the server; selects the server behind an
 * address.
 */
using server_key = strong_id<struct server_key_tag, std::uint64_t>;

/**
 * Identifies the backend server of a flow. Both ends include it in every packet, so any instance
 * can forward packets of an open flow without any state of the flow. Zero means that no token is
 * set.
 */
using flow_token = strong_id<struct flow_token_tag, std::uint32_t>;

/** Source and destination endpoints of the caller's packets. */
struct flow_id
{
    endpoint caller;
    endpoint service; ///< The public address and port.

    auto operator<=>(const flow_id &) const = default; // NOLINT(modernize-use-nullptr): see ids.h
};

/** The header fields of a caller's packet that are needed to forward it. */
struct flow_packet
{
    flow_id flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< In an opening packet: number of copies sent before.
    std::uint16_t dataLength = 0; ///< Bytes.
    bool opens = false; ///< SYN
    bool acknowledges = false; ///< ACK
    bool finishes = false; ///< FIN
    bool resets = false; ///< RST
    flow_token token;
};

} // namespace ebonyway

template <>
struct std::hash<ebonyway::flow_id>
{
    std::size_t operator()(const ebonyway::flow_id &flow) const noexcept
    {
        const auto callerHash =
                XXH3_64bits_withSeed(flow.caller.address.bytes.data(),
                                     flow.caller.address.bytes.size(), flow.caller.port);
        return XXH3_64bits_withSeed(flow.service.address.bytes.data(),
                                    flow.service.address.bytes.size(),
                                    callerHash ^ flow.service.port);
    }
};
