#include "forwarding/edge/forwarding_daemon.h"
#include "io/socket_address.h"
#include "platform/packet_codec.h"
#include "platform/platform_deployment_adapter.h"
#include "system/object_store_standin.h"

#include <ace/SOCK_Dgram.h>
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <thread>

namespace ebonyway::standins {

namespace {

// Below the ports that the kernel gives to outgoing connections, and beside those of the other
// sessions of this program.
constexpr std::uint16_t BasePort = 29200;

// Attempts after which a fault ends the test instead of hanging it. Counts, not deadlines, so that
// a busy machine does not change the verdict.
constexpr int PollAttempts = 600;
constexpr std::chrono::milliseconds PollDelay{50};

// Callers repeat their packets after this time, so that a stalled instance fails no test.
const ACE_Time_Value RepeatAfter(0, 200'000);

endpoint local(int offset)
{
    return {ip_address::fromV4(0x7f000001), static_cast<std::uint16_t>(BasePort + offset)};
}

const std::string DesiredState =
        R"({"version":3,"routes":[{"name":"r1","host":"198.18.0.1","pathPrefix":"/443/","kind":)"
        R"("idempotent","timeoutMs":4000,"goalMs":250,"priority":2,"service":"desk"}],"services":)"
        R"([{"name":"desk","maxConns":100,"coldS":2.0,"coldPerS":5.0}],"limits":)"
        R"({"idleTimeoutMs":15000}})";

std::string serverSpec(int port, const std::string &state)
{
    return R"({"service":"desk","addr":"127.0.0.1:)" + std::to_string(BasePort + port)
           + R"(","zone":"a","version":"v1","slots":4,"state":")" + state
           + R"(","coldLeftMs":0,"seq":1,"born":1000})";
}

struct discarding_log : event_log
{
    void write(const log_line &) override { }
};

struct udp_end
{
    explicit udp_end(int offset) { socket.open(toAceAddress(local(offset))); }
    ~udp_end() { socket.close(); }

    /** Empty if nothing arrives within the time after which callers repeat. */
    std::vector<std::byte> receive()
    {
        std::array<std::byte, 2'048> buffer{};
        ACE_INET_Addr from;
        const ssize_t size = socket.recv(buffer.data(), buffer.size(), from, 0, &RepeatAfter);
        return {buffer.begin(), buffer.begin() + std::max<ssize_t>(size, 0)};
    }

    ACE_SOCK_Dgram socket;
};

/** One instance, with its own threads and ports. */
struct forwarding_instance
{
    explicit forwarding_instance(int number)
        : file("/tmp/ebonyway_forwarding_" + std::to_string(BasePort + number) + ".json")
        , daemon(frame, settings(number), file, log)
    {
        std::ofstream(file) << text(number);
        REQUIRE(isOk(daemon.start()));
        thread = std::thread([this] { daemon.run(); });
    }
    ~forwarding_instance()
    {
        stop();
        std::remove(file.c_str());
    }

    void stop()
    {
        daemon.requestStop();
        if (thread.joinable()) {
            thread.join();
        }
    }

    static std::string text(int number)
    {
        const auto port = [number](int offset) {
            return local(number * 10 + offset).toString();
        };
        return R"({"instance":"edge-)" + std::to_string(number)
               + R"(","failure_domain":"a","traffic":")" + port(0) + R"(","readiness":")" + port(1)
               + R"(","metrics":")" + port(2) + R"(","peers":")" + port(3)
               + R"(","seeds":[],"store":")" + local(0).toString() + R"(","stop_grace":"3s"})";
    }

    static forwarding_settings settings(int number)
    {
        const auto parsed = parseForwardingSettings("test", text(number));
        REQUIRE(isOk(parsed));
        forwarding_settings made = valueOf(parsed);
        // On one address the instances need different ports, which the settings do not foresee.
        made.seeds = {local((number == 1 ? 2 : 1) * 10 + 3)};
        return made;
    }

    platform::platform_deployment_adapter frame;
    discarding_log log;
    std::string file;
    forwarding_daemon daemon;
    std::thread thread;
};

