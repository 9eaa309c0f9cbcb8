#pragma once

#include "forwarding/edge/deployment_adapter.h"

namespace ebonyway::platform {

/** Adapter for the platform's packet format and object store. */
class platform_deployment_adapter : public deployment_adapter
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

/** Returns the settings file path in the environment variable EBONYWAY_SETTINGS; may be empty. */
std::string settingsPath();

} // namespace ebonyway::platform
