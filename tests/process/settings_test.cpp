#include "core/settings_reader.h"
#include "process/settings.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct settings_fixture
{
    std::string validText = R"({
        // A comment is allowed.
        "instance_id": 7, "failure_domain": "casa-ain", "address": "127.0.0.1", "base_port": 7100,
        "fabric": "127.0.0.1:6001", "platform": "127.0.0.1:8000", "seeds": ["127.0.0.1:7113"],
        "deployment_key_file": "key"
    })";

    /** Replaces a part of the valid text and returns the resulting error. */
    error errorAfter(const std::string &part, const std::string &replacement)
    {
        std::string changed = validText;
        const std::size_t at = changed.find(part);
        REQUIRE(at != std::string::npos);
        changed.replace(at, part.size(), replacement);
        const result<settings> parsed = parseSettings("node.json", changed);
        REQUIRE_FALSE(isOk(parsed));
        return errorOf(parsed);
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(settings_fixture, "settings, valid text with comments, is read")
{
    const result<settings> parsed = parseSettings("node.json", validText);
    REQUIRE(isOk(parsed));
    CHECK(valueOf(parsed).instance.value == 7);
    CHECK(valueOf(parsed).listenOn(port_offset::Gossip).toString() == "127.0.0.1:7103");
    CHECK(peerPort(valueOf(parsed).seeds.front(), port_offset::Relay).port == 7112);
}

TEST_CASE_FIXTURE(settings_fixture, "settings, unknown key, names file, key, value and remedy")
{
    // Guards against a misspelt key that silently leaves a default in force.
    const error fault = errorAfter("\"seeds\"", "\"seed\"");
    CHECK(contains(fault.message, "node.json: key 'seed' has the value [\"127.0.0.1:7113\"]"));
    CHECK(contains(fault.remedy, "seeds"));
}

TEST_CASE_FIXTURE(settings_fixture, "settings, wrong type, range or unit, names the remedy")
{
    CHECK(contains(errorAfter("7100", "\"7100\"").remedy, "whole number from 1 to 65530"));
    CHECK(contains(errorAfter("7100", "70000").message, "'base_port' has the value 70000"));
    CHECK(contains(errorAfter("\"instance_id\": 7,", "").message, "(missing)"));
    const error unit =
            errorAfter("\"seeds\"", "\"timing\": {\"freshness_limit\": \"2\"}, \"seeds\"");
    CHECK(contains(unit.message, "timing.freshness_limit"));
    CHECK(contains(unit.remedy, "unit"));
    CHECK(contains(errorAfter("\"127.0.0.1:6001\"", "\"fabric:1\"").remedy,
                   "host names are not looked up"));
}

TEST_CASE_FIXTURE(settings_fixture,
                  "settings, duplicate key or broken JSON, is refused with its line")
{
    CHECK(contains(errorAfter("\"platform\"", "\"fabric\"").message, "not valid JSON"));
    CHECK(contains(errorAfter("7100,", "7100").message, "Line"));
}

TEST_CASE_FIXTURE(settings_fixture, "duration, text with units, is parsed exactly")
{
    CHECK(valueOf(parseSettingDuration("250ms")) == std::chrono::milliseconds(250));
    CHECK(valueOf(parseSettingDuration("5m")) == std::chrono::minutes(5));
    for (const std::string text : {"", "5", "-5s", "5 s", "99999999999h", "ms", "s"}) {
        CAPTURE(text);
        CHECK_FALSE(isOk(parseSettingDuration(text)));
    }
}

} // namespace ebonyway
