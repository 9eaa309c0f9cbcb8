#pragma once

#include "core/ip_address.h"
#include "request/transport_header.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ebonyway {

/** Builds an IPv4 or IPv6 packet with one TCP segment. Both addresses must be of one version. */
std::vector<std::byte> buildTcpPacket(const endpoint &source, const endpoint &destination,
                                      const tcp_segment &segment);

/** Builds an IPv4 or IPv6 packet with one UDP datagram. Both addresses must be of one version. */
std::vector<std::byte> buildUdpPacket(const endpoint &source, const endpoint &destination,
                                      std::span<const std::byte> payload);

/** ICMP errors, independent of the IP version. */
enum class icmp_error_kind : std::uint8_t {
    PortUnreachable,
    PacketTooBig,
    TimeExceeded,
};

/**
 * Builds an ICMP or ICMPv6 error that quotes the start of a packet.
 * The quote is cut so that the error has at most 576 bytes (RFC 1812 4.3.2.3) or, for ICMPv6, 1,280
 * bytes (RFC 4443 2.4). The mtu, in bytes, is used only by PacketTooBig.
 */
std::vector<std::byte> buildIcmpError(const ip_address &source, const ip_address &destination,
                                      icmp_error_kind kind, std::span<const std::byte> quoted,
                                      std::uint32_t mtu = 0);

} // namespace ebonyway
