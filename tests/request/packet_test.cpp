#include "request/byte_order.h"
#include "request/checksum.h"
#include "request/known_packets.h"
#include "request/packet.h"
#include "request/packet_builder.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct packet_fixture
{
    const endpoint caller = at("198.51.100.7:40000");
    const endpoint server = at("192.0.2.10:443");
    const endpoint caller6 = at("[2001:db8::7]:5353");
    const endpoint server6 = at("[2001:db8:1::10]:5000");

    std::vector<std::byte> bytes; ///< Keeps the packet alive that the last view refers to.

    packet_view parse(std::vector<std::byte> packet,
                      packet_direction direction = packet_direction::ToService)
    {
        bytes = std::move(packet);
        const auto parsed = parsePacket(bytes, direction);
        REQUIRE(std::holds_alternative<packet_view>(parsed));
        return std::get<packet_view>(parsed);
    }

    static void checkFault(const std::vector<std::byte> &packet, packet_fault expected)
    {
        const auto parsed = parsePacket(packet, packet_direction::ToService);
        REQUIRE(std::holds_alternative<packet_fault>(parsed));
        CHECK(std::string(packetFaultName(std::get<packet_fault>(parsed)))
              == packetFaultName(expected));
    }

    static void checkKey(const packet_view &view, const endpoint &expectedCaller,
                         const endpoint &expectedService)
    {
        CHECK(endpoint{view.key.caller, view.key.callerPort} == expectedCaller);
        CHECK(endpoint{view.key.service, view.key.servicePort} == expectedService);
    }

    std::vector<std::byte> tcp(std::uint8_t flags) const
    {
        return buildTcpPacket(caller, server,
                              {.sequence = 10, .acknowledgement = 20, .flags = flags});
    }

    /** Rewrites a 16-bit field of an IPv4 header and corrects the header checksum. */
    static std::vector<std::byte> withV4Field(std::vector<std::byte> packet, std::size_t offset,
                                              std::uint16_t value)
    {
        writeU16(packet, offset, value);
        writeU16(packet, 10, 0);
        internet_checksum checksum;
        checksum.addBytes(std::span(packet).first(20));
        writeU16(packet, 10, checksum.value());
        return packet;
    }
};

} // namespace

