#include "request/checksum.h"

#include "core/ip_address.h"

#include <arpa/inet.h>

#include <cstring>

namespace ebonyway {

namespace {

constexpr std::size_t WordSize = sizeof(std::uint32_t);
constexpr std::size_t V4Offset = 12; // Position of an IPv4 address in its mapped form.

std::uint16_t fold(std::uint64_t sum)
{
    while (sum > 0xffff) {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return static_cast<std::uint16_t>(sum);
}

std::span<const std::byte> wireBytes(const ip_address &address)
{
    const std::span<const std::byte> all = std::as_bytes(std::span(address.bytes));
    return address.isV4() ? all.subspan(V4Offset) : all;
}

} // namespace

void internet_checksum::addBytes(std::span<const std::byte> bytes)
{
    // 32-bit words in a 64-bit sum cannot overflow for any IP packet, and the loop vectorises.
    const std::size_t words = bytes.size() / WordSize;
    for (std::size_t i = 0; i < words; ++i) {
        std::uint32_t word = 0;
        std::memcpy(&word, bytes.data() + i * WordSize, WordSize);
        m_sum += word;
    }
    std::uint32_t rest = 0;
    const std::span<const std::byte> tail = bytes.subspan(words * WordSize);
    if (!tail.empty()) {
        std::memcpy(&rest, tail.data(), tail.size());
    }
    m_sum += rest;
}

void internet_checksum::addValue(std::uint16_t value)
{
    m_sum += htons(value);
}

void internet_checksum::addPseudoHeader(const ip_address &source, const ip_address &destination,
                                        std::uint8_t protocol, std::uint32_t transportLength)
{
    addBytes(wireBytes(source));
    addBytes(wireBytes(destination));
    addValue(protocol);
    addValue(static_cast<std::uint16_t>(transportLength >> 16));
    addValue(static_cast<std::uint16_t>(transportLength & 0xffff));
}

std::uint16_t internet_checksum::value() const
{
    return ntohs(static_cast<std::uint16_t>(~fold(m_sum)));
}

} // namespace ebonyway
