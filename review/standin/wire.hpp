// The packet header of PROTOCOL.md ("Packets"), and helpers that all stand-ins share.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>
#include <tuple>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using std::chrono::milliseconds;

constexpr std::size_t HeaderBytes = 32;
constexpr std::size_t PrefixBytes = 8; // Names the intended server in front of a packet.
constexpr std::size_t MaxDataBytes = 1'200;

enum flag : std::uint8_t { Ack = 1, Fin = 2, Bounced = 32, Rst = 64, Syn = 128 };

struct packet
{
    std::uint32_t echo = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint8_t flags = 0;
    std::uint32_t sum = 0;
    std::uint32_t src = 0; // IPv4 addresses in host byte order.
    std::uint16_t sport = 0;
    std::uint32_t dst = 0;
    std::uint16_t dport = 0;
    std::string data;
};

// Identifies a flow at its server: address and port of the requester, then those of the route.
using flow_key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

template <typename Number>
Number readNumber(const unsigned char *bytes)
{
    Number value = 0;
    for (std::size_t i = sizeof(Number); i > 0; --i) {
        value = static_cast<Number>((std::uint64_t{value} << 8) | bytes[i - 1]);
    }
    return value;
}

template <typename Number>
void writeNumber(unsigned char *bytes, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes[i] = static_cast<unsigned char>(std::uint64_t{value} >> (8 * i));
    }
}

// The key of the real sum is not disclosed. This one covers the same fields: all but `echo`,
// `pad` and BOUNCED.
inline std::uint32_t sumOf(const packet &p)
{
    std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
    const auto mix = [&hash](std::uint64_t value) {
        hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
        hash ^= hash >> 33;
    };
    for (const std::uint64_t value :
         {std::uint64_t{p.seq}, std::uint64_t{p.ack}, std::uint64_t{p.flags & ~Bounced & 0xffU},
          std::uint64_t{p.src}, std::uint64_t{p.sport}, std::uint64_t{p.dst},
          std::uint64_t{p.dport}, std::uint64_t{p.data.size()}}) {
        mix(value);
    }
    for (const char c : p.data) {
        mix(static_cast<unsigned char>(c));
    }
    const auto sum = static_cast<std::uint32_t>(hash);
    return sum == 0 ? 1 : sum; // 0 marks a reset of the system.
}

inline std::string encode(packet p)
{
    p.sum = sumOf(p);
    unsigned char head[HeaderBytes] = {};
    writeNumber(head, p.echo);
    writeNumber(head + 4, static_cast<std::uint16_t>(p.data.size()));
    writeNumber(head + 6, p.seq);
    writeNumber(head + 10, p.ack);
    head[14] = p.flags;
    writeNumber(head + 16, p.sum);
    writeNumber(head + 20, p.src);
    writeNumber(head + 24, p.dport);
    writeNumber(head + 26, p.sport);
    writeNumber(head + 28, p.dst);
    return std::string(reinterpret_cast<char *>(head), HeaderBytes) + p.data;
}

inline bool decode(const unsigned char *bytes, std::size_t size, packet &p)
{
    if (size < HeaderBytes || readNumber<std::uint16_t>(bytes + 4) != size - HeaderBytes) {
        return false;
    }
    p.echo = readNumber<std::uint32_t>(bytes);
    p.seq = readNumber<std::uint32_t>(bytes + 6);
    p.ack = readNumber<std::uint32_t>(bytes + 10);
    p.flags = bytes[14];
    p.sum = readNumber<std::uint32_t>(bytes + 16);
    p.src = readNumber<std::uint32_t>(bytes + 20);
    p.dport = readNumber<std::uint16_t>(bytes + 24);
    p.sport = readNumber<std::uint16_t>(bytes + 26);
    p.dst = readNumber<std::uint32_t>(bytes + 28);
    p.data.assign(reinterpret_cast<const char *>(bytes) + HeaderBytes, size - HeaderBytes);
    return true;
}

inline std::string addressText(std::uint32_t address)
{
    in_addr raw{htonl(address)};
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw, text, sizeof(text));
    return text;
}

inline std::uint32_t address(const std::string &text)
{
    in_addr raw{};
    inet_pton(AF_INET, text.c_str(), &raw);
    return ntohl(raw.s_addr);
}

inline sockaddr_in socketAddress(std::uint32_t host, std::uint16_t port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(host);
    to.sin_port = htons(port);
    return to;
}

inline std::int64_t millisBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace review