TEST_CASE_FIXTURE(packet_fixture, "packet, IPv4 options and IPv6 extension headers, are skipped")
{
    // Guards against reading ports from options, which would route to a wrong slot or service.
    const packet_view syn = parse(fromHex(V4SynWithOptions));
    checkKey(syn, caller, server);
    CHECK(syn.kind == packet_kind::TcpSyn);

    const packet_view datagram = parse(fromHex(V6UdpWithExtensions));
    checkKey(datagram, caller6, server6);
    CHECK(datagram.kind == packet_kind::Udp);
    CHECK(udpPayloadOf(datagram)->size() == 3);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, ICMP error with eight quoted bytes, follows its flow")
{
    // Guards against losing path MTU discovery and against reading past the quoted bytes.
    const packet_view v4 = parse(fromHex(V4TooBigQuotingEightBytes));
    checkKey(v4, caller, server);
    CHECK(v4.kind == packet_kind::IcmpError);
    CHECK(v4.key.protocol == transport_protocol::Tcp);

    const packet_view v6 = parse(fromHex(V6TooBigQuotingEightBytes));
    checkKey(v6, caller6, server6);
    CHECK(v6.key.protocol == transport_protocol::Udp);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, answer, is keyed from the caller to the service")
{
    const auto answer = buildUdpPacket(server6, caller6, {});
    checkKey(parse(answer, packet_direction::ToCaller), caller6, server6);
    // A backend server's own ICMP error quotes a packet of the caller.
    const auto request = buildUdpPacket(caller6, server6, {});
    const auto unreachable = buildIcmpError(server6.address, caller6.address,
                                            icmp_error_kind::PortUnreachable, request);
    checkKey(parse(unreachable, packet_direction::ToCaller), caller6, server6);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, TCP flags, give the kind")
{
    CHECK(parse(tcp(tcp_flag::Syn)).kind == packet_kind::TcpSyn);
    CHECK(parse(tcp(tcp_flag::Syn | tcp_flag::Ack)).kind == packet_kind::TcpMidFlow);
    CHECK(parse(tcp(tcp_flag::Ack | tcp_flag::Psh)).kind == packet_kind::TcpMidFlow);
    CHECK(parse(tcp(tcp_flag::Ack | tcp_flag::Fin)).kind == packet_kind::TcpFin);
    CHECK(parse(tcp(tcp_flag::Ack | tcp_flag::Rst)).kind == packet_kind::TcpRst);
    checkFault(tcp(tcp_flag::Syn | tcp_flag::Fin), packet_fault::Malformed);
    checkFault(tcp(tcp_flag::Syn | tcp_flag::Rst), packet_fault::Malformed);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, padding after the IP length, is cut off")
{
    std::vector<std::byte> padded = tcp(tcp_flag::Ack);
    const std::size_t length = padded.size();
    padded.resize(length + 6);
    CHECK(parse(padded).bytes.size() == length);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, UDP checksum zero, is allowed only in IPv4")
{
    std::vector<std::byte> v4 = buildUdpPacket(caller, server, {});
    writeU16(v4, 26, 0);
    parse(v4);
    std::vector<std::byte> v6 = buildUdpPacket(caller6, server6, {});
    writeU16(v6, 46, 0);
    checkFault(v6, packet_fault::BadChecksum);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, fragments and impossible headers, are refused by reason")
{
    const std::vector<std::byte> syn = tcp(tcp_flag::Syn);
    checkFault(withV4Field(syn, 6, 0x2000), packet_fault::Fragment);
    checkFault(withV4Field(syn, 6, 0x0001), packet_fault::Fragment);
    checkFault(withV4Field(syn, 2, 10), packet_fault::Malformed);
    checkFault(withV4Field(syn, 8, 0x402f), packet_fault::UnsupportedProtocol); // GRE
    checkFault(withV4Field(syn, 12, 0xe000), packet_fault::Malformed); // multicast source
    checkFault({syn.begin(), syn.end() - 1}, packet_fault::Truncated);
    checkFault({}, packet_fault::Truncated);
    std::vector<std::byte> v6 = fromHex(V6UdpWithExtensions);
    v6[40 + 8 + 3] = std::byte{1}; // segments left
    checkFault(v6, packet_fault::Malformed);
    v6[6] = std::byte{44};
    checkFault(v6, packet_fault::Fragment);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, IPv4-mapped address in IPv6, is refused")
{
    // Guards invariant 2: such a packet would otherwise match the IPv4 service of that address.
    std::vector<std::byte> packet = buildUdpPacket(caller6, server6, {});
    std::copy(server.address.bytes.begin(), server.address.bytes.end(),
              reinterpret_cast<std::uint8_t *>(packet.data()) + 24);
    checkFault(packet, packet_fault::Malformed);
}

TEST_CASE_FIXTURE(packet_fixture, "packet, ICMP error quoting another service's flow, is refused")
{
    // Guards invariant 2: the error would follow a flow of 192.0.2.10 while addressed to
    // 192.0.2.11.
    const auto answer = buildTcpPacket(server, caller, {.flags = tcp_flag::Ack});
    const ip_address other = at("192.0.2.11:443").address;
    checkFault(buildIcmpError(caller.address, other, icmp_error_kind::TimeExceeded, answer),
               packet_fault::Malformed);
}

TEST_CASE_FIXTURE(packet_fixture, "TCP reset, SYN and mid-flow packet, follows RFC 9293")
{
    CHECK(buildTcpReset(parse(fromHex(V4SynWithOptions))) == fromHex(V4ResetToSyn));

    const std::vector<std::byte> payload(5);
    const auto segment = tcp_segment{
            .sequence = 100, .acknowledgement = 200, .flags = tcp_flag::Ack, .payload = payload};
    const auto reset = buildTcpReset(parse(buildTcpPacket(caller6, server6, segment)));
    const packet_view view = parse(reset, packet_direction::ToCaller);
    checkKey(view, caller6, server6);
    CHECK(tcpSegmentOf(view)->flags == tcp_flag::Rst);
    CHECK(tcpSegmentOf(view)->sequence == 200);

    // A FIN without ACK takes one sequence number after its payload.
    const auto fin = tcp_segment{.sequence = 100, .flags = tcp_flag::Fin, .payload = payload};
    const auto finReset = buildTcpReset(parse(buildTcpPacket(caller, server, fin)));
    CHECK(tcpSegmentOf(parse(finReset, packet_direction::ToCaller))->acknowledgement == 106);
}

TEST_CASE_FIXTURE(packet_fixture, "TCP reset, RST or other protocol, is not built")
{
    // Guards against two hosts answering each other's resets for ever.
    CHECK(buildTcpReset(parse(tcp(tcp_flag::Rst))).empty());
    CHECK(buildTcpReset(parse(buildUdpPacket(caller, server, {}))).empty());
    CHECK(buildTcpReset(parse(fromHex(V4TooBigQuotingEightBytes))).empty());
    CHECK(buildForwardTcpReset(parse(buildUdpPacket(caller, server, {}))).empty());
    CHECK(buildPortUnreachable(parse(fromHex(V4TooBigQuotingEightBytes))).empty());
}

TEST_CASE_FIXTURE(packet_fixture, "forward TCP reset, mid-flow packet, repeats its sequence number")
{
    const packet_view view = parse(buildForwardTcpReset(parse(tcp(tcp_flag::Ack))));
    checkKey(view, caller, server);
    CHECK(view.kind == packet_kind::TcpRst);
    CHECK(tcpSegmentOf(view)->sequence == 10);
}

TEST_CASE_FIXTURE(packet_fixture,
                  "port unreachable, large request, quotes it within the size limit")
{
    const std::vector<std::byte> payload(1400);
    const auto v4 = buildPortUnreachable(parse(buildUdpPacket(caller, server, payload)));
    CHECK(v4.size() == 576);
    checkKey(parse(v4, packet_direction::ToCaller), caller, server);
    const auto v6 = buildPortUnreachable(parse(buildUdpPacket(caller6, server6, payload)));
    CHECK(v6.size() == 1280);
    checkKey(parse(v6, packet_direction::ToCaller), caller6, server6);
}

} // namespace ebonyway
