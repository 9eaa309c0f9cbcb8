#include "core/seeded_random.h"
#include "platform/packet_codec.h"

#include <doctest/doctest.h>

#include <vector>

namespace ebonyway::platform {

namespace {

std::vector<std::byte> bytes(std::initializer_list<int> values)
{
    std::vector<std::byte> made;
    for (const int value : values) {
        made.push_back(static_cast<std::byte>(value));
    }
    return made;
}

/** Example packets from the platform's protocol documentation. */
struct packet_fixture
{
    std::vector<std::byte> opening =
            bytes({0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00,
                   0x00, 0x00, 0x00, 0x80, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x07, 0x00,
                   0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6});
    std::vector<std::byte> reset =
            bytes({0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                   0x00, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
                   0x12, 0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64});
};

} // namespace

TEST_CASE_FIXTURE(packet_fixture, "example packet, decoded, has the documented fields")
{
    const auto packet = decodePacket(opening);
    REQUIRE(packet);
    CHECK(packet->flow.caller.toString() == "100.64.0.7:40001");
    CHECK(packet->flow.service.toString() == "198.18.0.1:443");
    CHECK(packet->sequence == 0x11223344);
    CHECK(packet->opens);
    CHECK_FALSE(packet->acknowledges);
    CHECK_FALSE(packet->finishes);
    CHECK_FALSE(packet->resets);
}

TEST_CASE_FIXTURE(packet_fixture, "example packet, reset, matches the documented bytes")
{
    datagram_buffer built;
    encodeReset(*decodePacket(opening), built);
    CHECK(std::vector<std::byte>(built.bytes().begin(), built.bytes().end()) == reset);
}

TEST_CASE_FIXTURE(packet_fixture,
                  "packet for a server, encoded, changes only the token and adds the id")
{
    datagram_buffer built;
    encodeForServer(opening, server_key{0x7f3a91c2}, flow_token{0x01020304}, built);
    REQUIRE(built.length == opening.size() + ServerPrefixBytes);
    const auto prefix = bytes({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
    CHECK(std::equal(prefix.begin(), prefix.end(), built.storage.begin()));
    const auto token = bytes({4, 3, 2, 1});
    CHECK(std::equal(token.begin(), token.end(), built.storage.begin() + ServerPrefixBytes));
    CHECK(std::equal(opening.begin() + 4, opening.end(),
                     built.storage.begin() + ServerPrefixBytes + 4));
}

TEST_CASE_FIXTURE(packet_fixture, "packet, wrong length, is rejected")
{
    CHECK_FALSE(decodePacket(std::span(opening).first(31)));
    opening.push_back(std::byte{0});
    CHECK_FALSE(decodePacket(opening));
    opening.assign(MaxPacketBytes + 1, std::byte{0});
    CHECK_FALSE(decodePacket(opening));
}

TEST_CASE("decoder, random datagrams, accepts only consistent lengths and encodes them again")
{
    seeded_random random(20261204);
    int accepted = 0;
    for (int i = 0; i < 200'000; ++i) {
        std::vector<std::byte> datagram(random.below(80));
        for (std::byte &byte : datagram) {
            byte = static_cast<std::byte>(random.below(256));
        }
        if (datagram.size() >= 6 && random.below(2) == 0) {
            datagram[4] = static_cast<std::byte>(datagram.size() - PacketHeaderBytes);
            datagram[5] = std::byte{0};
        }
        const auto packet = decodePacket(datagram);
        if (!packet) {
            continue;
        }
        ++accepted;
        CHECK(packet->dataLength + PacketHeaderBytes == datagram.size());
        datagram_buffer built;
        encodeForServer(datagram, server_key{random.next()}, flow_token{1}, built);
        CHECK(built.length == datagram.size() + ServerPrefixBytes);
        encodeReset(*packet, built);
        CHECK(built.length == PacketHeaderBytes);
    }
    CHECK(accepted > 10'000);
}

} // namespace ebonyway::platform
