#include "connection/peer_exchange.h"

#include <algorithm>

namespace ebonyway {

peer_exchange::peer_exchange(std::uint32_t session)
    : m_session(session)
{ }

peer_channel &peer_exchange::channel(instance_id peer)
{
    return m_channels.try_emplace(peer, m_session).first->second;
}

void peer_exchange::send(instance_id to, const engine_record &record)
{
    channel(to).enqueue(record);
}

void peer_exchange::erase(instance_id peer)
{
    // A later channel to the same peer must not reuse sequence numbers within the same session.
    const auto found = m_channels.find(peer);
    if (found == m_channels.end()) {
        return;
    }
    m_session = std::max(m_session, found->second.session()) + 1;
    m_channels.erase(found);
}

std::vector<engine_record> peer_exchange::receive(instance_id from,
                                                  std::span<const std::byte> bytes, time_point now)
{
    std::optional<engine_frame> frame = decodeFrame(bytes);
    if (!frame) {
        ++m_malformedCount;
        return {};
    }
    return channel(from).accept(std::move(*frame), now);
}

std::vector<outgoing_message> peer_exchange::takeMessages(time_point now)
{
    std::vector<outgoing_message> messages;
    for (auto &[peer, channel] : m_channels) {
        for (std::vector<std::byte> &frame : channel.takeFrames(now)) {
            messages.push_back({peer, std::move(frame)});
        }
    }
    return messages;
}

bool peer_exchange::isIdle() const
{
    return std::all_of(m_channels.begin(), m_channels.end(),
                       [](const auto &entry) { return entry.second.isIdle(); });
}

} // namespace ebonyway
