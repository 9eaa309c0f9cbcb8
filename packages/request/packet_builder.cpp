#include "request/packet_builder.h"

#include "core/precondition.h"
#include "request/byte_order.h"
#include "request/checksum.h"
#include "request/ip_header.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

constexpr std::size_t V4Header = 20;
constexpr std::size_t V6Header = 40;
constexpr std::size_t TcpHeader = 20;
constexpr std::size_t UdpHeader = 8;
constexpr std::size_t IcmpHeader = 8;
constexpr std::size_t MaximumTransport = 65535 - V4Header;
constexpr std::size_t V4MaximumError = 576;
constexpr std::size_t V6MaximumError = 1280;
constexpr std::uint8_t HopLimit = 64; // Default of RFC 1700.
constexpr std::uint16_t V4DontFragment = 0x4000; // Makes identification 0 valid (RFC 6864 4.1).

/** A packet under construction: the IP header is written, the transport part is still zero. */
struct packet_draft
{
    std::vector<std::byte> bytes;
    std::size_t headerLength = 0;

    std::span<std::byte> transport() { return std::span(bytes).subspan(headerLength); }
};

void copyAddress(const ip_address &address, std::size_t skipped, std::span<std::byte> target)
{
    std::transform(address.bytes.begin() + skipped, address.bytes.end(), target.begin(),
                   [](std::uint8_t b) { return static_cast<std::byte>(b); });
}

packet_draft draftV4(const ip_address &source, const ip_address &destination, ip_protocol protocol,
                     std::size_t transportLength)
{
    packet_draft draft{std::vector<std::byte>(V4Header + transportLength), V4Header};
    const std::span<std::byte> header = std::span(draft.bytes).first(V4Header);
    header[0] = std::byte{0x45};
    writeU16(header, 2, static_cast<std::uint16_t>(draft.bytes.size()));
    writeU16(header, 6, V4DontFragment);
    header[8] = std::byte{HopLimit};
    header[9] = static_cast<std::byte>(protocol);
    writeU32(header, 12, source.toV4());
    writeU32(header, 16, destination.toV4());
    internet_checksum checksum;
    checksum.addBytes(header);
    writeU16(header, 10, checksum.value());
    return draft;
}

packet_draft draftV6(const ip_address &source, const ip_address &destination, ip_protocol protocol,
                     std::size_t transportLength)
{
    packet_draft draft{std::vector<std::byte>(V6Header + transportLength), V6Header};
    const std::span<std::byte> header = std::span(draft.bytes).first(V6Header);
    header[0] = std::byte{0x60};
    writeU16(header, 4, static_cast<std::uint16_t>(transportLength));
    header[6] = static_cast<std::byte>(protocol);
    header[7] = std::byte{HopLimit};
    copyAddress(source, 0, header.subspan(8));
    copyAddress(destination, 0, header.subspan(24));
    return draft;
}

packet_draft draftPacket(const ip_address &source, const ip_address &destination,
                         ip_protocol protocol, std::size_t transportLength)
{
    if (source.isV4()) {
        return draftV4(source, destination, protocol, transportLength);
    }
    return draftV6(source, destination, protocol, transportLength);
}

std::uint16_t transportChecksum(const ip_address &source, const ip_address &destination,
                                ip_protocol protocol, std::span<const std::byte> transport)
{
    internet_checksum checksum;
    if (protocol != ip_protocol::Icmp) {
        checksum.addPseudoHeader(source, destination, static_cast<std::uint8_t>(protocol),
                                 static_cast<std::uint32_t>(transport.size()));
    }
    checksum.addBytes(transport);
    return checksum.value();
}

struct icmp_type_code
{
    std::uint8_t type = 0;
    std::uint8_t code = 0;
};

icmp_type_code typeCodeOf(icmp_error_kind kind, bool v4)
{
    switch (kind) {
    case icmp_error_kind::PortUnreachable:
        return v4 ? icmp_type_code{3, 3} : icmp_type_code{1, 4};
    case icmp_error_kind::PacketTooBig:
        return v4 ? icmp_type_code{3, 4} : icmp_type_code{2, 0};
    case icmp_error_kind::TimeExceeded:
        return v4 ? icmp_type_code{11, 0} : icmp_type_code{3, 0};
    }
    return {};
}

