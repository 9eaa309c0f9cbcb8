#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace ebonyway {

/** Reads a 16-bit value in network byte order. The caller has checked that offset + 2 fits. */
inline std::uint16_t readU16(std::span<const std::byte> bytes, std::size_t offset)
{
    const auto high = std::to_integer<std::uint32_t>(bytes[offset]);
    const auto low = std::to_integer<std::uint32_t>(bytes[offset + 1]);
    return static_cast<std::uint16_t>((high << 8) | low);
}

/** Reads a 32-bit value in network byte order. The caller has checked that offset + 4 fits. */
inline std::uint32_t readU32(std::span<const std::byte> bytes, std::size_t offset)
{
    const std::uint32_t high = readU16(bytes, offset);
    return (high << 16) | readU16(bytes, offset + 2);
}

/** Writes a 16-bit value in network byte order. The caller has checked that offset + 2 fits. */
inline void writeU16(std::span<std::byte> bytes, std::size_t offset, std::uint16_t value)
{
    bytes[offset] = static_cast<std::byte>(value >> 8);
    bytes[offset + 1] = static_cast<std::byte>(value & 0xff);
}

/** Writes a 32-bit value in network byte order. The caller has checked that offset + 4 fits. */
inline void writeU32(std::span<std::byte> bytes, std::size_t offset, std::uint32_t value)
{
    writeU16(bytes, offset, static_cast<std::uint16_t>(value >> 16));
    writeU16(bytes, offset + 2, static_cast<std::uint16_t>(value & 0xffff));
}

} // namespace ebonyway
