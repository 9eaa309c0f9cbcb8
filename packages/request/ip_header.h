#pragma once

#include "core/ip_address.h"
#include "request/packet.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace ebonyway {

/** IP protocol numbers that the parser treats specially (IANA "Protocol Numbers"). */
enum class ip_protocol : std::uint8_t {
    HopByHopOptions = 0,
    Icmp = 1,
    Tcp = 6,
    Udp = 17,
    RoutingHeader = 43,
    FragmentHeader = 44,
    IcmpV6 = 58,
    DestinationOptions = 60,
};

/** The parts of an IPv4 or IPv6 header, with its extension headers, that routing needs. */
struct ip_header
{
    ip_address source;
    ip_address destination;
    std::uint8_t version = 4;
    std::uint8_t protocol = 0; ///< Protocol after all extension headers.
    std::size_t headerLength = 0; ///< Bytes before the transport header.
    std::size_t totalLength = 0; ///< Bytes of the whole packet without trailing padding.
};

/**
 * Parses and checks the IP header of a whole packet. Refuses fragments, IPv4-mapped addresses in
 * IPv6 (they would alias IPv4 services) and sources that cannot be answered.
 */
std::variant<ip_header, packet_fault> parseIpHeader(std::span<const std::byte> bytes);

/**
 * Parses the IP header of a packet that is quoted in an ICMP error. The quote may be cut short
 * after the transport ports, so totalLength is at most the number of quoted bytes, and a first
 * fragment is accepted. The IPv4 header checksum is not checked: the ICMP checksum covers it, and
 * some routers quote a header that they have already changed.
 */
std::variant<ip_header, packet_fault> parseQuotedIpHeader(std::span<const std::byte> bytes);

} // namespace ebonyway
