#include "request/relay_header.h"

#include "request/byte_order.h"

namespace ebonyway {

namespace {

constexpr std::uint16_t Magic = 0x4557; // "EW"
constexpr std::byte Version{1};

} // namespace

std::array<std::byte, RelayHeaderSize> encodeRelayHeader(const relay_header &header)
{
    std::array<std::byte, RelayHeaderSize> bytes{};
    writeU16(bytes, 0, Magic);
    bytes[2] = Version;
    bytes[3] = std::byte{header.hops};
    writeU32(bytes, 4, header.sender.value);
    return bytes;
}

std::optional<relay_header> decodeRelayHeader(std::span<const std::byte> datagram)
{
    if (datagram.size() < RelayHeaderSize) {
        return std::nullopt;
    }
    if (readU16(datagram, 0) != Magic || datagram[2] != Version || datagram[3] == std::byte{0}) {
        return std::nullopt;
    }
    relay_header header;
    header.hops = std::to_integer<std::uint8_t>(datagram[3]);
    header.sender.value = readU32(datagram, 4);
    return header;
}

} // namespace ebonyway
