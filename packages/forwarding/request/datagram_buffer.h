#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace ebonyway {

/** Fixed-size buffer for building one datagram without allocation. */
struct datagram_buffer
{
    /** Largest UDP payload that fits into an Ethernet frame. */
    static constexpr std::size_t Capacity = 1'472;

    std::array<std::byte, Capacity> storage;
    std::size_t length = 0;

    std::span<const std::byte> bytes() const { return std::span(storage.data(), length); }
};

} // namespace ebonyway
