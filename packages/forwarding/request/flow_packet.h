#pragma once

#include "core/ids.h"
#include "core/ip_address.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ebonyway {

/** Identity of one boot-independent backend server entry; it selects the server behind an address.
 */
using server_key = strong_id<struct server_key_tag, std::uint64_t>;

/**
 * Names the backend server of a flow. Both ends return it in every packet, so any instance can
 * forward a packet of an open flow without having seen the flow. Zero means that no token is set.
 */
using flow_token = strong_id<struct flow_token_tag, std::uint32_t>;

/** The two ends of a flow as the caller's packets name them. */
struct flow_id
{
    endpoint caller;
    endpoint service; ///< The public address and port.

    auto operator<=>(const flow_id &) const = default; // NOLINT(modernize-use-nullptr): see ids.h
};

/** The part of a caller's packet that decides where it goes. */
struct flow_packet
{
    flow_id flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< In an opening packet: how many copies were sent before.
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
