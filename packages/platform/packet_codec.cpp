#include "platform/packet_codec.h"

#include <algorithm>

namespace ebonyway::platform {

namespace {

// Byte offsets of the header fields; quoted names are those of the platform's protocol. All numbers
// are little-endian.
constexpr std::size_t TokenOffset = 0; // "echo": returned by both ends
constexpr std::size_t DataLengthOffset = 4; // "len"
constexpr std::size_t SequenceOffset = 6; // "seq"
constexpr std::size_t AcknowledgedOffset = 10; // "ack"; in a SYN the number of earlier copies
constexpr std::size_t FlagsOffset = 14;
constexpr std::size_t SourceAddressOffset = 20; // "src"
constexpr std::size_t DestinationPortOffset = 24; // "dport"
constexpr std::size_t SourcePortOffset = 26; // "sport"
constexpr std::size_t DestinationAddressOffset = 28; // "dst"

constexpr std::uint8_t FlagAck = 1;
constexpr std::uint8_t FlagFin = 2;
constexpr std::uint8_t FlagRst = 64;
constexpr std::uint8_t FlagSyn = 128;

template <typename Number>
Number readNumber(std::span<const std::byte> bytes, std::size_t offset)
{
    Number value = 0;
    for (std::size_t i = sizeof(Number); i > 0; --i) {
        value = static_cast<Number>((std::uint64_t{value} << 8)
                                    | std::to_integer<std::uint8_t>(bytes[offset + i - 1]));
    }
    return value;
}

template <typename Number>
void writeNumber(std::span<std::byte> bytes, std::size_t offset, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes[offset + i] = static_cast<std::byte>(std::uint64_t{value} >> (8 * i));
    }
}

endpoint readEndpoint(std::span<const std::byte> bytes, std::size_t addressOffset,
                      std::size_t portOffset)
{
    return endpoint{ip_address::fromV4(readNumber<std::uint32_t>(bytes, addressOffset)),
                    readNumber<std::uint16_t>(bytes, portOffset)};
}

} // namespace

std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram)
{
    if (datagram.size() < PacketHeaderBytes || datagram.size() > MaxPacketBytes) {
        return std::nullopt;
    }
    flow_packet packet;
    packet.dataLength = readNumber<std::uint16_t>(datagram, DataLengthOffset);
    if (packet.dataLength != datagram.size() - PacketHeaderBytes) {
        return std::nullopt;
    }
    const auto flags = std::to_integer<std::uint8_t>(datagram[FlagsOffset]);
    packet.opens = (flags & FlagSyn) != 0;
    packet.acknowledges = (flags & FlagAck) != 0;
    packet.finishes = (flags & FlagFin) != 0;
    packet.resets = (flags & FlagRst) != 0;
    packet.flow.caller = readEndpoint(datagram, SourceAddressOffset, SourcePortOffset);
    packet.flow.service = readEndpoint(datagram, DestinationAddressOffset, DestinationPortOffset);
    packet.sequence = readNumber<std::uint32_t>(datagram, SequenceOffset);
    packet.acknowledged = readNumber<std::uint32_t>(datagram, AcknowledgedOffset);
    packet.token = flow_token{readNumber<std::uint32_t>(datagram, TokenOffset)};
    return packet;
}

void encodeForServer(std::span<const std::byte> packet, server_key server, flow_token token,
                     datagram_buffer &target)
{
    for (std::size_t i = 0; i < ServerPrefixBytes; ++i) {
        // The prefix is big-endian, unlike the header.
        const std::size_t shift = 8 * (ServerPrefixBytes - 1 - i);
        target.storage[i] = static_cast<std::byte>(server.value >> shift);
    }
    const std::size_t length = std::min(packet.size(), MaxPacketBytes);
    std::copy_n(packet.begin(), length, target.storage.begin() + ServerPrefixBytes);
    target.length = ServerPrefixBytes + length;
    writeNumber(std::span(target.storage), ServerPrefixBytes + TokenOffset, token.value);
}

void encodeReset(const flow_packet &packet, datagram_buffer &target)
{
    target.length = PacketHeaderBytes;
    const std::span<std::byte> bytes(target.storage.data(), target.length);
    std::fill(bytes.begin(), bytes.end(), std::byte{0});
    writeNumber(bytes, SequenceOffset, packet.acknowledged);
    bytes[FlagsOffset] = std::byte{FlagRst};
    writeNumber(bytes, SourceAddressOffset, packet.flow.service.address.toV4());
    writeNumber(bytes, SourcePortOffset, packet.flow.service.port);
    writeNumber(bytes, DestinationAddressOffset, packet.flow.caller.address.toV4());
    writeNumber(bytes, DestinationPortOffset, packet.flow.caller.port);
}

} // namespace ebonyway::platform
