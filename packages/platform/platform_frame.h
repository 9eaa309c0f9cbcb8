#pragma once

#include "forwarding/edge/frame_adapter.h"

namespace ebonyway::platform {

/** The adapter to the users' platform. */
class platform_frame : public frame_adapter
{
public:
    std::optional<flow_packet> decodePacket(std::span<const std::byte> datagram) const override;
    void encodeForServer(std::span<const std::byte> packet, server_key server, flow_token token,
                         datagram_buffer &target) const override;
    void encodeReset(const flow_packet &packet, datagram_buffer &target) const override;
    std::unique_ptr<store_port> connectStore(ACE_Reactor &loop, const endpoint &store,
                                             store_port::answer_handler onAnswer) const override;
    std::string readinessPath() const override;
};

/** Returns the path of the settings file that the platform names in the environment; may be empty.
 */
std::string settingsPath();

} // namespace ebonyway::platform
