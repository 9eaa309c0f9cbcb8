#pragma once

#include "core/result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ebonyway {

/** IPv4 or IPv6 address. IPv4 addresses are held in the IPv4-mapped form ::ffff:a.b.c.d. */
struct ip_address
{
    std::array<std::uint8_t, 16> bytes{}; ///< Network byte order.

    auto
    operator<=>(const ip_address &) const = default; // NOLINT(modernize-use-nullptr): see ids.h

    bool isV4() const;

    /** Builds the IPv4 address from its value in host byte order. */
    static ip_address fromV4(std::uint32_t hostOrder);
    /** Returns the IPv4 value in host byte order; the address must satisfy isV4(). */
    std::uint32_t toV4() const;

    /** Parses "192.0.2.1" or "2001:db8::1". Fails with InvalidInput. */
    static result<ip_address> parse(const std::string &text);
    std::string toString() const;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

/** Address and UDP or TCP port (host byte order). */
struct endpoint
{
    ip_address address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default; // NOLINT(modernize-use-nullptr): see ids.h

    /** Parses "192.0.2.1:80" or "[2001:db8::1]:80". Fails with InvalidInput. */
    static result<endpoint> parse(const std::string &text);
    std::string toString() const;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(address, port);
    }
};

} // namespace ebonyway

template <>
struct std::hash<ebonyway::endpoint>
{
    std::size_t operator()(const ebonyway::endpoint &at) const noexcept
    {
        const std::string_view bytes(reinterpret_cast<const char *>(at.address.bytes.data()),
                                     at.address.bytes.size());
        return std::hash<std::string_view>{}(bytes) ^ at.port;
    }
};
