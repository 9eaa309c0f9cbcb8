#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "forwarding/connection/forwarder.h"
#include "forwarding/version/passed_knowledge.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonyway {

/** What instances tell about one another. */
struct peer_entry
{
    std::string name;
    std::string failureDomain;
    endpoint address; ///< UDP and TCP, for messages and for knowledge.
    std::uint64_t boot = 0; ///< Wall time of its start in milliseconds; tells starts apart.
    std::uint64_t heartbeat = 0; ///< Counts its messages.
    bool storeAnswers = false;
    bool leaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, failureDomain, address, boot, heartbeat, storeAnswers, leaving);
    }
};

/** Heartbeat of an instance, one datagram. */
struct peer_message
{
    peer_entry sender;
    known_revisions revisions{};
    std::vector<peer_entry> others; ///< Some of the instances that the sender has heard of.
    std::vector<peer_server_load> loads; ///< What the sender sends to backend servers.

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (std::uint64_t &revision : revisions) {
            archive(revision);
        }
        archive(sender, others, loads);
    }
};

/** Largest heartbeat in bytes; it fits into one Ethernet frame. */
constexpr std::size_t MaxPeerMessageBytes = 1'400;

/** Writes a heartbeat, with as many loads and others as fit into one datagram. */
std::vector<std::byte> encodePeerMessage(peer_message message);
/** Fails with InvalidInput on anything but a whole heartbeat of this version. */
result<peer_message> decodePeerMessage(std::span<const std::byte> bytes);

std::string encodeKnowledge(const passed_knowledge &knowledge);
/** Fails with InvalidInput on anything but whole knowledge of this version. */
result<passed_knowledge> decodeKnowledge(const std::string &bytes);

} // namespace ebonyway
