#pragma once

#include "request/packet.h"

#include <cstddef>
#include <span>
#include <variant>

namespace ebonyway {

struct ip_header;

/** Source and destination of the packet that an ICMP error quotes. */
struct quoted_flow
{
    endpoint source;
    endpoint destination;
    transport_protocol protocol = transport_protocol::Tcp;
};

/**
 * Parses and checks an ICMP or ICMPv6 error (unreachable, packet too big, time exceeded) that
 * quotes a TCP or UDP packet. An error must be addressed to the source of the packet that it
 * quotes; otherwise it would reach a service other than the flow's, and it is Malformed.
 */
std::variant<quoted_flow, packet_fault> parseIcmpError(const ip_header &header,
                                                       std::span<const std::byte> icmp);

} // namespace ebonyway
