#pragma once

#include "request/packet.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace ebonyway {

struct ip_header;

/** Control bits of a TCP header (RFC 9293 3.1). */
struct tcp_flag
{
    static constexpr std::uint8_t Fin = 0x01;
    static constexpr std::uint8_t Syn = 0x02;
    static constexpr std::uint8_t Rst = 0x04;
    static constexpr std::uint8_t Psh = 0x08;
    static constexpr std::uint8_t Ack = 0x10;
};

/** The parts of a TCP segment that RST builders and stand-ins need. Refers to the caller's bytes.
 */
struct tcp_segment
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0; ///< Bits of tcp_flag.
    std::uint16_t window = 65535;
    std::span<const std::byte> payload = {};
};

/** Ports and kind of a checked TCP or UDP header. */
struct transport_header
{
    transport_protocol protocol = transport_protocol::Tcp;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    packet_kind kind = packet_kind::Udp;
};

/** Parses and checks the TCP or UDP header, including the checksum, of a packet with this header.
 */
std::variant<transport_header, packet_fault> parseTransport(const ip_header &header,
                                                            std::span<const std::byte> transport);

/** Returns the segment of a TCP packet, or nothing for a packet of another kind. */
std::optional<tcp_segment> tcpSegmentOf(const packet_view &packet);

/** Returns the payload of a UDP packet, or nothing for a packet of another kind. */
std::optional<std::span<const std::byte>> udpPayloadOf(const packet_view &packet);

} // namespace ebonyway
