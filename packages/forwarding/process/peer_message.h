#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "forwarding/connection/forwarder.h"
#include "forwarding/version/exported_knowledge.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyway {

/** Description of an instance in heartbeats. */
struct peer_entry
{
    std::string name;
    std::string failureDomain;
    endpoint address; ///< UDP for heartbeats and TCP for knowledge.
    std::uint64_t boot = 0; ///< Wall-clock start time in milliseconds; distinguishes restarts.
    std::uint64_t heartbeat = 0; ///< Sequence number of the instance's last heartbeat.
    bool storeAnswers = false; ///< The store answers the instance's calls.
    bool isLeaving = false; ///< The instance is shutting down.

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, failureDomain, address, boot, heartbeat, storeAnswers, isLeaving);
    }
};

/** Heartbeat of an instance, sent as one datagram. */
struct peer_message
{
    peer_entry sender;
    known_positions positions{};
    std::vector<peer_entry> otherPeers; ///< Some of the instances that have contacted the sender.
    std::vector<peer_server_load> loads; ///< Load that the sender puts on backend servers.
    std::vector<service_demand> demands{}; ///< Demand of the sender's callers, the largest first.
    /** False in heartbeats of the previous version, whose senders do not measure demand. */
    bool hasDemands = true;

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (store_position &position : positions) {
            archive(position);
        }
        archive(sender, otherPeers, loads, demands);
    }
};

/** Maximum size of a heartbeat in bytes, so that it fits into one Ethernet frame. */
constexpr std::size_t MaxPeerMessageBytes = 1'400;

/**
 * Maximum number of demands in a heartbeat. An instance's callers rarely use more routes at a time;
 * 16 take some 250 bytes, and at most 400 with the largest figures.
 */
constexpr std::size_t MaxDemandsReported = 16;

/**
 * Encodes a heartbeat. Drops entries from `loads` and `others` until it fits, and the smallest
 * `demands` above MaxDemandsReported.
 */
std::vector<std::byte> encodePeerMessage(peer_message message);
/**
 * Decodes a heartbeat of this version or of the previous one, which has no demands. Fails with
 * LimitExceeded if the message is too large, and with InvalidInput unless it is complete.
 */
result<peer_message> decodePeerMessage(std::span<const std::byte> bytes);
/**
 * Returns the version of a message if decodePeerMessage() does not read that version, and
 * std::nullopt for the versions that it reads and if the bytes begin with no version.
 */
std::optional<std::uint32_t> unknownPeerMessageVersion(std::span<const std::byte> bytes);

/** Encodes positions as text for the path of a request for knowledge. */
std::string encodePositions(const known_positions &positions);
/** Returns std::nullopt unless the text is what encodePositions() writes. */
std::optional<known_positions> decodePositions(const std::string &text);

/** Encodes knowledge as the body of an HTTP response to another instance. */
std::string encodeKnowledge(const exported_knowledge &knowledge);
/**
 * Fails with LimitExceeded if the message is too large, and with InvalidInput unless it is complete
 * knowledge of this version.
 */
result<exported_knowledge> decodeKnowledge(const std::string &bytes);

} // namespace ebonyway
