#pragma once

#include "core/ids.h"
#include "core/ip_address.h"

#include <compare>
#include <cstdint>

namespace ebonyway {

class keyed_hash;

/** Transport protocols that services can use; values are IP protocol numbers. */
enum class transport_protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/** Identifies a flow: always written in the direction from the caller to the service. */
struct flow_key
{
    ip_address caller;
    ip_address service;
    std::uint16_t callerPort = 0;
    std::uint16_t servicePort = 0;
    transport_protocol protocol = transport_protocol::Tcp;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the comparison with 0.
    auto operator<=>(const flow_key &) const = default;
};

/** Hashes the 5-tuple with the deployment key. The result is the same on every instance. */
flow_hash hashFlow(const flow_key &key, const keyed_hash &hash);

} // namespace ebonyway
