#include "platform/platform_deployment_adapter.h"

#include "platform/object_store_client.h"
#include "platform/packet_codec.h"

#include <cstdlib>
#include <utility>

namespace ebonyway::platform {

std::optional<flow_packet>
platform_deployment_adapter::decodePacket(std::span<const std::byte> datagram) const
{
    return platform::decodePacket(datagram);
}

void platform_deployment_adapter::encodeForServer(std::span<const std::byte> packet,
                                                  server_key server, flow_token token,
                                                  datagram_buffer &target) const
{
    platform::encodeForServer(packet, server, token, target);
}

void platform_deployment_adapter::encodeReset(const flow_packet &packet,
                                              datagram_buffer &target) const
{
    platform::encodeReset(packet, target);
}

std::unique_ptr<store_port>
platform_deployment_adapter::connectStore(ACE_Reactor &loop, const endpoint &store,
                                          store_port::answer_handler onAnswer) const
{
    return std::make_unique<object_store_client>(loop, store, std::move(onAnswer));
}

std::string platform_deployment_adapter::readinessPath() const
{
    return "/v1/readiness";
}

std::string settingsPath()
{
    const char *path = std::getenv("EBONYWAY_SETTINGS");
    return path ? path : "";
}

} // namespace ebonyway::platform
