#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace ebonyway {

struct ip_address;

/** Internet checksum (RFC 1071): the ones' complement sum of 16-bit words. */
class internet_checksum
{
public:
    /** Adds bytes. Every span but the last one must have an even length. */
    void addBytes(std::span<const std::byte> bytes);

    /** Adds a 16-bit value given in host byte order. */
    void addValue(std::uint16_t value);

    /**
     * Adds the pseudo header of TCP, UDP and ICMPv6 (RFC 9293 3.1, RFC 8200 8.1). Both addresses
     * must belong to the same IP version.
     */
    void addPseudoHeader(const ip_address &source, const ip_address &destination,
                         std::uint8_t protocol, std::uint32_t transportLength);

    /** Returns the checksum field, in host byte order, for data whose checksum field is zero. */
    std::uint16_t value() const;

    /** Returns whether data that includes its checksum field is intact. */
    bool isIntact() const { return value() == 0; }

private:
    // Words are summed in native byte order, which RFC 1071 1(B) allows, and swapped once in
    // value().
    std::uint64_t m_sum = 0;
};

} // namespace ebonyway
