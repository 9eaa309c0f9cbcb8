#include "request/ip_header.h"

#include "request/byte_order.h"
#include "request/checksum.h"

#include <algorithm>
#include <optional>

namespace ebonyway {

namespace {

using parsed_header = std::variant<ip_header, packet_fault>;

enum class packet_role : std::uint8_t {
    Whole,
    Quoted,
};

constexpr std::size_t V4MinimumHeader = 20;
constexpr std::size_t V6Header = 40;
constexpr std::size_t V6ExtensionUnit = 8;
constexpr std::uint16_t V4MoreFragments = 0x2000;
constexpr std::uint16_t V4OffsetMask = 0x1fff;
constexpr std::uint16_t V6OffsetMask = 0xfff8;

// RFC 8200 4.1 allows each handled extension header once and destination options twice.
constexpr int V6MaximumExtensions = 4;

std::uint8_t readU8(std::span<const std::byte> bytes, std::size_t offset)
{
    return std::to_integer<std::uint8_t>(bytes[offset]);
}

ip_address readV6Address(std::span<const std::byte> bytes, std::size_t offset)
{
    ip_address address;
    std::transform(bytes.begin() + offset, bytes.begin() + offset + address.bytes.size(),
                   address.bytes.begin(),
                   [](std::byte b) { return std::to_integer<std::uint8_t>(b); });
    return address;
}

/** Returns whether an answer to the address could reach exactly one host (RFC 1122 3.2.1.3). */
bool isUnicastSource(const ip_address &address)
{
    if (!address.isV4()) {
        return address != ip_address{} && address.bytes[0] != 0xff;
    }
    const std::uint32_t value = address.toV4();
    const bool multicast = (value >> 28) == 0xe;
    return value != 0 && value != 0xffffffff && !multicast;
}

bool isForbiddenFragment(std::uint16_t offset, bool more, packet_role role)
{
    if (role == packet_role::Quoted) {
        return offset != 0;
    }
    return offset != 0 || more;
}

parsed_header parseV4(std::span<const std::byte> bytes, packet_role role)
{
    if (bytes.size() < V4MinimumHeader) {
        return packet_fault::Truncated;
    }
    ip_header header;
    header.version = 4;
    header.headerLength = std::size_t{readU8(bytes, 0)} % 16 * 4;
    header.totalLength = readU16(bytes, 2);
    if (header.headerLength < V4MinimumHeader || header.totalLength < header.headerLength) {
        return packet_fault::Malformed;
    }
    const bool cutShort = header.totalLength > bytes.size();
    if (bytes.size() < header.headerLength || (cutShort && role == packet_role::Whole)) {
        return packet_fault::Truncated;
    }
    header.totalLength = std::min(header.totalLength, bytes.size());
    internet_checksum checksum;
    checksum.addBytes(bytes.first(header.headerLength));
    if (role == packet_role::Whole && !checksum.isIntact()) {
        return packet_fault::BadChecksum;
    }
    const std::uint16_t fragment = readU16(bytes, 6);
    const bool more = (fragment & V4MoreFragments) != 0;
    if (isForbiddenFragment(fragment & V4OffsetMask, more, role)) {
        return packet_fault::Fragment;
    }
    header.protocol = readU8(bytes, 9);
    header.source = ip_address::fromV4(readU32(bytes, 12));
    header.destination = ip_address::fromV4(readU32(bytes, 16));
    return header;
}

/** Where the walk over IPv6 extension headers stands. */
struct extension_walk
{
    std::uint8_t next = 0; ///< Protocol number of the header at the offset.
    std::size_t offset = V6Header;
    int count = 0;
};

bool isOptionsOrRouting(std::uint8_t protocol)
{
    return protocol == static_cast<std::uint8_t>(ip_protocol::HopByHopOptions)
           || protocol == static_cast<std::uint8_t>(ip_protocol::RoutingHeader)
           || protocol == static_cast<std::uint8_t>(ip_protocol::DestinationOptions);
}

/** Skips one extension header. Returns the fault that it shows, if any. */
std::optional<packet_fault> skipExtension(std::span<const std::byte> packet, extension_walk &walk)
{
    const bool hopByHop = walk.next == static_cast<std::uint8_t>(ip_protocol::HopByHopOptions);
    const bool routing = walk.next == static_cast<std::uint8_t>(ip_protocol::RoutingHeader);
    if (++walk.count > V6MaximumExtensions || (hopByHop && walk.count > 1)) {
        return packet_fault::Malformed;
    }
    if (packet.size() < walk.offset + V6ExtensionUnit) {
        return packet_fault::Truncated;
    }
    const std::uint8_t segmentsLeft = readU8(packet, walk.offset + 3);
    if (routing && segmentsLeft != 0) {
        // The destination is then an intermediate node and not the service.
        return packet_fault::Malformed;
    }
    const std::size_t length = (std::size_t{readU8(packet, walk.offset + 1)} + 1) * V6ExtensionUnit;
    if (packet.size() < walk.offset + length) {
        return packet_fault::Truncated;
    }
    walk.next = readU8(packet, walk.offset);
    walk.offset += length;
    return std::nullopt;
}

/** Accepts a quoted first fragment and refuses every other fragment. */
std::optional<packet_fault> skipFragmentHeader(std::span<const std::byte> packet,
                                               extension_walk &walk, packet_role role)
{
    if (role == packet_role::Whole) {
        return packet_fault::Fragment;
    }
    if (packet.size() < walk.offset + V6ExtensionUnit) {
        return packet_fault::Truncated;
    }
    if ((readU16(packet, walk.offset + 2) & V6OffsetMask) != 0) {
        return packet_fault::Fragment;
    }
    if (++walk.count > V6MaximumExtensions) {
        return packet_fault::Malformed;
    }
    walk.next = readU8(packet, walk.offset);
    walk.offset += V6ExtensionUnit;
    return std::nullopt;
}

std::optional<packet_fault> skipExtensions(std::span<const std::byte> packet, extension_walk &walk,
                                           packet_role role)
{
    for (;;) {
        std::optional<packet_fault> fault;
        if (isOptionsOrRouting(walk.next)) {
            fault = skipExtension(packet, walk);
        } else if (walk.next == static_cast<std::uint8_t>(ip_protocol::FragmentHeader)) {
            fault = skipFragmentHeader(packet, walk, role);
        } else {
            return std::nullopt;
        }
        if (fault) {
            return fault;
        }
    }
}

parsed_header parseV6(std::span<const std::byte> bytes, packet_role role)
{
    if (bytes.size() < V6Header) {
        return packet_fault::Truncated;
    }
    ip_header header;
    header.version = 6;
    header.totalLength = V6Header + readU16(bytes, 4);
    if (header.totalLength > bytes.size() && role == packet_role::Whole) {
        return packet_fault::Truncated;
    }
    header.totalLength = std::min(header.totalLength, bytes.size());
    header.source = readV6Address(bytes, 8);
    header.destination = readV6Address(bytes, 24);
    if (header.source.isV4() || header.destination.isV4()) {
        return packet_fault::Malformed;
    }
    extension_walk walk;
    walk.next = readU8(bytes, 6);
    const std::optional<packet_fault> fault =
            skipExtensions(bytes.first(header.totalLength), walk, role);
    if (fault) {
        return *fault;
    }
    header.protocol = walk.next;
    header.headerLength = walk.offset;
    return header;
}

parsed_header parse(std::span<const std::byte> bytes, packet_role role)
{
    if (bytes.empty()) {
        return packet_fault::Truncated;
    }
    const int version = readU8(bytes, 0) >> 4;
    if (version == 4) {
        return parseV4(bytes, role);
    }
    if (version == 6) {
        return parseV6(bytes, role);
    }
    return packet_fault::Malformed;
}

} // namespace

std::variant<ip_header, packet_fault> parseIpHeader(std::span<const std::byte> bytes)
{
    parsed_header parsed = parse(bytes, packet_role::Whole);
    const auto *header = std::get_if<ip_header>(&parsed);
    if (header != nullptr && !isUnicastSource(header->source)) {
        return packet_fault::Malformed;
    }
    return parsed;
}

std::variant<ip_header, packet_fault> parseQuotedIpHeader(std::span<const std::byte> bytes)
{
    return parse(bytes, packet_role::Quoted);
}

} // namespace ebonyway
