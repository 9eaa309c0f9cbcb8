#include "connection/engine_message.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <streambuf>

namespace ebonyway {

namespace {

/** Thrown for any malformed frame. */
struct malformed_frame : cereal::Exception
{
    malformed_frame()
        : cereal::Exception("malformed frame")
    { }
};

template <typename Item>
void saveList(cereal::PortableBinaryOutputArchive &archive, const std::vector<Item> &items)
{
    archive(static_cast<std::uint8_t>(items.size()));
    for (const Item &item : items) {
        archive(item);
    }
}

template <typename Item>
void loadList(cereal::PortableBinaryInputArchive &archive, std::vector<Item> &items)
{
    std::uint8_t size = 0;
    archive(size);
    if (size > RecordListLimit) {
        throw malformed_frame();
    }
    items.resize(size);
    for (Item &item : items) {
        archive(item);
    }
}

template <typename Enum>
void loadEnum(cereal::PortableBinaryInputArchive &archive, Enum &value, Enum last)
{
    std::uint8_t number = 0;
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        throw malformed_frame();
    }
    value = static_cast<Enum>(number);
}

template <class Archive>
void transfer(Archive &archive, mark_record &record)
{
    archive(record.slot, record.mark);
}

void transfer(cereal::PortableBinaryOutputArchive &archive, state_record &record)
{
    archive(static_cast<std::uint8_t>(record.purpose), record.state.slot, record.state.note,
            record.state.mark, record.state.defaultServer, record.state.target,
            static_cast<std::uint8_t>(record.state.phase));
}

void transfer(cereal::PortableBinaryInputArchive &archive, state_record &record)
{
    loadEnum(archive, record.purpose, state_purpose::Grant);
    archive(record.state.slot, record.state.note, record.state.mark, record.state.defaultServer,
            record.state.target);
    loadEnum(archive, record.state.phase, slot_phase::Switched);
}

template <typename Item>
void transferList(cereal::PortableBinaryOutputArchive &archive, std::vector<Item> &items)
{
    saveList(archive, items);
}

template <typename Item>
void transferList(cereal::PortableBinaryInputArchive &archive, std::vector<Item> &items)
{
    loadList(archive, items);
}

template <class Archive>
void transfer(Archive &archive, flow_record &record)
{
    archive(record.service, record.backendServer);
    transferList(archive, record.flows);
}

template <class Archive>
void transfer(Archive &archive, flow_end_record &record)
{
    archive(record.service);
    transferList(archive, record.tags);
}

template <class Archive>
void transfer(Archive &archive, handover_request &record)
{
    archive(record.slot);
}

template <class Archive>
void transfer(Archive &archive, handover_declined &record)
{
    archive(record.slot);
}

template <class Archive>
void transfer(Archive &archive, udp_request &record)
{
    archive(record.note, record.service);
    transferList(archive, record.slots);
}

template <class Archive>
void transfer(Archive &archive, udp_report &record)
{
    archive(record.service);
    transferList(archive, record.flows);
}

template <class Archive>
void transfer(Archive &archive, udp_report_end &record)
{
    archive(record.service);
    transferList(archive, record.slots);
}

template <class Archive>
void transfer(Archive &archive, mark_sync_request &record)
{
    archive(record.nonce);
}

template <class Archive>
void transfer(Archive &archive, sync_base &record)
{
    archive(record.service, record.base);
}

void transfer(cereal::PortableBinaryOutputArchive &archive, sync_end &record)
{
    archive(record.nonce, record.note, static_cast<std::uint8_t>(record.seenAs),
            static_cast<std::uint8_t>(record.synchronised));
}

void transfer(cereal::PortableBinaryInputArchive &archive, sync_end &record)
{
    archive(record.nonce, record.note);
    loadEnum(archive, record.seenAs, member_state::Dead);
    std::uint8_t synchronised = 0;
    archive(synchronised);
    record.synchronised = synchronised != 0;
}

template <class Archive>
void transfer(Archive &, stream_end &)
{ }

/** Read-only stream buffer over existing bytes. */
class span_buffer : public std::streambuf
{
public:
    explicit span_buffer(std::span<const std::byte> bytes)
    {
        // std::streambuf has no read-only interface; the stream never writes to the buffer.
        char *begin = const_cast<char *>(reinterpret_cast<const char *>(bytes.data()));
        setg(begin, begin, begin + bytes.size());
    }

    bool atEnd() const { return gptr() == egptr(); }
};

template <std::size_t Index = 0>
engine_record loadRecord(cereal::PortableBinaryInputArchive &archive, std::size_t kind)
{
    if constexpr (Index < std::variant_size_v<engine_record>) {
        if (kind != Index) {
            return loadRecord<Index + 1>(archive, kind);
        }
        std::variant_alternative_t<Index, engine_record> record;
        transfer(archive, record);
        return record;
    } else {
        throw malformed_frame();
    }
}

engine_frame loadFrame(span_buffer &buffer)
{
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    engine_frame frame;
    archive(frame.header.version);
    if (frame.header.version != frame_header{}.version) {
        throw malformed_frame();
    }
    archive(frame.header.session, frame.header.peerSession, frame.header.sequence,
            frame.header.acknowledged);
    while (!buffer.atEnd()) {
        std::uint8_t kind = 0;
        archive(kind);
        frame.records.push_back(loadRecord(archive, kind));
    }
    return frame;
}

} // namespace

std::string encodeRecord(const engine_record &record)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(static_cast<std::uint8_t>(record.index()));
        std::visit(
                [&archive](const auto &alternative) {
                    auto copy = alternative;
                    transfer(archive, copy);
                },
                record);
    }
    // Cuts off the archive's byte-order mark: only the frame header carries it.
    return std::move(stream).str().substr(1);
}

std::vector<std::byte> encodeFrame(const frame_header &header, const std::string &records)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(header.version, header.session, header.peerSession, header.sequence,
                header.acknowledged);
    }
    const std::string text = std::move(stream).str() + records;
    const auto *begin = reinterpret_cast<const std::byte *>(text.data());
    return {begin, begin + text.size()};
}

std::optional<engine_frame> decodeFrame(std::span<const std::byte> bytes)
{
    if (bytes.size() > FrameSizeLimit) {
        return std::nullopt;
    }
    // cereal throws when it reads past the end; the exception must not leave the decoder.
    try {
        span_buffer buffer(bytes);
        return loadFrame(buffer);
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

} // namespace ebonyway
