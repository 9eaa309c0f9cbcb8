#pragma once

#include "request/flow_key.h"
#include "request/packet.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** The fields of a TCP segment that the stand-ins use, with its own copy of the payload. */
struct stream_segment
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0; ///< Valid only if ack is set.
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    std::string payload;
};

/** Source and destination of an IP packet. */
struct packet_addresses
{
    ip_address source;
    ip_address destination;
};

/** Reads the TCP fields of a parsed packet; nothing if the packet is not TCP. */
std::optional<stream_segment> readSegment(const packet_view &packet);

/** Returns the payload of a parsed UDP packet, or an empty string. */
std::string readUdpPayload(const packet_view &packet);

/** Returns the addresses of an IP packet; nothing if its IP header is faulty. */
std::optional<packet_addresses> readAddresses(std::span<const std::byte> packet);

/** Builds the IP packet that carries the segment of the flow in the given direction. */
std::vector<std::byte> buildSegmentPacket(const flow_key &flow, packet_direction direction,
                                          const stream_segment &segment);

/** Builds the IP packet that carries a datagram of the flow in the given direction. */
std::vector<std::byte> buildDatagramPacket(const flow_key &flow, packet_direction direction,
                                           const std::string &payload);

/** Describes a segment on one line, for example "SYN seq=7" or "ACK seq=8 ack=100 len=12". */
std::string describe(const stream_segment &segment);

} // namespace ebonyway::standins
