#include "request/transport_header.h"

#include "request/byte_order.h"
#include "request/checksum.h"
#include "request/ip_header.h"

namespace ebonyway {

namespace {

using parsed_transport = std::variant<transport_header, packet_fault>;

constexpr std::size_t TcpMinimumHeader = 20;
constexpr std::size_t TcpFlagsOffset = 13;
constexpr std::size_t UdpHeader = 8;
constexpr std::size_t UdpChecksumOffset = 6;

std::size_t tcpHeaderLength(std::span<const std::byte> transport)
{
    return std::to_integer<std::size_t>(transport[12] >> 4) * 4;
}

bool checksumIsIntact(const ip_header &header, std::span<const std::byte> transport)
{
    internet_checksum checksum;
    checksum.addPseudoHeader(header.source, header.destination, header.protocol,
                             static_cast<std::uint32_t>(transport.size()));
    checksum.addBytes(transport);
    return checksum.isIntact();
}

/** SYN together with FIN or RST has no meaning in RFC 9293 and is only seen in scans. */
bool flagsAreMalformed(std::uint8_t flags)
{
    const bool syn = (flags & tcp_flag::Syn) != 0;
    return syn && (flags & (tcp_flag::Fin | tcp_flag::Rst)) != 0;
}

packet_kind kindOfTcp(std::uint8_t flags)
{
    if ((flags & tcp_flag::Rst) != 0) {
        return packet_kind::TcpRst;
    }
    if ((flags & tcp_flag::Fin) != 0) {
        return packet_kind::TcpFin;
    }
    const bool firstSyn = (flags & (tcp_flag::Syn | tcp_flag::Ack)) == tcp_flag::Syn;
    return firstSyn ? packet_kind::TcpSyn : packet_kind::TcpMidFlow;
}

transport_header readPorts(transport_protocol protocol, std::span<const std::byte> transport)
{
    transport_header header;
    header.protocol = protocol;
    header.sourcePort = readU16(transport, 0);
    header.destinationPort = readU16(transport, 2);
    return header;
}

parsed_transport parseTcp(const ip_header &header, std::span<const std::byte> transport)
{
    if (transport.size() < TcpMinimumHeader) {
        return packet_fault::Truncated;
    }
    const std::size_t length = tcpHeaderLength(transport);
    const auto flags = std::to_integer<std::uint8_t>(transport[TcpFlagsOffset]);
    if (length < TcpMinimumHeader || flagsAreMalformed(flags)) {
        return packet_fault::Malformed;
    }
    if (length > transport.size()) {
        return packet_fault::Truncated;
    }
    if (!checksumIsIntact(header, transport)) {
        return packet_fault::BadChecksum;
    }
    transport_header parsed = readPorts(transport_protocol::Tcp, transport);
    parsed.kind = kindOfTcp(flags);
    return parsed;
}

parsed_transport parseUdp(const ip_header &header, std::span<const std::byte> transport)
{
    if (transport.size() < UdpHeader) {
        return packet_fault::Truncated;
    }
    const std::size_t length = readU16(transport, 4);
    if (length < UdpHeader) {
        return packet_fault::Malformed;
    }
    if (length > transport.size()) {
        return packet_fault::Truncated;
    }
    const bool withoutChecksum = readU16(transport, UdpChecksumOffset) == 0;
    if (withoutChecksum && header.version == 6) {
        return packet_fault::BadChecksum; // RFC 8200 8.1 requires a checksum.
    }
    if (!withoutChecksum && !checksumIsIntact(header, transport.first(length))) {
        return packet_fault::BadChecksum;
    }
    transport_header parsed = readPorts(transport_protocol::Udp, transport);
    parsed.kind = packet_kind::Udp;
    return parsed;
}

std::span<const std::byte> transportOf(const packet_view &packet)
{
    const std::variant<ip_header, packet_fault> parsed = parseIpHeader(packet.bytes);
    const auto *header = std::get_if<ip_header>(&parsed);
    if (header == nullptr) {
        return {};
    }
    return packet.bytes.subspan(header->headerLength, header->totalLength - header->headerLength);
}

bool isTcp(packet_kind kind)
{
    return kind != packet_kind::Udp && kind != packet_kind::IcmpError;
}

} // namespace

std::variant<transport_header, packet_fault> parseTransport(const ip_header &header,
                                                            std::span<const std::byte> transport)
{
    if (header.protocol == static_cast<std::uint8_t>(ip_protocol::Tcp)) {
        return parseTcp(header, transport);
    }
    if (header.protocol == static_cast<std::uint8_t>(ip_protocol::Udp)) {
        return parseUdp(header, transport);
    }
    return packet_fault::UnsupportedProtocol;
}

std::optional<tcp_segment> tcpSegmentOf(const packet_view &packet)
{
    const std::span<const std::byte> transport = transportOf(packet);
    if (!isTcp(packet.kind) || transport.size() < TcpMinimumHeader) {
        return std::nullopt;
    }
    tcp_segment segment;
    segment.sequence = readU32(transport, 4);
    segment.acknowledgement = readU32(transport, 8);
    segment.flags = std::to_integer<std::uint8_t>(transport[TcpFlagsOffset]);
    segment.window = readU16(transport, 14);
    segment.payload = transport.subspan(tcpHeaderLength(transport));
    return segment;
}

std::optional<std::span<const std::byte>> udpPayloadOf(const packet_view &packet)
{
    const std::span<const std::byte> transport = transportOf(packet);
    if (packet.kind != packet_kind::Udp || transport.size() < UdpHeader) {
        return std::nullopt;
    }
    return transport.first(readU16(transport, 4)).subspan(UdpHeader);
}

} // namespace ebonyway
