#include "standins/virtual_network.h"

#include "standins/stream_segment.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace ebonyway::standins {

namespace {

const endpoint CallerPort{ip_address::fromV4(0x7f000001), 5001};
const endpoint FabricPort{ip_address::fromV4(0x7f000001), 5002};
const endpoint TunnelPort{ip_address::fromV4(0x7f000001), 5003};
const ip_address ServiceAddress = ip_address::fromV4(0xc000020a); // 192.0.2.10

std::string textOfTime(duration sinceStart)
{
    std::array<char, 32> text{};
    const double milliseconds = std::chrono::duration<double, std::milli>(sinceStart).count();
    std::snprintf(text.data(), text.size(), "%10.3f ms  ", milliseconds);
    return text.data();
}

std::string describeContent(const packet_view &packet)
{
    if (packet.kind == packet_kind::IcmpError) {
        return "ICMP error";
    }
    if (packet.kind == packet_kind::Udp) {
        return "UDP " + readUdpPayload(packet);
    }
    const std::optional<stream_segment> segment = readSegment(packet);
    const bool isLine = segment->payload.ends_with('\n') && segment->payload.size() < 100;
    return describe(*segment) + (isLine ? " " + segment->payload : std::string());
}

} // namespace

virtual_network::virtual_network(const caller_settings &callers,
                                 const backend_server_settings &server,
                                 const fabric_disturbance &disturbance, std::uint64_t seed)
    : m_start(std::chrono::hours(1))
    , m_now(m_start)
    , m_callers(callers, seed, m_start)
    , m_fabric(seed + 1)
    , m_server(server, seed + 2)
{
    m_server.setAnswerEndpoints({FabricPort});
    m_fabric.setDisturbance(disturbance);
    m_fabric.addInstance({instance_id{1}, TunnelPort, "casa-ain"});
}

void virtual_network::note(const std::string &text)
{
    m_log += textOfTime(m_now - m_start) + text;
    m_log += text.ends_with('\n') ? "" : "\n";
}

void virtual_network::logPacket(const char *hop, std::span<const std::byte> bytes,
                                packet_direction direction)
{
    const auto parsed = parsePacket(bytes, direction);
    const auto *packet = std::get_if<packet_view>(&parsed);
    if (packet == nullptr) {
        note(std::string(hop) + " faulty packet");
        return;
    }
    const endpoint caller{packet->key.caller, packet->key.callerPort};
    note(std::string(hop) + " " + caller.toString() + " " + describeContent(*packet));
}

void virtual_network::exchange()
{
    m_callers.onTimer(m_now);
    m_server.onTimer(m_now);
    handToFabric();
    for (const fabric_delivery &delivery : m_fabric.takeDue(m_now)) {
        if (delivery.side == fabric_side::Instances) {
            logPacket("to server", delivery.bytes, packet_direction::ToService);
            m_server.onPacket(delivery.bytes, m_now);
        } else {
            logPacket("to caller", delivery.bytes, packet_direction::ToCaller);
            m_callers.onPacket(delivery.bytes, m_now);
        }
    }
    handToFabric();
    for (const caller_event &event : m_callers.takeEvents()) {
        note(event.what + ": " + event.detail);
    }
}

void virtual_network::handToFabric()
{
    for (const std::vector<std::byte> &packet : m_callers.takePackets()) {
        m_fabric.onCallerDatagram(CallerPort, packet, m_now);
    }
    for (const answer_packet &packet : m_server.takePackets()) {
        m_fabric.onInstanceDatagram(TunnelPort, packet.bytes, m_now);
    }
}

time_point virtual_network::nextTimer() const
{
    return std::min({m_callers.nextTimer(), m_fabric.nextTimer(), m_server.nextTimer()});
}

void virtual_network::runUntil(duration sinceStart)
{
    const time_point end = m_start + sinceStart;
    exchange();
    while (nextTimer() <= end) {
        m_now = std::max(m_now, nextTimer());
        exchange();
    }
    m_now = end;
}

caller_settings vitrineCallers(std::vector<traffic_class> traffic)
{
    caller_settings settings;
    settings.name = "c";
    settings.services = {{"vitrine", {ServiceAddress, 80}, transport_protocol::Tcp},
                         {"trip-desk", {ServiceAddress, 90}, transport_protocol::Udp}};
    settings.traffic = std::move(traffic);
    settings.firstAddress = ip_address::fromV4(0x0a090001); // 10.9.0.1
    return settings;
}

backend_server_settings vitrineServer()
{
    backend_server_settings settings;
    settings.service = "vitrine";
    settings.name = "vitrine-01";
    return settings;
}

} // namespace ebonyway::standins
