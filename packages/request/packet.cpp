#include "request/packet.h"

#include "request/icmp_error.h"
#include "request/ip_header.h"
#include "request/transport_header.h"

namespace ebonyway {

namespace {

flow_key makeKey(const endpoint &caller, const endpoint &service, transport_protocol protocol)
{
    flow_key key;
    key.caller = caller.address;
    key.callerPort = caller.port;
    key.service = service.address;
    key.servicePort = service.port;
    key.protocol = protocol;
    return key;
}

bool carriesIcmp(const ip_header &header)
{
    const ip_protocol expected = header.version == 4 ? ip_protocol::Icmp : ip_protocol::IcmpV6;
    return header.protocol == static_cast<std::uint8_t>(expected);
}

std::variant<packet_view, packet_fault> parseIcmpPacket(const ip_header &header,
                                                        std::span<const std::byte> packet,
                                                        packet_direction direction)
{
    const auto parsed = parseIcmpError(header, packet.subspan(header.headerLength));
    const auto *flow = std::get_if<quoted_flow>(&parsed);
    if (flow == nullptr) {
        return std::get<packet_fault>(parsed);
    }
    // The quoted packet travelled against the error, so the roles are swapped.
    const bool quotesAnswer = direction == packet_direction::ToService;
    packet_view view;
    view.key = quotesAnswer ? makeKey(flow->destination, flow->source, flow->protocol)
                            : makeKey(flow->source, flow->destination, flow->protocol);
    view.kind = packet_kind::IcmpError;
    view.bytes = packet;
    return view;
}

std::variant<packet_view, packet_fault> parseTransportPacket(const ip_header &header,
                                                             std::span<const std::byte> packet,
                                                             packet_direction direction)
{
    const auto parsed = parseTransport(header, packet.subspan(header.headerLength));
    const auto *transport = std::get_if<transport_header>(&parsed);
    if (transport == nullptr) {
        return std::get<packet_fault>(parsed);
    }
    const endpoint source{header.source, transport->sourcePort};
    const endpoint destination{header.destination, transport->destinationPort};
    packet_view view;
    view.key = direction == packet_direction::ToService
                       ? makeKey(source, destination, transport->protocol)
                       : makeKey(destination, source, transport->protocol);
    view.kind = transport->kind;
    view.bytes = packet;
    return view;
}

} // namespace

const char *packetFaultName(packet_fault fault)
{
    switch (fault) {
    case packet_fault::Truncated:
        return "truncated";
    case packet_fault::Malformed:
        return "malformed";
    case packet_fault::Fragment:
        return "fragment";
    case packet_fault::BadChecksum:
        return "bad_checksum";
    case packet_fault::UnsupportedProtocol:
        return "unsupported_protocol";
    }
    return "malformed";
}

std::variant<packet_view, packet_fault> parsePacket(std::span<const std::byte> bytes,
                                                    packet_direction direction)
{
    const std::variant<ip_header, packet_fault> parsed = parseIpHeader(bytes);
    const auto *header = std::get_if<ip_header>(&parsed);
    if (header == nullptr) {
        return std::get<packet_fault>(parsed);
    }
    const std::span<const std::byte> packet = bytes.first(header->totalLength);
    if (carriesIcmp(*header)) {
        return parseIcmpPacket(*header, packet, direction);
    }
    return parseTransportPacket(*header, packet, direction);
}

} // namespace ebonyway