void writeMtu(std::span<std::byte> icmp, bool v4, std::uint32_t mtu)
{
    if (v4) {
        writeU16(icmp, 6, static_cast<std::uint16_t>(std::min<std::uint32_t>(mtu, 0xffff)));
    } else {
        writeU32(icmp, 4, mtu);
    }
}

} // namespace

std::vector<std::byte> buildTcpPacket(const endpoint &source, const endpoint &destination,
                                      const tcp_segment &segment)
{
    EBONYWAY_FAIL_IF_V(source.address.isV4() != destination.address.isV4(), {},
                       "source and destination are of different IP versions");
    EBONYWAY_FAIL_IF_V(segment.payload.size() > MaximumTransport - TcpHeader, {},
                       "the payload does not fit into one packet");
    packet_draft draft = draftPacket(source.address, destination.address, ip_protocol::Tcp,
                                     TcpHeader + segment.payload.size());
    const std::span<std::byte> tcp = draft.transport();
    writeU16(tcp, 0, source.port);
    writeU16(tcp, 2, destination.port);
    writeU32(tcp, 4, segment.sequence);
    writeU32(tcp, 8, segment.acknowledgement);
    tcp[12] = std::byte{TcpHeader / 4 << 4};
    tcp[13] = std::byte{segment.flags};
    writeU16(tcp, 14, segment.window);
    std::copy(segment.payload.begin(), segment.payload.end(), tcp.begin() + TcpHeader);
    writeU16(tcp, 16,
             transportChecksum(source.address, destination.address, ip_protocol::Tcp, tcp));
    return std::move(draft.bytes);
}

std::vector<std::byte> buildUdpPacket(const endpoint &source, const endpoint &destination,
                                      std::span<const std::byte> payload)
{
    EBONYWAY_FAIL_IF_V(source.address.isV4() != destination.address.isV4(), {},
                       "source and destination are of different IP versions");
    EBONYWAY_FAIL_IF_V(payload.size() > MaximumTransport - UdpHeader, {},
                       "the payload does not fit into one packet");
    packet_draft draft = draftPacket(source.address, destination.address, ip_protocol::Udp,
                                     UdpHeader + payload.size());
    const std::span<std::byte> udp = draft.transport();
    writeU16(udp, 0, source.port);
    writeU16(udp, 2, destination.port);
    writeU16(udp, 4, static_cast<std::uint16_t>(udp.size()));
    std::copy(payload.begin(), payload.end(), udp.begin() + UdpHeader);
    const std::uint16_t checksum =
            transportChecksum(source.address, destination.address, ip_protocol::Udp, udp);
    writeU16(udp, 6, checksum == 0 ? 0xffff : checksum); // RFC 768: zero means "no checksum".
    return std::move(draft.bytes);
}

std::vector<std::byte> buildIcmpError(const ip_address &source, const ip_address &destination,
                                      icmp_error_kind kind, std::span<const std::byte> quoted,
                                      std::uint32_t mtu)
{
    EBONYWAY_FAIL_IF_V(source.isV4() != destination.isV4(), {},
                       "source and destination are of different IP versions");
    const bool v4 = source.isV4();
    const std::size_t room = v4 ? V4MaximumError - V4Header : V6MaximumError - V6Header;
    const std::span<const std::byte> quote =
            quoted.first(std::min(quoted.size(), room - IcmpHeader));
    const ip_protocol protocol = v4 ? ip_protocol::Icmp : ip_protocol::IcmpV6;
    packet_draft draft = draftPacket(source, destination, protocol, IcmpHeader + quote.size());
    const std::span<std::byte> icmp = draft.transport();
    const icmp_type_code typeCode = typeCodeOf(kind, v4);
    icmp[0] = std::byte{typeCode.type};
    icmp[1] = std::byte{typeCode.code};
    if (kind == icmp_error_kind::PacketTooBig) {
        writeMtu(icmp, v4, mtu);
    }
    std::copy(quote.begin(), quote.end(), icmp.begin() + IcmpHeader);
    writeU16(icmp, 2, transportChecksum(source, destination, protocol, icmp));
    return std::move(draft.bytes);
}

} // namespace ebonyway
