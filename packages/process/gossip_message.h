#pragma once

#include "core/bounded_archive.h"
#include "core/ids.h"
#include "core/ip_address.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Longest failure domain name in bytes that instances exchange. */
constexpr std::size_t MaxDomainNameSize = 63;

/** What a member tells about itself when it starts; constant until it restarts. */
struct member_profile
{
    std::string failureDomain; ///< Name from the settings; the id may not be known yet.
    ip_address address;
    std::uint16_t gossipPort = 0;
    std::uint16_t relayPort = 0;
    std::uint16_t syncPort = 0;
    std::uint16_t statusPort = 0;

    bool operator==(const member_profile &) const = default;
};

/** Member states that instances tell each other. Silence is judged by each instance itself. */
enum class announced_state : std::uint8_t {
    Joining, ///< Told by the member itself.
    Ready, ///< Told by the member itself.
    Leaving, ///< Told by the member itself.
    Left, ///< Told by the member itself: the last message before it exits.
    Dead, ///< Told by another member that heard nothing from it.
};

/** Everything known about one member. Newer details have a higher incarnation or heartbeat. */
struct member_details
{
    instance_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0; ///< Round of the newest known heartbeat.
    announced_state state = announced_state::Joining;
    note_number adoptedNote;
    member_profile profile;
};

/** Largest age in rounds that a heartbeat entry can carry. Older heartbeats are left out. */
constexpr std::uint64_t MaxHeartbeatAge = 31;

/**
 * The heartbeat of one member in 2 bytes in the common case. Heartbeats are round numbers that all
 * members keep close to each other, so the age in rounds fits into 5 bits.
 */
struct heartbeat_entry
{
    instance_id id;
    std::uint8_t age = 0; ///< The message's round minus the heartbeat, at most MaxHeartbeatAge.
    announced_state state = announced_state::Joining; ///< Joining, Ready or Leaving.
    std::uint64_t noteLag = 0; ///< The message's newestNote minus the member's adopted note.
};

/** One byte that differs (with probability 255/256) when the details of a member differ. */
struct profile_check
{
    instance_id id;
    std::uint8_t check = 0;
};

/** A backend server's health and load as one prober saw it. */
struct load_summary
{
    backend_server_id backendServer;
    instance_id prober;
    std::uint8_t age = 0; ///< The message's round minus the round of the probe.
    bool reachable = false;
    bool ready = false;
    std::uint32_t openConnections = 0;
    std::uint32_t busySlots = 0;
    std::uint64_t startCount = 0;
};

/** Leading bytes of a note digest. Enough to tell forks apart among authenticated members. */
using digest_prefix = std::array<std::uint8_t, 8>;

/** Payload of a gossip datagram. */
struct gossip_message
{
    std::uint64_t round = 0; ///< Highest heartbeat known to the sender.
    std::uint32_t echoedNonce = 0; ///< Nonce of the ping that this message answers, or 0.
    std::uint16_t memberCount = 0; ///< Live members that the sender knows, itself included.
    note_number note; ///< Highest note adopted by the sender.
    digest_prefix digest{}; ///< Of that note; sent only if the note number is not 0.
    note_number newestNote; ///< Highest note adopted by any member that the sender knows of.
    std::vector<heartbeat_entry> heartbeats; ///< Ordered by id.
    std::vector<member_details> details;
    std::vector<profile_check> checks; ///< Ordered by id.
    std::vector<load_summary> loads;
};

/**
 * Payload of a ping. It tells nothing about its sender, so that a replayed ping cannot make an
 * instance that has long ended look alive.
 */
struct ping_message
{
    std::uint32_t nonce = 0; ///< Not 0.
};

/** Asks the receiver to ping the target and to report what it heard. */
struct ping_request
{
    instance_id target;
};

/** Asks for the details of members that the sender of the request does not know. */
struct details_request
{
    std::vector<instance_id> ids;
};

/** Returns the check byte of a member's incarnation and profile. */
std::uint8_t profileCheck(const member_details &details);

/** Encoded size in bytes of a heartbeat entry that follows an entry with the previous id. */
std::size_t encodedSize(const heartbeat_entry &entry, instance_id previous);

template <class Archive>
void serialize(Archive &archive, ping_message &message)
{
    archive(message.nonce);
}

template <class Archive>
void serialize(Archive &archive, ping_request &request)
{
    archive(request.target);
}

template <class Archive>
void serialize(Archive &archive, details_request &request)
{
    archive(request.ids);
}

template <class Archive>
void serialize(Archive &archive, load_summary &summary)
{
    archive(summary.backendServer, summary.prober, summary.age, summary.reachable, summary.ready,
            summary.openConnections, summary.busySlots, summary.startCount);
}

void save(bounded_writer &archive, const member_profile &profile);
void load(bounded_reader &archive, member_profile &profile);
void save(bounded_writer &archive, const member_details &details);
void load(bounded_reader &archive, member_details &details);
void save(bounded_writer &archive, const gossip_message &message);
void load(bounded_reader &archive, gossip_message &message);

} // namespace ebonyway
