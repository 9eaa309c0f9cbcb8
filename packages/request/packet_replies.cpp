#include "request/packet.h"
#include "request/packet_builder.h"

namespace ebonyway {

namespace {

endpoint callerOf(const packet_view &packet)
{
    return {packet.key.caller, packet.key.callerPort};
}

endpoint serviceOf(const packet_view &packet)
{
    return {packet.key.service, packet.key.servicePort};
}

/** Returns how much sequence space a segment takes; SYN and FIN take one number each. */
std::uint32_t sequenceLength(const tcp_segment &segment)
{
    const std::uint32_t syn = (segment.flags & tcp_flag::Syn) != 0 ? 1 : 0;
    const std::uint32_t fin = (segment.flags & tcp_flag::Fin) != 0 ? 1 : 0;
    return static_cast<std::uint32_t>(segment.payload.size()) + syn + fin;
}

tcp_segment resetFor(const tcp_segment &segment)
{
    tcp_segment reset;
    reset.window = 0;
    if ((segment.flags & tcp_flag::Ack) != 0) {
        reset.flags = tcp_flag::Rst;
        reset.sequence = segment.acknowledgement;
        return reset;
    }
    reset.flags = tcp_flag::Rst | tcp_flag::Ack;
    reset.acknowledgement = segment.sequence + sequenceLength(segment);
    return reset;
}

} // namespace

std::vector<std::byte> buildTcpReset(const packet_view &packet)
{
    const std::optional<tcp_segment> segment = tcpSegmentOf(packet);
    if (!segment || packet.kind == packet_kind::TcpRst) {
        return {};
    }
    return buildTcpPacket(serviceOf(packet), callerOf(packet), resetFor(*segment));
}

std::vector<std::byte> buildForwardTcpReset(const packet_view &packet)
{
    const std::optional<tcp_segment> segment = tcpSegmentOf(packet);
    if (!segment) {
        return {};
    }
    tcp_segment reset;
    reset.window = 0;
    reset.flags = tcp_flag::Rst;
    reset.sequence = segment->sequence;
    return buildTcpPacket(callerOf(packet), serviceOf(packet), reset);
}

std::vector<std::byte> buildPortUnreachable(const packet_view &packet)
{
    if (packet.kind == packet_kind::IcmpError) {
        return {};
    }
    return buildIcmpError(packet.key.service, packet.key.caller, icmp_error_kind::PortUnreachable,
                          packet.bytes);
}

} // namespace ebonyway
