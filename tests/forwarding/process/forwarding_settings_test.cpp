#include "forwarding/process/forwarding_settings.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct settings_fixture
{
    static std::string text(const std::string &extra)
    {
        return R"({"instance":"edge-1","failure_domain":"a","traffic":"10.1.0.1:8172",)"
               R"("readiness":"10.1.0.1:8167","metrics":"10.1.0.1:9464","peers":"10.1.0.1:7720",)"
               R"("seeds":["10.1.0.2:8166"],"store":"10.200.1.7:8169")"
               + extra + "}";
    }
};

} // namespace

TEST_CASE_FIXTURE(settings_fixture, "settings, first start, is off unless it is set")
{
    const auto without = parseForwardingSettings("test", text(""));
    REQUIRE(isOk(without));
    CHECK(!valueOf(without).firstStart);
    const auto with = parseForwardingSettings("test", text(R"(,"first_start":true)"));
    REQUIRE(isOk(with));
    CHECK(valueOf(with).firstStart);
}

TEST_CASE_FIXTURE(settings_fixture, "settings, first start as text, are refused with the remedy")
{
    const auto parsed = parseForwardingSettings("test", text(R"(,"first_start":"yes")"));
    REQUIRE(!isOk(parsed));
    const std::string message = describe(errorOf(parsed));
    CHECK(message.find("first_start") != std::string::npos);
    CHECK(message.find("true or false") != std::string::npos);
}

TEST_CASE_FIXTURE(settings_fixture, "settings, seeds, get the port of the peers")
{
    const auto parsed = parseForwardingSettings("test", text(""));
    REQUIRE(isOk(parsed));
    REQUIRE(valueOf(parsed).seeds.size() == 1);
    CHECK(valueOf(parsed).seeds.front().port == 7720);
}

} // namespace ebonyway
