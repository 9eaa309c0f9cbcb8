#include "forwarding/process/peer_message.h"

#include "core/bounded_archive.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>

namespace ebonyway {

namespace {

// Numbers that identify the type and version of heartbeats and of encoded knowledge. Instances with
// different versions reject each other's messages and read the store themselves.
constexpr std::uint32_t MessageVersion = 0x45570005;
// Heartbeats without demands, of instances that are not yet replaced in a rolling update.
constexpr std::uint32_t PreviousMessageVersion = 0x45570004;
constexpr std::uint32_t KnowledgeVersion = 0x45580005;

// Maximum size of encoded knowledge, enough for 2,800 backend servers and 1,800 routes. The limit
// is not larger because a forged length field can make the decoder allocate some hundred times as
// much memory.
constexpr std::size_t MaxKnowledgeBytes = 512U << 10;

/** Load on a backend server in a heartbeat of the previous version. */
struct previous_server_load
{
    peer_server_load load;

    template <class Archive>
    void serialize(Archive &archive)
    {
        std::uint16_t flows = 0;
        std::uint8_t suspicious = 0;
        std::uint16_t age = 0;
        archive(load.server, flows, suspicious, age);
        load.flowCount = flows;
        load.suspiciousInstances = suspicious;
        load.answeredAgo = std::chrono::milliseconds(age);
    }
};

/** Heartbeat of the previous version. */
struct previous_message
{
    peer_message message;

    template <class Archive>
    void serialize(Archive &archive)
    {
        std::vector<previous_server_load> loads;
        for (store_position &position : message.positions) {
            archive(position);
        }
        archive(message.sender, message.otherPeers, loads);
        message.hasDemands = false;
        for (const previous_server_load &one : loads) {
            message.loads.push_back(one.load);
        }
    }
};

/** Prefixes a message with a number that identifies its type and version. */
template <typename Message>
struct versioned
{
    std::uint32_t version = 0;
    Message message;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version, message);
    }
};

template <typename Message>
std::vector<std::byte> encode(std::uint32_t version, const Message &message)
{
    // cereal uses one function for reading and writing, so it needs a non-const object.
    versioned<Message> whole{version, message};
    return encodeBounded(whole);
}

template <typename Message>
result<Message> decode(std::uint32_t version, std::span<const std::byte> bytes)
{
    auto decoded = decodeBounded<versioned<Message>>(bytes);
    if (!decoded || decoded->version != version) {
        return error{error_kind::InvalidInput, "message has an unknown format or another version",
                     "Run the same version on all instances."};
    }
    return std::move(decoded->message);
}

} // namespace

std::vector<std::byte> encodePeerMessage(peer_message message)
{
    message.demands.resize(std::min(message.demands.size(), MaxDemandsReported));
    std::vector<std::byte> bytes = encode(MessageVersion, message);
    while (bytes.size() > MaxPeerMessageBytes
           && !(message.loads.empty() && message.otherPeers.empty())) {
        // Small steps, as the use of a server that is left out seems smaller than it is.
        message.loads.resize(message.loads.size() * 7 / 8);
        message.otherPeers.resize(message.otherPeers.size() * 7 / 8);
        bytes = encode(MessageVersion, message);
    }
    return bytes;
}

result<peer_message> decodePeerMessage(std::span<const std::byte> bytes)
{
    if (bytes.size() > MaxPeerMessageBytes) {
        return error{error_kind::LimitExceeded, "heartbeat exceeds the size limit",
                     "Check which process sends to the peer port."};
    }
    auto decoded = decode<peer_message>(MessageVersion, bytes);
    if (isOk(decoded)) {
        return decoded;
    }
    auto previous = decode<previous_message>(PreviousMessageVersion, bytes);
    if (isOk(previous)) {
        return std::move(valueOf(previous).message);
    }
    return decoded;
}

std::optional<std::uint32_t> unknownPeerMessageVersion(std::span<const std::byte> bytes)
{
    try {
        bounded_reader archive(bytes);
        std::uint32_t version = 0;
        archive(version);
        const bool isKnown = version == MessageVersion || version == PreviousMessageVersion;
        return isKnown ? std::nullopt : std::optional(version);
    } catch (const malformed_bytes &) {
        return std::nullopt;
    }
}

std::string encodePositions(const known_positions &positions)
{
    std::string text;
    for (const store_position &position : positions) {
        text += (text.empty() ? "" : ",") + std::to_string(position.era) + "."
                + std::to_string(position.revision);
    }
    return text;
}

std::optional<known_positions> decodePositions(const std::string &text)
{
    known_positions positions;
    const char *at = text.data();
    const char *end = text.data() + text.size();
    const auto readNumber = [&](std::uint64_t &number, char separator) {
        const auto read = std::from_chars(at, end, number);
        const bool isLast = separator == '\0';
        if (read.ec != std::errc() || (isLast ? read.ptr != end : read.ptr == end)
            || (!isLast && *read.ptr != separator)) {
            return false;
        }
        at = read.ptr + (isLast ? 0 : 1);
        return true;
    };
    for (std::size_t kind = 0; kind < positions.size(); ++kind) {
        const char separator = kind + 1 == positions.size() ? '\0' : ',';
        if (!readNumber(positions[kind].era, '.')
            || !readNumber(positions[kind].revision, separator)) {
            return std::nullopt;
        }
    }
    return positions;
}

std::string encodeKnowledge(const exported_knowledge &knowledge)
{
    const std::vector<std::byte> bytes = encode(KnowledgeVersion, knowledge);
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

result<exported_knowledge> decodeKnowledge(const std::string &bytes)
{
    if (bytes.size() > MaxKnowledgeBytes) {
        return error{error_kind::LimitExceeded, "knowledge from a peer exceeds the size limit",
                     "Check which process listens on the peer port."};
    }
    return decode<exported_knowledge>(KnowledgeVersion, std::as_bytes(std::span(bytes)));
}

} // namespace ebonyway
