#include "standins/stream_segment.h"

#include "request/ip_header.h"
#include "request/packet_builder.h"
#include "request/transport_header.h"

namespace ebonyway::standins {

namespace {

std::uint8_t flagsOf(const stream_segment &segment)
{
    std::uint8_t flags = 0;
    flags |= segment.syn ? tcp_flag::Syn : 0;
    flags |= segment.ack ? tcp_flag::Ack : 0;
    flags |= segment.fin ? tcp_flag::Fin : 0;
    flags |= segment.reset ? tcp_flag::Rst : 0;
    flags |= segment.payload.empty() ? std::uint8_t{0} : tcp_flag::Psh;
    return flags;
}

std::span<const std::byte> bytesOf(const std::string &text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

std::string textOf(std::span<const std::byte> bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const std::byte byte : bytes) {
        text.push_back(static_cast<char>(byte));
    }
    return text;
}

endpoint callerOf(const flow_key &flow)
{
    return {flow.caller, flow.callerPort};
}

endpoint serviceOf(const flow_key &flow)
{
    return {flow.service, flow.servicePort};
}

} // namespace

std::optional<stream_segment> readSegment(const packet_view &packet)
{
    const std::optional<tcp_segment> header = tcpSegmentOf(packet);
    if (!header) {
        return std::nullopt;
    }
    stream_segment segment;
    segment.sequence = header->sequence;
    segment.acknowledgement = header->acknowledgement;
    segment.syn = (header->flags & tcp_flag::Syn) != 0;
    segment.ack = (header->flags & tcp_flag::Ack) != 0;
    segment.fin = (header->flags & tcp_flag::Fin) != 0;
    segment.reset = (header->flags & tcp_flag::Rst) != 0;
    segment.payload = textOf(header->payload);
    return segment;
}

std::string readUdpPayload(const packet_view &packet)
{
    const std::optional<std::span<const std::byte>> payload = udpPayloadOf(packet);
    return payload ? textOf(*payload) : std::string();
}

std::optional<packet_addresses> readAddresses(std::span<const std::byte> packet)
{
    const auto parsed = parseIpHeader(packet);
    const auto *header = std::get_if<ip_header>(&parsed);
    if (header == nullptr) {
        return std::nullopt;
    }
    return packet_addresses{header->source, header->destination};
}

std::vector<std::byte> buildSegmentPacket(const flow_key &flow, packet_direction direction,
                                          const stream_segment &segment)
{
    tcp_segment header;
    header.sequence = segment.sequence;
    header.acknowledgement = segment.acknowledgement;
    header.flags = flagsOf(segment);
    header.payload = bytesOf(segment.payload);
    if (direction == packet_direction::ToService) {
        return buildTcpPacket(callerOf(flow), serviceOf(flow), header);
    }
    return buildTcpPacket(serviceOf(flow), callerOf(flow), header);
}

std::vector<std::byte> buildDatagramPacket(const flow_key &flow, packet_direction direction,
                                           const std::string &payload)
{
    if (direction == packet_direction::ToService) {
        return buildUdpPacket(callerOf(flow), serviceOf(flow), bytesOf(payload));
    }
    return buildUdpPacket(serviceOf(flow), callerOf(flow), bytesOf(payload));
}

std::string describe(const stream_segment &segment)
{
    std::string text;
    text += segment.syn ? "SYN " : "";
    text += segment.fin ? "FIN " : "";
    text += segment.reset ? "RST " : "";
    text += segment.ack ? "ACK " : "";
    text += "seq=" + std::to_string(segment.sequence);
    if (segment.ack) {
        text += " ack=" + std::to_string(segment.acknowledgement);
    }
    if (!segment.payload.empty()) {
        text += " len=" + std::to_string(segment.payload.size());
    }
    return text;
}

} // namespace ebonyway::standins
