#pragma once

#include "connection/peer_channel.h"

#include <map>
#include <vector>

namespace ebonyway {

/** A datagram to the flow engine of a peer. */
struct outgoing_message
{
    instance_id to;
    std::vector<std::byte> bytes;
};

/** The channels of one flow engine to all its peers. */
class peer_exchange
{
public:
    /** The session must be greater than in any earlier run of this instance. */
    explicit peer_exchange(std::uint32_t session);

    void send(instance_id to, const engine_record &record);
    peer_channel &channel(instance_id peer);
    /** Removes the channel to a peer that has left the cluster. */
    void erase(instance_id peer);

    /** Decodes a datagram and returns the records that are now in order, if any. */
    std::vector<engine_record> receive(instance_id from, std::span<const std::byte> bytes,
                                       time_point now);

    std::vector<outgoing_message> takeMessages(time_point now);
    /** Returns whether everything sent has been acknowledged. */
    bool isIdle() const;
    std::uint64_t malformedCount() const { return m_malformedCount; }

private:
    std::uint32_t m_session;
    std::map<instance_id, peer_channel> m_channels;
    std::uint64_t m_malformedCount = 0;
};

} // namespace ebonyway