struct forwarding_session_fixture
{
    object_store_standin store{local(0)};
    udp_end server{5};
    udp_end caller{6};

    forwarding_session_fixture() { store.put("config", "main", DesiredState); }

    static int readiness(int number)
    {
        httplib::Client client("127.0.0.1", local(number * 10 + 1).port);
        const auto answer = client.Get("/v1/readiness");
        return answer ? answer->status : 0;
    }

    static std::string metrics(int number)
    {
        httplib::Client client("127.0.0.1", local(number * 10 + 2).port);
        const auto answer = client.Get("/metrics");
        return answer ? answer->body : "";
    }

    template <typename Condition>
    static bool eventually(Condition condition)
    {
        for (int attempt = 0; attempt < PollAttempts; ++attempt) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(PollDelay);
        }
        return false;
    }

    /** An opening packet of a caller whose address the test's caller socket has. */
    static std::vector<std::byte> opening(std::uint8_t port)
    {
        std::vector<std::byte> packet(platform::PacketHeaderBytes);
        packet[14] = std::byte{128};
        const std::array<int, 4> callerAddress{1, 0, 0, 127};
        const std::array<int, 4> serviceAddress{1, 0, 18, 198};
        for (std::size_t i = 0; i < 4; ++i) {
            packet[20 + i] = static_cast<std::byte>(callerAddress[i]);
            packet[28 + i] = static_cast<std::byte>(serviceAddress[i]);
        }
        packet[24] = std::byte{443 & 0xff};
        packet[25] = std::byte{443 >> 8};
        packet[26] = static_cast<std::byte>(port);
        packet[27] = std::byte{0x20};
        return packet;
    }

    /** The caller's next packet, with the token that the server got in an opening datagram. */
    static std::vector<std::byte> afterOpening(const std::vector<std::byte> &datagram)
    {
        const auto opening = std::span(datagram).subspan(platform::ServerPrefixBytes);
        std::vector<std::byte> later(opening.size());
        std::copy(opening.begin(), opening.end(), later.begin());
        later[14] = std::byte{1};
        return later;
    }

    /** Sends a packet to the instance until the server gets it. */
    std::vector<std::byte> throughInstance(int number, const std::vector<std::byte> &packet)
    {
        std::vector<std::byte> received;
        for (int attempt = 0; attempt < PollAttempts && received.empty(); ++attempt) {
            caller.socket.send(packet.data(), packet.size(), toAceAddress(local(number * 10)));
            received = server.receive();
        }
        return received;
    }
};

} // namespace

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "instance, desired state and server known, forwards with id and token")
{
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    const forwarding_instance instance(1);
    REQUIRE(eventually([] { return readiness(1) == 200; }));
    const auto received = throughInstance(1, opening(1));
    REQUIRE(received.size() == platform::PacketHeaderBytes + platform::ServerPrefixBytes);
    CHECK(received[4] == std::byte{0x7f});
    const auto packet = platform::decodePacket(std::span(received).subspan(8));
    REQUIRE(packet);
    CHECK(packet->token == tokenOf(server_key{0x7f3a91c2}));
    CHECK(metrics(1).find("ebonyway_desired_version 3") != std::string::npos);
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "open flow, at another instance, reaches the same server")
{
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    const forwarding_instance one(1);
    const forwarding_instance two(2);
    REQUIRE(eventually([] { return readiness(1) == 200 && readiness(2) == 200; }));
    const auto received = throughInstance(1, opening(1));
    REQUIRE_FALSE(received.empty());
    const auto later = afterOpening(received);
    CHECK_FALSE(throughInstance(2, later).empty());
}

TEST_CASE_FIXTURE(
        forwarding_session_fixture,
        "store back from an older copy, new version at a revision used before, is adopted")
{
    store.keepCopy();
    // Lost with the copy, so that the next version gets a revision below the known ones.
    for (const char *version : {"4", "5", "6"}) {
        store.put("config", "main", std::string(DesiredState).replace(11, 1, version));
    }
    const forwarding_instance one(1);
    const forwarding_instance two(2);
    const auto bothKnow = [](const std::string &version) {
        const std::string sample = "ebonyway_desired_version " + version;
        return metrics(1).find(sample) != std::string::npos
               && metrics(2).find(sample) != std::string::npos;
    };
    REQUIRE(eventually([&] { return bothKnow("6"); }));
    store.restoreCopy();
    store.put("config", "main", std::string(DesiredState).replace(11, 1, "7"));
    CHECK(eventually([&] { return bothKnow("7"); }));
    CHECK(metrics(1).find("ebonyway_store_era{kind=\"desired_state\"} 2") != std::string::npos);
}

