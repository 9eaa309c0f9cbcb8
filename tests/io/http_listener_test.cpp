#include "io/http_listener.h"
#include "io/reactor_thread.h"
#include "io/socket_address.h"

#include <ace/SOCK_Connector.h>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

// Instances of a failure domain at the size of the capacity plan: 480 in five domains.
constexpr std::size_t DomainInstances = 96;

// More than the socket buffers of both ends hold.
constexpr std::size_t LongPage = 32U << 20;

const endpoint Local{ip_address::fromV4(0x7f000001), 29'471};

struct listener_fixture
{
    reactor_thread thread;
    http_listener subject{thread.loop(), [](const std::string &path) {
                              return http_page{200, "text/plain",
                                               std::string(path == "/long" ? LongPage : 0, 'x')};
                          }};
    std::vector<ACE_SOCK_Stream> callers;

    listener_fixture() { REQUIRE(isOk(subject.open(Local))); }
    ~listener_fixture()
    {
        for (ACE_SOCK_Stream &caller : callers) {
            caller.close();
        }
        thread.stop();
    }

    /** Connects one caller after the other, each within 100 ms. */
    void connect(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            ACE_SOCK_Stream caller;
            ACE_SOCK_Connector connector;
            const ACE_Time_Value limit(0, 100'000);
            if (connector.connect(caller, toAceAddress(Local), &limit) == 0) {
                callers.push_back(caller);
            }
        }
    }

    std::size_t countAnswered()
    {
        const std::string request = "GET /page HTTP/1.1\r\nHost: here\r\n\r\n";
        const std::string expected = "HTTP/1.1 200";
        std::size_t answered = 0;
        for (ACE_SOCK_Stream &caller : callers) {
            caller.send_n(request.data(), request.size());
            std::array<char, 256> buffer{};
            const ACE_Time_Value limit(1);
            const auto size = caller.recv(buffer.data(), buffer.size(), &limit);
            const bool isAnswer = size > 0
                                  && std::string(buffer.data(), static_cast<std::size_t>(size))
                                             .starts_with(expected);
            answered += isAnswer ? 1 : 0;
        }
        return answered;
    }
};

} // namespace

TEST_CASE_FIXTURE(listener_fixture,
                  "listener, all instances of a domain call at once, answers each of them")
{
    // The loop does not run yet, so all connections wait to be accepted.
    connect(DomainInstances);
    CHECK(callers.size() == DomainInstances);
    thread.start();
    CHECK(countAnswered() == callers.size());
}

TEST_CASE_FIXTURE(listener_fixture, "listener, caller does not read, counts what is unsent")
{
    thread.start();
    connect(1);
    REQUIRE(callers.size() == 1);
    const std::string request = "GET /long HTTP/1.1\r\nHost: here\r\n\r\n";
    callers[0].send_n(request.data(), request.size());
    std::array<char, 16> start{};
    const ACE_Time_Value limit(5);
    REQUIRE(callers[0].recv_n(start.data(), start.size(), &limit) > 0);
    thread.stop();
    CHECK(subject.unsentBytes() > 0);
    CHECK(subject.unsentBytes() < LongPage);
}

} // namespace ebonyway
