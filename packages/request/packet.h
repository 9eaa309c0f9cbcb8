#pragma once

#include "request/flow_key.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace ebonyway {

/** Reasons for which a packet cannot be assigned to a flow. Each is counted separately. */
enum class packet_fault : std::uint8_t {
    Truncated, ///< Shorter than its headers or its length field say.
    Malformed, ///< A header field has an impossible value.
    Fragment, ///< Only the first fragment has ports; fragments are not reassembled.
    BadChecksum, ///< IPv4 header, TCP, UDP or ICMP checksum.
    UnsupportedProtocol, ///< Neither TCP, UDP nor an ICMP error that quotes a flow.
};

/** Number of packet_fault values, for counters indexed by fault. */
constexpr std::size_t PacketFaultCount = 5;

/** Returns the stable lower-case name used in metrics, for example "bad_checksum". */
const char *packetFaultName(packet_fault fault);

/** How a packet relates to the life of its flow. */
enum class packet_kind : std::uint8_t {
    TcpSyn, ///< SYN without ACK: may start a flow.
    TcpMidFlow, ///< Any other TCP packet without FIN or RST.
    TcpFin,
    TcpRst,
    Udp, ///< UDP has no start marker.
    IcmpError, ///< Quotes a packet of the flow in key.
};

/** A parsed packet. Refers to the caller's bytes and must not outlive them. */
struct packet_view
{
    flow_key key; ///< Normalised to the direction from the caller to the service.
    packet_kind kind = packet_kind::Udp;
    std::span<const std::byte> bytes; ///< The whole IP packet without trailing padding.
};

/** Direction in which a packet travels; an answer has the service as its source. */
enum class packet_direction : std::uint8_t {
    ToService,
    ToCaller,
};

/**
 * Parses and checks an IPv4 or IPv6 packet with TCP, UDP or an ICMP error.
 * The key is normalised by the direction: for ToCaller the packet's source is the service. An ICMP
 * error travelling ToService quotes a packet that the service sent to the caller, and the reverse.
 */
std::variant<packet_view, packet_fault> parsePacket(std::span<const std::byte> bytes,
                                                    packet_direction direction);

/**
 * Builds the TCP RST that answers the given ToService packet as if the service had sent it.
 * Follows RFC 9293 3.10.7.1 for sequence numbers. Returns an empty vector for anything that
 * must not be answered by RST (not TCP, or itself a RST).
 */
std::vector<std::byte> buildTcpReset(const packet_view &packet);

/**
 * Builds the TCP RST to the backend server that ends the flow of a ToService packet at that server.
 * It repeats the packet's own sequence number. Returns an empty vector for anything but TCP.
 */
std::vector<std::byte> buildForwardTcpReset(const packet_view &packet);

/**
 * Builds an ICMP or ICMPv6 port unreachable message to the caller that quotes the given ToService
 * packet. Returns an empty vector for ICMP errors, which must not be answered by ICMP.
 */
std::vector<std::byte> buildPortUnreachable(const packet_view &packet);

} // namespace ebonyway
