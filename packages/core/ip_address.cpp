#include "core/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace ebonyway {

namespace {

constexpr std::array<std::uint8_t, 12> V4MappedPrefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
constexpr std::size_t V4Offset = V4MappedPrefix.size();

error invalidAddress(const std::string &text)
{
    return {error_kind::InvalidInput, "'" + text + "' is not an IP address",
            "Write a numeric IPv4 or IPv6 address; host names are not looked up."};
}

error invalidEndpoint(const std::string &text)
{
    return {error_kind::InvalidInput, "'" + text + "' is not an address with a port",
            "Write ADDRESS:PORT with a port from 1 to 65535, and IPv6 as [ADDRESS]:PORT."};
}

} // namespace

bool ip_address::isV4() const
{
    return std::equal(V4MappedPrefix.begin(), V4MappedPrefix.end(), bytes.begin());
}

ip_address ip_address::fromV4(std::uint32_t hostOrder)
{
    ip_address address;
    std::copy(V4MappedPrefix.begin(), V4MappedPrefix.end(), address.bytes.begin());
    for (std::size_t i = 0; i < 4; ++i) {
        address.bytes[V4Offset + i] = static_cast<std::uint8_t>(hostOrder >> (24 - 8 * i));
    }
    return address;
}

std::uint32_t ip_address::toV4() const
{
    std::uint32_t value = 0;
    for (std::size_t i = V4Offset; i < bytes.size(); ++i) {
        value = (value << 8) | bytes[i];
    }
    return value;
}

result<ip_address> ip_address::parse(const std::string &text)
{
    std::array<std::uint8_t, 4> v4{};
    if (inet_pton(AF_INET, text.c_str(), v4.data()) == 1) {
        ip_address address = fromV4(0);
        std::copy(v4.begin(), v4.end(), address.bytes.begin() + V4Offset);
        return address;
    }
    ip_address address;
    if (inet_pton(AF_INET6, text.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    return invalidAddress(text);
}

std::string ip_address::toString() const
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (isV4()) {
        inet_ntop(AF_INET, bytes.data() + V4Offset, text.data(), text.size());
    } else {
        inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    }
    return text.data();
}

result<endpoint> endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalidEndpoint(text);
    }
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string::npos) {
        return invalidEndpoint(text);
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535) {
        return invalidEndpoint(text);
    }
    const result<ip_address> address = ip_address::parse(host);
    if (!isOk(address)) {
        return errorOf(address);
    }
    return endpoint{valueOf(address), static_cast<std::uint16_t>(port)};
}

std::string endpoint::toString() const
{
    const std::string portText = std::to_string(port);
    if (address.isV4()) {
        return address.toString() + ":" + portText;
    }
    return "[" + address.toString() + "]:" + portText;
}

} // namespace ebonyway
