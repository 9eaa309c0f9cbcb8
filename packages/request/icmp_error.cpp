#include "request/icmp_error.h"

#include "request/byte_order.h"
#include "request/checksum.h"
#include "request/ip_header.h"

namespace ebonyway {

namespace {

constexpr std::size_t IcmpHeader = 8;
constexpr std::size_t QuotedTransport = 8; // RFC 792 guarantees no more than this.

// ICMP (RFC 792) and ICMPv6 (RFC 4443) types.
constexpr int V4Unreachable = 3;
constexpr int V4TimeExceeded = 11;
constexpr int V6Unreachable = 1;
constexpr int V6PacketTooBig = 2;
constexpr int V6TimeExceeded = 3;

bool isHandledType(std::uint8_t version, int type)
{
    if (version == 4) {
        return type == V4Unreachable || type == V4TimeExceeded;
    }
    return type == V6Unreachable || type == V6PacketTooBig || type == V6TimeExceeded;
}

bool checksumIsIntact(const ip_header &header, std::span<const std::byte> icmp)
{
    internet_checksum checksum;
    if (header.version == 6) {
        checksum.addPseudoHeader(header.source, header.destination, header.protocol,
                                 static_cast<std::uint32_t>(icmp.size()));
    }
    checksum.addBytes(icmp);
    return checksum.isIntact();
}

std::variant<quoted_flow, packet_fault> readQuotedFlow(const ip_header &quoted,
                                                       std::span<const std::byte> bytes)
{
    const bool tcp = quoted.protocol == static_cast<std::uint8_t>(ip_protocol::Tcp);
    const bool udp = quoted.protocol == static_cast<std::uint8_t>(ip_protocol::Udp);
    if (!tcp && !udp) {
        return packet_fault::UnsupportedProtocol;
    }
    if (quoted.totalLength < quoted.headerLength + QuotedTransport) {
        return packet_fault::Truncated;
    }
    quoted_flow flow;
    flow.protocol = tcp ? transport_protocol::Tcp : transport_protocol::Udp;
    flow.source = {quoted.source, readU16(bytes, quoted.headerLength)};
    flow.destination = {quoted.destination, readU16(bytes, quoted.headerLength + 2)};
    return flow;
}

} // namespace

std::variant<quoted_flow, packet_fault> parseIcmpError(const ip_header &header,
                                                       std::span<const std::byte> icmp)
{
    if (icmp.size() < IcmpHeader) {
        return packet_fault::Truncated;
    }
    if (!isHandledType(header.version, std::to_integer<int>(icmp[0]))) {
        return packet_fault::UnsupportedProtocol;
    }
    if (!checksumIsIntact(header, icmp)) {
        return packet_fault::BadChecksum;
    }
    const std::span<const std::byte> quote = icmp.subspan(IcmpHeader);
    const std::variant<ip_header, packet_fault> parsed = parseQuotedIpHeader(quote);
    const auto *quoted = std::get_if<ip_header>(&parsed);
    if (quoted == nullptr) {
        return std::get<packet_fault>(parsed);
    }
    if (quoted->version != header.version || quoted->source != header.destination) {
        return packet_fault::Malformed;
    }
    return readQuotedFlow(*quoted, quote);
}

} // namespace ebonyway