// An entry that the JSON library cannot read once ended the following of all changes.
TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "odd entries among the servers, instance starts, follows all other changes")
{
    store.put("servers", "i-1", std::string(5'000, '[') + std::string(5'000, ']'));
    store.put("servers", "i-2", R"({"slots":1e999})");
    store.put("servers", "i-3", R"({"service":"\ud800"})");
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    const forwarding_instance instance(1);
    REQUIRE(eventually([] { return readiness(1) == 200; }));
    CHECK_FALSE(throughInstance(1, opening(7)).empty());
    store.put("servers", "i-4", R"({"slots":1e999})");
    store.put("servers", "i-7f3a91c3", serverSpec(6, "ready"));
    CHECK(eventually(
            [] { return metrics(1).find("ebonyway_backend_servers 2\n") != std::string::npos; }));
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "store down, instance starts, learns everything from another one")
{
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    const forwarding_instance one(1);
    REQUIRE(eventually([] { return readiness(1) == 200; }));
    store.setDown(true);
    const forwarding_instance two(2);
    REQUIRE(eventually([] { return readiness(2) == 200; }));
    CHECK_FALSE(throughInstance(2, opening(2)).empty());
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "two instances of a domain, a change, is read by one and known to both")
{
    const forwarding_instance one(1);
    const forwarding_instance two(2);
    const auto readers = [] {
        int count = 0;
        for (const int number : {1, 2}) {
            count += metrics(number).find("ebonyway_reads_store 1") != std::string::npos ? 1 : 0;
        }
        return count;
    };
    REQUIRE(eventually([&] { return readers() == 1; }));
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    for (const int number : {1, 2}) {
        CHECK(eventually([&] {
            return metrics(number).find("ebonyway_backend_servers 1") != std::string::npos;
        }));
    }
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "flow at one instance, later, counts in the other one's view")
{
    // The loads were once collected and never handed to the heartbeats.
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    const forwarding_instance one(1);
    const forwarding_instance two(2);
    REQUIRE(eventually([] { return readiness(1) == 200 && readiness(2) == 200; }));
    const auto received = throughInstance(1, opening(1));
    REQUIRE_FALSE(received.empty());
    const auto later = afterOpening(received);
    REQUIRE_FALSE(throughInstance(1, later).empty());
    CHECK(eventually(
            [] { return metrics(2).find("ebonyway_peer_flows 1\n") != std::string::npos; }));
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "no usable server, new flow, is reset at the caller's address")
{
    store.put("servers", "i-7f3a91c2", serverSpec(5, "draining"));
    const forwarding_instance instance(1);
    REQUIRE(eventually([] { return readiness(1) == 200; }));
    // Resets go to the caller's address at the instance's own port, which the instance itself holds
    // here, so the counter is checked instead.
    const auto packet = opening(3);
    CHECK(eventually([&] {
        caller.socket.send(packet.data(), packet.size(), toAceAddress(local(10)));
        return metrics(1).find("ebonyway_resets_total{reason=\"no_server_usable\"} 0")
               == std::string::npos;
    }));
}

TEST_CASE_FIXTURE(forwarding_session_fixture,
                  "instance told to stop, flows, are served while it is not ready")
{
    store.put("servers", "i-7f3a91c2", serverSpec(5, "ready"));
    forwarding_instance instance(1);
    REQUIRE(eventually([] { return readiness(1) == 200; }));
    instance.daemon.requestStop();
    REQUIRE(eventually([] { return readiness(1) != 200; }));
    CHECK_FALSE(throughInstance(1, opening(4)).empty());
    instance.stop();
    CHECK(readiness(1) == 0);
}

} // namespace ebonyway::standins
