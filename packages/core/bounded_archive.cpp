#include "core/bounded_archive.h"

#include <cstring>

namespace ebonyway {

namespace {

constexpr unsigned BitsPerByte = 7; ///< Payload bits of one LEB128 byte.
constexpr std::uint8_t MoreFollows = 0x80;

} // namespace

bounded_writer::bounded_writer(std::vector<std::byte> &target)
    : OutputArchive(this)
    , m_target(target)
{ }

void bounded_writer::writeByte(std::uint8_t value)
{
    m_target.push_back(std::byte{value});
}

void bounded_writer::writeNumber(std::uint64_t value)
{
    while (value >= MoreFollows) {
        writeByte(static_cast<std::uint8_t>(value | MoreFollows));
        value >>= BitsPerByte;
    }
    writeByte(static_cast<std::uint8_t>(value));
}

void bounded_writer::writeBytes(const void *data, std::size_t size)
{
    const auto *first = static_cast<const std::byte *>(data);
    m_target.insert(m_target.end(), first, first + size);
}

bounded_reader::bounded_reader(std::span<const std::byte> source)
    : InputArchive(this)
    , m_source(source)
{ }

std::uint8_t bounded_reader::readByte()
{
    if (m_source.empty()) {
        throw malformed_bytes("message ends early");
    }
    const auto value = std::to_integer<std::uint8_t>(m_source.front());
    m_source = m_source.subspan(1);
    return value;
}

std::uint64_t bounded_reader::readNumber()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += BitsPerByte) {
        const std::uint8_t byte = readByte();
        const std::uint64_t bits = byte & (MoreFollows - 1U);
        if (shift == 63 && bits > 1) {
            throw malformed_bytes("number exceeds 64 bits");
        }
        value |= bits << shift;
        if ((byte & MoreFollows) == 0) {
            return value;
        }
    }
    throw malformed_bytes("number exceeds 64 bits");
}

void bounded_reader::readBytes(void *data, std::size_t size)
{
    if (size > m_source.size()) {
        throw malformed_bytes("message ends early");
    }
    if (size != 0) {
        std::memcpy(data, m_source.data(), size);
    }
    m_source = m_source.subspan(size);
}

std::size_t encodedNumberSize(std::uint64_t value)
{
    std::size_t size = 1;
    while (value >= MoreFollows) {
        value >>= BitsPerByte;
        size++;
    }
    return size;
}

} // namespace ebonyway
