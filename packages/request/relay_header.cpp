#include "request/relay_header.h"

#include "request/byte_order.h"

namespace ebonyway {

namespace {

constexpr std::uint16_t Magic = 0x4557; // "EW"
constexpr std::byte Version{1};
constexpr std::uint8_t AnswerFlag = 0x80;

} // namespace

relay_header_bytes encodeRelayHeader(const relay_header &header)
{
    relay_header_bytes bytes{};
    const std::uint8_t flag = header.answerFrom ? AnswerFlag : 0;
    writeU16(bytes, 0, Magic);
    bytes[2] = Version;
    bytes[3] = static_cast<std::byte>(header.hops | flag);
    writeU32(bytes, 4, header.sender.value);
    if (header.answerFrom) {
        writeU16(bytes, RelayHeaderSize, header.answerFrom->value);
    }
    return bytes;
}

std::optional<relay_header> decodeRelayHeader(std::span<const std::byte> datagram)
{
    if (datagram.size() < RelayHeaderSize) {
        return std::nullopt;
    }
    const auto hops = std::to_integer<std::uint8_t>(datagram[3]);
    relay_header header;
    header.hops = static_cast<std::uint8_t>(hops & ~AnswerFlag);
    if (readU16(datagram, 0) != Magic || datagram[2] != Version || header.hops == 0) {
        return std::nullopt;
    }
    header.sender.value = readU32(datagram, 4);
    if ((hops & AnswerFlag) == 0) {
        return header;
    }
    if (datagram.size() < RelayAnswerHeaderSize) {
        return std::nullopt;
    }
    header.answerFrom = backend_server_id{readU16(datagram, RelayHeaderSize)};
    return header;
}

} // namespace ebonyway
