#include "core/ip_address.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct ip_address_fixture
{
    static bool parses(const std::string &text) { return isOk(endpoint::parse(text)); }
};

} // namespace

TEST_CASE_FIXTURE(ip_address_fixture, "endpoint, IPv4 and IPv6 text, round trips")
{
    for (const std::string text : {"192.0.2.1:80", "[2001:db8::1]:65535"}) {
        const result<endpoint> parsed = endpoint::parse(text);
        REQUIRE(isOk(parsed));
        CHECK(valueOf(parsed).toString() == text);
    }
}

TEST_CASE_FIXTURE(ip_address_fixture, "endpoint, malformed text, is refused")
{
    // Guards against settings that silently bind to a wrong address.
    for (const std::string text : {"", "192.0.2.1", "192.0.2.1:0", "192.0.2.1:65536",
                                   "2001:db8::1:80", "example:80", "192.0.2.1:80x"}) {
        CAPTURE(text);
        CHECK_FALSE(parses(text));
    }
}

} // namespace ebonyway
