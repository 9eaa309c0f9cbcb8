#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "process/message_authenticator.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace ebonyway {

/** Largest datagram between instances in bytes, tag included. Fits every path without fragments. */
constexpr std::size_t MaxDatagramSize = 1200;

/** Protocol version in the first byte of each datagram. */
constexpr std::uint8_t DatagramVersion = 1;

/** What the payload of a datagram holds. */
enum class datagram_kind : std::uint8_t {
    Gossip = 1, ///< gossip_message
    Ping, ///< ping_message, answered by gossip that echoes its nonce
    PingRequest, ///< ping_request: ping a third member and report
    DetailsRequest, ///< details_request, answered by gossip with the details
    Engine, ///< Opaque bytes of the flow engine
};

/** Header of each datagram. */
struct datagram_envelope
{
    datagram_kind kind = datagram_kind::Gossip;
    instance_id sender;
    std::uint64_t incarnation = 0; ///< Grows with each start of the sender.
    std::uint64_t sequence = 0; ///< Grows with each datagram that the sender sends.
};

/** A verified datagram. */
struct secure_datagram
{
    datagram_envelope envelope;
    std::vector<std::byte> payload;
};

/** Reasons for which a received datagram is dropped. Each is counted separately. */
enum class datagram_fault : std::uint8_t {
    Oversized, ///< Longer than MaxDatagramSize.
    Truncated, ///< Shorter than a version byte and a tag.
    WrongVersion, ///< The sender speaks another protocol version.
    Forged, ///< The tag does not match the bytes and the recipient.
    Malformed, ///< Authentic, but the header or payload cannot be decoded.
    Replayed, ///< A datagram with this sequence number was already accepted.
    UnknownSender, ///< An engine message of an instance that is not a member.
};

/** Number of datagram_fault values, for counters indexed by fault. */
constexpr std::size_t DatagramFaultCount = 7;

/** Returns the stable lower-case name used in metrics, for example "wrong_version". */
const char *datagramFaultName(datagram_fault fault);

/** Seals and opens datagrams under the deployment key. */
class datagram_codec
{
public:
    explicit datagram_codec(std::span<const std::byte> deploymentKey);

    /**
     * Encodes and signs a datagram. An engine message is bound to its recipient, so that it cannot
     * be replayed to another instance; other kinds ignore the recipient, because a seed's id is not
     * known yet. Fails with LimitExceeded if the datagram would be longer than MaxDatagramSize.
     */
    result<std::vector<std::byte>> seal(const datagram_envelope &envelope,
                                        std::span<const std::byte> payload,
                                        instance_id recipient) const;

    /** Verifies the bytes first, then decodes the envelope. */
    std::variant<secure_datagram, datagram_fault> open(std::span<const std::byte> bytes,
                                                       instance_id self) const;

private:
    message_authenticator m_authenticator;
};

/**
 * Accepts each sequence number of one sender at most once. Tolerates reordering within 64 numbers;
 * anything older counts as a replay.
 */
class replay_window
{
public:
    /** Returns whether the number is new, and remembers it. */
    bool accept(std::uint64_t incarnation, std::uint64_t sequence);

private:
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_highest = 0;
    std::uint64_t m_seen = 0; ///< Bit i: number m_highest - i was accepted.
};

} // namespace ebonyway
