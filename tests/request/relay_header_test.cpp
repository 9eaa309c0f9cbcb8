#include "core/seeded_random.h"
#include "request/relay_header.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace ebonyway {

namespace {

struct relay_header_fixture
{
    static constexpr std::array<std::uint8_t, RelayHeaderSize> Known{'E', 'W', 1, 2, 0, 1, 2, 3};

    static std::array<std::byte, RelayHeaderSize> known()
    {
        std::array<std::byte, RelayHeaderSize> bytes{};
        std::transform(Known.begin(), Known.end(), bytes.begin(),
                       [](std::uint8_t b) { return std::byte{b}; });
        return bytes;
    }
};

} // namespace

TEST_CASE_FIXTURE(relay_header_fixture, "relay header, known bytes, match the design page")
{
    const relay_header header{2, instance_id{0x00010203}, std::nullopt};
    const auto encoded = encodeRelayHeader(header);
    const auto expected = known();
    CHECK(header.size() == RelayHeaderSize);
    CHECK(std::equal(expected.begin(), expected.end(), encoded.begin()));
    const auto decoded = decodeRelayHeader(known());
    REQUIRE(decoded.has_value());
    CHECK(decoded->hops == 2);
    CHECK(decoded->sender == instance_id{0x00010203});
}

TEST_CASE_FIXTURE(relay_header_fixture, "relay header, answer, carries its backend server")
{
    // Guards against judging a relayed answer as if a caller had sent it.
    const relay_header header{1, instance_id{7}, backend_server_id{0x0102}};
    const auto encoded = encodeRelayHeader(header);
    CHECK(header.size() == RelayAnswerHeaderSize);
    const auto decoded = decodeRelayHeader(encoded);
    REQUIRE(decoded.has_value());
    CHECK(decoded->hops == 1);
    CHECK(decoded->answerFrom == backend_server_id{0x0102});
    CHECK_FALSE(decodeRelayHeader(std::span(encoded).first(RelayHeaderSize)).has_value());
}

TEST_CASE_FIXTURE(relay_header_fixture, "relay header, other bytes, are refused without overrun")
{
    // Guards against taking a stray datagram for a relayed packet.
    for (const std::size_t changed : {0, 1, 2}) {
        auto bytes = known();
        bytes[changed] ^= std::byte{0x20};
        CHECK_FALSE(decodeRelayHeader(bytes).has_value());
    }
    auto withoutHops = known();
    withoutHops[3] = std::byte{0};
    CHECK_FALSE(decodeRelayHeader(withoutHops).has_value());
    const auto whole = known();
    for (std::size_t length = 0; length < RelayHeaderSize; ++length) {
        CHECK_FALSE(decodeRelayHeader(std::span(whole).first(length)).has_value());
    }
}

TEST_CASE_FIXTURE(relay_header_fixture, "relay header, random bytes, decode only to what they hold")
{
    seeded_random random(7);
    for (int i = 0; i < 20000; ++i) {
        std::vector<std::byte> bytes(random.below(12));
        for (std::byte &b : bytes) {
            // Half of the bytes come from the known header, so that some datagrams are accepted.
            const std::size_t index = static_cast<std::size_t>(&b - bytes.data());
            const bool keep = index < RelayHeaderSize && random.below(4) != 0;
            b = keep ? known()[index] : static_cast<std::byte>(random.next());
        }
        const auto decoded = decodeRelayHeader(bytes);
        if (!decoded) {
            continue;
        }
        const auto encoded = encodeRelayHeader(*decoded);
        REQUIRE(decoded->size() <= bytes.size());
        CHECK(std::equal(encoded.begin(), encoded.begin() + decoded->size(), bytes.begin()));
    }
}

} // namespace ebonyway
