#include "process/secure_datagram.h"

#include "core/bounded_archive.h"

#include <algorithm>
#include <string>

namespace ebonyway {

namespace {

constexpr std::size_t VersionSize = 1;

instance_id boundRecipient(std::uint8_t kind, instance_id recipient)
{
    return kind == static_cast<std::uint8_t>(datagram_kind::Engine) ? recipient : instance_id{};
}

/** Bytes covered by the tag: version, header, payload and, not transmitted, the recipient. */
std::vector<std::byte> signedBytes(std::span<const std::byte> body, instance_id recipient)
{
    std::vector<std::byte> covered;
    covered.reserve(body.size() + sizeof(recipient.value));
    covered.assign(body.begin(), body.end());
    for (unsigned shift = 0; shift < 32; shift += 8) {
        covered.push_back(static_cast<std::byte>(recipient.value >> shift));
    }
    return covered;
}

} // namespace

template <class Archive>
void serialize(Archive &archive, datagram_envelope &envelope)
{
    archive(envelope.kind, envelope.sender, envelope.incarnation, envelope.sequence);
}

const char *datagramFaultName(datagram_fault fault)
{
    switch (fault) {
    case datagram_fault::Oversized:
        return "oversized";
    case datagram_fault::Truncated:
        return "truncated";
    case datagram_fault::WrongVersion:
        return "wrong_version";
    case datagram_fault::Forged:
        return "forged";
    case datagram_fault::Malformed:
        return "malformed";
    case datagram_fault::Replayed:
        return "replayed";
    case datagram_fault::UnknownSender:
        return "unknown_sender";
    }
    return "unknown";
}

datagram_codec::datagram_codec(std::span<const std::byte> deploymentKey)
    : m_authenticator(deploymentKey, "ebonyway datagram v1")
{ }

result<std::vector<std::byte>> datagram_codec::seal(const datagram_envelope &envelope,
                                                    std::span<const std::byte> payload,
                                                    instance_id recipient) const
{
    std::vector<std::byte> bytes;
    bytes.reserve(MaxDatagramSize);
    bounded_writer archive(bytes);
    archive(DatagramVersion, envelope);
    archive.writeBytes(payload.data(), payload.size());
    if (bytes.size() + AuthenticationTagSize > MaxDatagramSize) {
        return error{error_kind::LimitExceeded,
                     "datagram payload of " + std::to_string(payload.size())
                             + " bytes does not fit into " + std::to_string(MaxDatagramSize),
                     "Split the payload"};
    }
    const auto kind = static_cast<std::uint8_t>(envelope.kind);
    const auto tag = m_authenticator.tag(signedBytes(bytes, boundRecipient(kind, recipient)));
    bytes.insert(bytes.end(), tag.begin(), tag.end());
    return bytes;
}

std::variant<secure_datagram, datagram_fault> datagram_codec::open(std::span<const std::byte> bytes,
                                                                   instance_id self) const
{
    if (bytes.size() > MaxDatagramSize) {
        return datagram_fault::Oversized;
    }
    if (bytes.size() <= VersionSize + AuthenticationTagSize) {
        return datagram_fault::Truncated;
    }
    if (std::to_integer<std::uint8_t>(bytes[0]) != DatagramVersion) {
        return datagram_fault::WrongVersion;
    }
    const auto body = bytes.first(bytes.size() - AuthenticationTagSize);
    const auto kind = std::to_integer<std::uint8_t>(body[VersionSize]);
    if (!m_authenticator.verify(signedBytes(body, boundRecipient(kind, self)),
                                bytes.last(AuthenticationTagSize))) {
        return datagram_fault::Forged;
    }
    try {
        secure_datagram datagram;
        bounded_reader archive(body.subspan(VersionSize));
        archive(datagram.envelope);
        const std::size_t payloadSize = archive.bytesLeft();
        const auto payload = body.last(payloadSize);
        datagram.payload.assign(payload.begin(), payload.end());
        if (datagram.envelope.kind < datagram_kind::Gossip
            || datagram.envelope.kind > datagram_kind::Engine) {
            return datagram_fault::Malformed;
        }
        return datagram;
    } catch (const malformed_bytes &) {
        return datagram_fault::Malformed;
    }
}

bool replay_window::accept(std::uint64_t incarnation, std::uint64_t sequence)
{
    constexpr std::uint64_t WindowSize = 64;
    if (incarnation < m_incarnation) {
        return false;
    }
    if (incarnation > m_incarnation) {
        *this = replay_window{};
        m_incarnation = incarnation;
    }
    if (sequence > m_highest) {
        const std::uint64_t step = sequence - m_highest;
        m_seen = step >= WindowSize ? 0 : m_seen << step;
        m_seen |= 1;
        m_highest = sequence;
        return true;
    }
    const std::uint64_t age = m_highest - sequence;
    if (age >= WindowSize) {
        return false;
    }
    const std::uint64_t bit = std::uint64_t{1} << age;
    const bool isNew = (m_seen & bit) == 0;
    m_seen |= bit;
    return isNew;
}

} // namespace ebonyway
