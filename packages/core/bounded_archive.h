#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <stdexcept>
#include <type_traits>
#include <vector>

namespace ebonyway {

/** Thrown by bounded_reader only; decodeBounded() turns it into an empty result. */
struct malformed_bytes : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/**
 * cereal output archive that appends to a byte vector. Unsigned integers wider than one byte are
 * written as little-endian base-128 (LEB128) numbers, because most of them are small.
 */
class bounded_writer : public cereal::OutputArchive<bounded_writer, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_writer(std::vector<std::byte> &target);

    void writeByte(std::uint8_t value);
    void writeNumber(std::uint64_t value);
    void writeBytes(const void *data, std::size_t size);

private:
    std::vector<std::byte> &m_target;
};

/**
 * cereal input archive over a byte span. It never reads past the end, and it refuses a container
 * length that is larger than the number of bytes left, so a forged length prefix cannot make it
 * allocate more elements than the message could hold.
 */
class bounded_reader : public cereal::InputArchive<bounded_reader, cereal::AllowEmptyClassElision>
{
public:
    explicit bounded_reader(std::span<const std::byte> source);

    /** Each of these throws malformed_bytes when too few bytes are left. */
    std::uint8_t readByte();
    std::uint64_t readNumber();
    void readBytes(void *data, std::size_t size);

    std::size_t bytesLeft() const { return m_source.size(); }

private:
    std::span<const std::byte> m_source;
};

/** Number of bytes that bounded_writer uses for an integer wider than one byte. */
std::size_t encodedNumberSize(std::uint64_t value);

template <typename T>
concept wire_number = std::unsigned_integral<T> && !std::same_as<T, bool> && sizeof(T) > 1;

/** cereal numbers the alternatives of a std::variant with a signed integer. */
template <typename T>
concept wire_index = std::same_as<T, std::int32_t>;

template <typename T>
concept wire_byte = std::same_as<T, std::uint8_t> || std::same_as<T, bool> || std::same_as<
        T, std::byte> || std::same_as<T, char>;

template <wire_number T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer &archive, const T &value)
{
    archive.writeNumber(value);
}

template <wire_number T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader &archive, T &value)
{
    const std::uint64_t number = archive.readNumber();
    if (number > std::numeric_limits<T>::max()) {
        throw malformed_bytes("number out of range");
    }
    value = static_cast<T>(number);
}

template <wire_index T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer &archive, const T &value)
{
    archive.writeNumber(static_cast<std::uint32_t>(value));
}

template <wire_index T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader &archive, T &value)
{
    const std::uint64_t number = archive.readNumber();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        throw malformed_bytes("index out of range");
    }
    value = static_cast<T>(number);
}

template <wire_byte T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer &archive, const T &value)
{
    archive.writeByte(static_cast<std::uint8_t>(value));
}

template <wire_byte T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader &archive, T &value)
{
    const std::uint8_t byte = archive.readByte();
    if (std::same_as<T, bool> && byte > 1) {
        throw malformed_bytes("boolean out of range");
    }
    value = static_cast<T>(byte);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer &archive, const cereal::BinaryData<T> &data)
{
    static_assert(sizeof(std::remove_pointer_t<T>) == 1, "only bytes have a portable layout");
    archive.writeBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader &archive, cereal::BinaryData<T> &data)
{
    static_assert(sizeof(std::remove_pointer_t<T>) == 1, "only bytes have a portable layout");
    archive.readBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(bounded_writer &archive, const cereal::SizeTag<T> &tag)
{
    archive.writeNumber(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_reader &archive, cereal::SizeTag<T> &tag)
{
    const std::uint64_t size = archive.readNumber();
    if (size > archive.bytesLeft()) {
        throw malformed_bytes("length exceeds the message");
    }
    tag.size = static_cast<std::remove_reference_t<T>>(size);
}

/** Names are not written. */
template <typename archive_type, typename T>
requires std::same_as<archive_type, bounded_writer> || std::same_as<archive_type, bounded_reader>
void CEREAL_SERIALIZE_FUNCTION_NAME(archive_type &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

/** Serialises a value with cereal. */
template <typename T>
std::vector<std::byte> encodeBounded(const T &value)
{
    std::vector<std::byte> bytes;
    bounded_writer archive(bytes);
    archive(value);
    return bytes;
}

/** Deserialises a value. Empty if the bytes are malformed, too short or too long. */
template <typename T>
std::optional<T> decodeBounded(std::span<const std::byte> bytes)
{
    try {
        T value{};
        bounded_reader archive(bytes);
        archive(value);
        if (archive.bytesLeft() != 0) {
            return std::nullopt;
        }
        return value;
    } catch (const malformed_bytes &) {
        return std::nullopt;
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

} // namespace ebonyway

CEREAL_SETUP_ARCHIVE_TRAITS(ebonyway::bounded_reader, ebonyway::bounded_writer)
