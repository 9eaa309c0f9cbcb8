#include "core/seeded_random.h"
#include "process/gossip_message.h"
#include "process/secure_datagram.h"
#include "process/sync_message.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct datagram_fixture
{
    std::vector<std::byte> key = std::vector<std::byte>(32, std::byte{1});
    datagram_codec codec{key};
    seeded_random random{42};
    const instance_id self{9};

    std::vector<std::byte> randomBytes(std::size_t size)
    {
        std::vector<std::byte> bytes(size);
        for (std::byte &byte : bytes) {
            byte = static_cast<std::byte>(random.next());
        }
        return bytes;
    }

    std::vector<std::byte> sealed(datagram_kind kind, const std::vector<std::byte> &payload)
    {
        auto bytes = codec.seal({kind, instance_id{3}, 7, 11}, payload, self);
        REQUIRE(isOk(bytes));
        return valueOf(bytes);
    }

    datagram_fault faultOf(const std::vector<std::byte> &bytes, instance_id receiver)
    {
        const auto opened = codec.open(bytes, receiver);
        REQUIRE(std::holds_alternative<datagram_fault>(opened));
        return std::get<datagram_fault>(opened);
    }

    static gossip_message sampleGossip()
    {
        gossip_message message;
        message.round = 1000;
        message.note = note_number{40};
        message.newestNote = note_number{42};
        message.heartbeats.push_back({instance_id{1}, 3, announced_state::Ready, 0});
        message.heartbeats.push_back({instance_id{400}, 31, announced_state::Leaving, 300});
        member_details details;
        details.id = instance_id{5};
        details.profile.failureDomain = "casa-ain";
        details.profile.address = ip_address::fromV4(0x0a000001);
        message.details.push_back(details);
        message.checks.push_back({instance_id{5}, 77});
        message.loads.push_back({backend_server_id{3}, instance_id{5}, 2, true, true, 100, 2, 99});
        return message;
    }
};

} // namespace

TEST_CASE_FIXTURE(datagram_fixture, "secure datagram, sealed and opened, content is the same")
{
    const auto payload = randomBytes(1100);
    const auto opened = codec.open(sealed(datagram_kind::Engine, payload), self);
    REQUIRE(std::holds_alternative<secure_datagram>(opened));
    const auto &datagram = std::get<secure_datagram>(opened);
    CHECK(datagram.payload == payload);
    CHECK(datagram.envelope.sender == instance_id{3});
    CHECK(datagram.envelope.incarnation == 7);
    CHECK(datagram.envelope.sequence == 11);
    CHECK_FALSE(isOk(codec.seal({}, randomBytes(1190), self)));
}

TEST_CASE_FIXTURE(datagram_fixture, "secure datagram, damaged or foreign, has a typed fault")
{
    auto bytes = sealed(datagram_kind::Engine, randomBytes(100));
    CHECK(faultOf(bytes, instance_id{10}) == datagram_fault::Forged);
    CHECK(faultOf(randomBytes(1201), self) == datagram_fault::Oversized);
    CHECK(faultOf({bytes.begin(), bytes.begin() + 17}, self) == datagram_fault::Truncated);
    CHECK(faultOf({bytes.begin(), bytes.end() - 1}, self) == datagram_fault::Forged);
    bytes[0] = std::byte{2};
    CHECK(faultOf(bytes, self) == datagram_fault::WrongVersion);
    const std::vector<std::byte> otherKey(32, std::byte{2});
    const auto foreign = datagram_codec(otherKey).seal({}, randomBytes(10), self);
    CHECK(faultOf(valueOf(foreign), self) == datagram_fault::Forged);
}

TEST_CASE_FIXTURE(datagram_fixture, "secure datagram, any flipped bit, is refused")
{
    const auto bytes = sealed(datagram_kind::Gossip, encodeBounded(sampleGossip()));
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        auto flipped = bytes;
        flipped[bit / 8] ^= std::byte{1} << (bit % 8);
        CHECK(std::holds_alternative<datagram_fault>(codec.open(flipped, self)));
    }
}

TEST_CASE_FIXTURE(datagram_fixture,
                  "decoders, random and mutated payloads, never read or grow too far")
{
    // The sanitizers in scripts/test find reads past the end and excessive allocations.
    const auto gossip = encodeBounded(sampleGossip());
    CHECK(decodeBounded<gossip_message>(gossip).has_value());
    for (int i = 0; i < 20000; ++i) {
        auto bytes = i % 2 == 0 ? randomBytes(random.below(300)) : gossip;
        for (std::size_t flips = 0; i % 2 == 1 && flips < 1 + random.below(4); ++flips) {
            bytes[random.below(bytes.size())] = static_cast<std::byte>(random.next());
        }
        if (const auto decoded = decodeBounded<gossip_message>(bytes)) {
            CHECK(decoded->heartbeats.size() <= bytes.size());
            CHECK(decoded->details.size() <= bytes.size());
        }
        decodeBounded<ping_message>(bytes);
        decodeBounded<ping_request>(bytes);
        decodeBounded<details_request>(bytes);
        decodeBounded<sync_request>(bytes);
        decodeBounded<sync_response>(bytes);
    }
}

TEST_CASE_FIXTURE(datagram_fixture, "decoders, a huge length prefix, is refused before allocating")
{
    std::vector<std::byte> bytes;
    bounded_writer(bytes).writeNumber(1ULL << 40);
    CHECK_FALSE(decodeBounded<details_request>(bytes).has_value());
    CHECK_FALSE(decodeBounded<std::string>(bytes).has_value());
}

TEST_CASE_FIXTURE(datagram_fixture, "replay window, duplicates and old numbers, are refused")
{
    replay_window window;
    CHECK(window.accept(5, 100));
    CHECK_FALSE(window.accept(5, 100));
    CHECK(window.accept(5, 90));
    CHECK_FALSE(window.accept(5, 90));
    CHECK_FALSE(window.accept(5, 36));
    CHECK_FALSE(window.accept(4, 200));
    CHECK(window.accept(6, 1));
    CHECK(window.accept(6, 1000));
    CHECK_FALSE(window.accept(6, 1));
}

TEST_CASE_FIXTURE(datagram_fixture, "sync messages, forged, oversized or misdirected, are refused")
{
    const sync_codec sync(key);
    sync_request request;
    request.nonce = 5;
    request.body = notes_request{note_number{3}, 0};
    auto bytes = valueOf(sync.seal(request));
    CHECK(isOk(sync.openRequest(bytes)));
    CHECK(errorOf(sync.openResponse(bytes)).kind == error_kind::Unauthenticated);
    bytes.back() ^= std::byte{1};
    CHECK(errorOf(sync.openRequest(bytes)).kind == error_kind::Unauthenticated);
    CHECK(errorOf(sync.openRequest(std::vector<std::byte>(MaxSyncMessageSize + 1))).kind
          == error_kind::LimitExceeded);
    sync_response response;
    response.body = snapshot_response{{}, {}, 0, 0, std::string(MaxSyncMessageSize, 'x')};
    CHECK(errorOf(sync.seal(response)).kind == error_kind::LimitExceeded);
}

} // namespace ebonyway
