#include "core/seeded_random.h"
#include "request/known_packets.h"
#include "request/packet.h"
#include "request/packet_builder.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace ebonyway {

namespace {

struct packet_fuzz_fixture
{
    std::vector<std::vector<std::byte>> valid = validPackets();
    std::size_t accepted = 0;

    static std::vector<std::vector<std::byte>> validPackets()
    {
        const endpoint caller = at("198.51.100.7:40000");
        const endpoint server = at("192.0.2.10:443");
        const endpoint caller6 = at("[2001:db8::7]:5353");
        const endpoint server6 = at("[2001:db8:1::10]:5000");
        const std::vector<std::byte> payload(33, std::byte{0x5a});
        const tcp_segment segment{.sequence = 1, .flags = tcp_flag::Ack, .payload = payload};
        return {fromHex(V4SynWithOptions),
                fromHex(V6UdpWithExtensions),
                fromHex(V4TooBigQuotingEightBytes),
                fromHex(V6TooBigQuotingEightBytes),
                buildTcpPacket(caller, server, segment),
                buildTcpPacket(caller6, server6, segment),
                buildUdpPacket(caller, server, payload),
                buildUdpPacket(caller6, server6, payload)};
    }

    static bool holds(std::span<const std::byte> packet, std::span<const std::uint8_t> part)
    {
        const auto same = [](std::byte a, std::uint8_t b) {
            return a == std::byte{b};
        };
        return std::search(packet.begin(), packet.end(), part.begin(), part.end(), same)
               != packet.end();
    }

    static bool holdsAddress(std::span<const std::byte> packet, const ip_address &address)
    {
        const std::span<const std::uint8_t> bytes(address.bytes);
        return holds(packet, address.isV4() ? bytes.subspan(12) : bytes);
    }

    /** Parses an exact-size copy, so that the address sanitizer sees any read past its end. */
    void check(const std::vector<std::byte> &input, packet_direction direction)
    {
        const std::vector<std::byte> exact(input.begin(), input.end());
        const auto parsed = parsePacket(exact, direction);
        const auto *view = std::get_if<packet_view>(&parsed);
        if (view == nullptr) {
            return;
        }
        ++accepted;
        CHECK(view->bytes.data() == exact.data());
        CHECK(view->bytes.size() <= exact.size());
        CHECK(holdsAddress(view->bytes, view->key.service));
        CHECK(holdsAddress(view->bytes, view->key.caller));
        // The reply builders read further header fields than the parser.
        buildTcpReset(*view);
        buildForwardTcpReset(*view);
        buildPortUnreachable(*view);
    }

    void checkBothDirections(const std::vector<std::byte> &input)
    {
        check(input, packet_direction::ToService);
        check(input, packet_direction::ToCaller);
    }
};

} // namespace

TEST_CASE_FIXTURE(packet_fuzz_fixture, "packet parser, random bytes, never overruns")
{
    seeded_random random(1);
    for (int i = 0; i < 20000; ++i) {
        std::vector<std::byte> bytes(random.below(120));
        std::generate(bytes.begin(), bytes.end(),
                      [&random] { return static_cast<std::byte>(random.next()); });
        if (!bytes.empty() && random.below(2) == 0) {
            bytes[0] = random.below(2) == 0 ? std::byte{0x45} : std::byte{0x60};
        }
        checkBothDirections(bytes);
    }
}

TEST_CASE_FIXTURE(packet_fuzz_fixture,
                  "packet parser, mutated packets, yield only their own addresses")
{
    for (const std::uint64_t seed : {2, 3, 4}) {
        seeded_random random(seed);
        for (int i = 0; i < 20000; ++i) {
            std::vector<std::byte> bytes = valid[random.below(valid.size())];
            for (std::uint64_t changes = random.below(4); changes > 0; --changes) {
                bytes[random.below(bytes.size())] = static_cast<std::byte>(random.next());
            }
            bytes.resize(bytes.size() - (random.below(2) == 0 ? random.below(bytes.size()) : 0));
            checkBothDirections(bytes);
        }
    }
    CHECK(accepted > 1000); // Otherwise the mutations never reach the code behind the checks.
}

TEST_CASE_FIXTURE(packet_fuzz_fixture, "packet parser, truncated packets, are always refused")
{
    for (const std::vector<std::byte> &packet : valid) {
        REQUIRE(std::holds_alternative<packet_view>(
                parsePacket(packet, packet_direction::ToService)));
        for (std::size_t length = 0; length < packet.size(); ++length) {
            const std::vector<std::byte> cut(packet.begin(), packet.begin() + length);
            CHECK(std::holds_alternative<packet_fault>(
                    parsePacket(cut, packet_direction::ToService)));
        }
    }
}

TEST_CASE_FIXTURE(packet_fuzz_fixture,
                  "packet parser, any single bit flipped, never changes the service")
{
    // Guards invariant 2: a checksum that leaves out an address would let a damaged packet through.
    for (const std::vector<std::byte> &packet : valid) {
        const auto original =
                std::get<packet_view>(parsePacket(packet, packet_direction::ToService));
        for (std::size_t bit = 0; bit < packet.size() * 8; ++bit) {
            std::vector<std::byte> flipped = packet;
            flipped[bit / 8] ^= std::byte{1} << (bit % 8);
            const auto parsed = parsePacket(flipped, packet_direction::ToService);
            const auto *view = std::get_if<packet_view>(&parsed);
            CHECK((view == nullptr || view->key == original.key));
        }
    }
}

} // namespace ebonyway
