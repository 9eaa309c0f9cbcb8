#include "process/gossip_message.h"

#include <xxhash.h>

namespace ebonyway {

namespace {

constexpr unsigned AgeBits = 5;
constexpr unsigned StateBits = 2;
constexpr std::uint8_t LagFollows = 0x80;

std::uint32_t idStep(instance_id id, instance_id previous)
{
    return id.value - previous.value;
}

instance_id readId(bounded_reader &archive, instance_id previous)
{
    std::uint32_t step = 0;
    archive(step);
    return instance_id{previous.value + step};
}

void saveHeartbeats(bounded_writer &archive, const std::vector<heartbeat_entry> &entries)
{
    archive(cereal::make_size_tag(static_cast<cereal::size_type>(entries.size())));
    instance_id previous;
    for (const heartbeat_entry &entry : entries) {
        unsigned packed = entry.age | (static_cast<unsigned>(entry.state) << AgeBits);
        packed |= entry.noteLag != 0 ? LagFollows : 0U;
        archive(idStep(entry.id, previous));
        archive.writeByte(static_cast<std::uint8_t>(packed));
        if (entry.noteLag != 0) {
            archive(entry.noteLag);
        }
        previous = entry.id;
    }
}

void loadHeartbeats(bounded_reader &archive, std::vector<heartbeat_entry> &entries)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    entries.resize(size);
    instance_id previous;
    for (heartbeat_entry &entry : entries) {
        entry.id = readId(archive, previous);
        const std::uint8_t packed = archive.readByte();
        entry.age = packed & MaxHeartbeatAge;
        const unsigned state = (packed >> AgeBits) & ((1U << StateBits) - 1);
        if (state > static_cast<unsigned>(announced_state::Leaving)) {
            throw malformed_bytes("heartbeat of an impossible state");
        }
        entry.state = static_cast<announced_state>(state);
        if ((packed & LagFollows) != 0) {
            archive(entry.noteLag);
        }
        previous = entry.id;
    }
}

void saveChecks(bounded_writer &archive, const std::vector<profile_check> &checks)
{
    archive(cereal::make_size_tag(static_cast<cereal::size_type>(checks.size())));
    instance_id previous;
    for (const profile_check &check : checks) {
        archive(idStep(check.id, previous), check.check);
        previous = check.id;
    }
}

void loadChecks(bounded_reader &archive, std::vector<profile_check> &checks)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    checks.resize(size);
    instance_id previous;
    for (profile_check &check : checks) {
        check.id = readId(archive, previous);
        archive(check.check);
        previous = check.id;
    }
}

} // namespace

std::uint8_t profileCheck(const member_details &details)
{
    std::vector<std::byte> bytes;
    bounded_writer archive(bytes);
    archive(details.incarnation, details.profile);
    return static_cast<std::uint8_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::size_t encodedSize(const heartbeat_entry &entry, instance_id previous)
{
    const std::size_t lagSize = entry.noteLag == 0 ? 0 : encodedNumberSize(entry.noteLag);
    return encodedNumberSize(idStep(entry.id, previous)) + 1 + lagSize;
}

void save(bounded_writer &archive, const member_profile &profile)
{
    archive(profile.failureDomain);
    const bool isV4 = profile.address.isV4();
    archive(isV4);
    // An IPv4-mapped address is known from its last 4 bytes.
    const std::size_t skipped = isV4 ? 12 : 0;
    archive.writeBytes(profile.address.bytes.data() + skipped,
                       profile.address.bytes.size() - skipped);
    archive(profile.gossipPort, profile.relayPort, profile.syncPort, profile.statusPort);
}

void load(bounded_reader &archive, member_profile &profile)
{
    archive(profile.failureDomain);
    if (profile.failureDomain.size() > MaxDomainNameSize) {
        throw malformed_bytes("failure domain name too long");
    }
    bool isV4 = false;
    archive(isV4);
    if (isV4) {
        profile.address = ip_address::fromV4(0);
    }
    const std::size_t skipped = isV4 ? 12 : 0;
    archive.readBytes(profile.address.bytes.data() + skipped,
                      profile.address.bytes.size() - skipped);
    archive(profile.gossipPort, profile.relayPort, profile.syncPort, profile.statusPort);
}

void save(bounded_writer &archive, const member_details &details)
{
    archive(details.id, details.incarnation, details.heartbeat, details.state, details.adoptedNote,
            details.profile);
}

void load(bounded_reader &archive, member_details &details)
{
    archive(details.id, details.incarnation, details.heartbeat, details.state, details.adoptedNote,
            details.profile);
    if (details.state > announced_state::Dead) {
        throw malformed_bytes("impossible member state");
    }
}

void save(bounded_writer &archive, const gossip_message &message)
{
    archive(message.round, message.echoedNonce, message.memberCount, message.note);
    if (message.note != note_number{}) {
        archive(message.digest);
    }
    archive(message.newestNote.value - message.note.value);
    saveHeartbeats(archive, message.heartbeats);
    archive(message.details);
    saveChecks(archive, message.checks);
    archive(message.loads);
}

void load(bounded_reader &archive, gossip_message &message)
{
    archive(message.round, message.echoedNonce, message.memberCount, message.note);
    if (message.note != note_number{}) {
        archive(message.digest);
    }
    std::uint64_t lead = 0;
    archive(lead);
    if (lead > UINT64_MAX - message.note.value) {
        throw malformed_bytes("note number out of range");
    }
    message.newestNote = note_number{message.note.value + lead};
    loadHeartbeats(archive, message.heartbeats);
    archive(message.details);
    loadChecks(archive, message.checks);
    archive(message.loads);
}

} // namespace ebonyway
