#include "standins/json_line.h"
#include "standins/platform_control.h"
#include "standins/platform_model.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <sstream>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

struct platform_fixture
{
    time_point now{1h};
    platform_model platform{1};

    platform_response call(const platform_request &request)
    {
        const auto outcome = platform.handle(request, now);
        REQUIRE(std::holds_alternative<platform_response>(outcome));
        return std::get<platform_response>(outcome);
    }

    platform_response create(const std::string &key, const std::string &value)
    {
        return call({"PUT", "/objects/" + key, {}, "", "*", value});
    }

    platform_response update(const std::string &key, const std::string &etag,
                             const std::string &value)
    {
        return call({"PUT", "/objects/" + key, {}, etag, "", value});
    }

    platform_response get(const std::string &key)
    {
        return call({"GET", "/objects/" + key, {}, "", "", ""});
    }

    static platform_request watchAfter(const std::string &revision)
    {
        return {"GET",
                "/watch",
                {{"prefix", "notes/"}, {"revision", revision}, {"timeout_ms", "5000"}},
                "",
                "",
                ""};
    }

    watch_id startWatch(const std::string &revision)
    {
        const auto outcome = platform.handle(watchAfter(revision), now);
        REQUIRE(std::holds_alternative<watch_id>(outcome));
        return std::get<watch_id>(outcome);
    }

    void control(const std::string &json)
    {
        Json::Value body;
        std::istringstream(json) >> body;
        REQUIRE(isOk(applyPlatformControl(platform, body, now)));
    }
};

} // namespace

TEST_CASE_FIXTURE(platform_fixture, "create, two writers race, the second gets 412")
{
    CHECK(create("notes/0000000001", "first").code == 201);
    CHECK(create("notes/0000000001", "second").code == 412);
    CHECK(get("notes/0000000001").body == "first");
    CHECK(get("notes/0000000002").code == 404);
}

TEST_CASE_FIXTURE(platform_fixture, "update, ETag of an earlier version, gets 412")
{
    const std::string first = create("leases/roll-up", "a").etag;
    const platform_response updated = update("leases/roll-up", first, "b");
    CHECK(updated.code == 200);
    CHECK(updated.etag != first);
    CHECK(get("leases/roll-up").etag == updated.etag);
    CHECK(update("leases/roll-up", first, "c").code == 412);
    CHECK(update("leases/absent", first, "c").code == 412);
    CHECK(get("leases/roll-up").body == "b");
}

TEST_CASE_FIXTURE(platform_fixture, "write, unconditional or too large, is refused")
{
    CHECK(update("notes/1", "", "x").code == 428);
    CHECK(update("notes/1", "1", "x").code == 428);
    CHECK(create("notes/1", std::string(1'000'001, 'x')).code == 413);
    CHECK(create("notes/1", std::string(1'000'000, 'x')).code == 201);
}

TEST_CASE_FIXTURE(platform_fixture, "list, prefix and after, gives keys in order with the revision")
{
    create("notes/0000000002", "b");
    create("notes/0000000001", "a");
    create("leases/x", "c");
    const auto listed = call({"GET", "/objects", {{"prefix", "notes/"}}, "", "", ""});
    CHECK(listed.body
          == R"({"objects":[{"key":"notes/0000000001","version":2},{"key":"notes/0000000002",)"
             R"("version":1}],"revision":3})");
    const auto rest = call(
            {"GET", "/objects", {{"prefix", "notes/"}, {"after", "notes/0000000001"}}, "", "", ""});
    CHECK(rest.body == R"({"objects":[{"key":"notes/0000000002","version":1}],"revision":3})");
}

TEST_CASE_FIXTURE(platform_fixture, "watch, write below the prefix, wakes it once")
{
    create("notes/0000000001", "a");
    const watch_id watch = startWatch("1");
    create("leases/x", "b");
    CHECK_FALSE(platform.pollWatch(watch, now));
    create("notes/0000000002", "c");
    const auto response = platform.pollWatch(watch, now);
    REQUIRE(response);
    CHECK(response->body == R"({"objects":[{"key":"notes/0000000002","version":3}],"revision":3})");
    CHECK(platform.waitingWatches() == 0);
    CHECK(platform.pollWatch(watch, now)->code == 410);
}

TEST_CASE_FIXTURE(platform_fixture, "watch, changed before it began, answers at once")
{
    // A watcher that reads, then watches, must not miss a write in between.
    create("notes/0000000001", "a");
    CHECK(call(watchAfter("0")).body
          == R"({"objects":[{"key":"notes/0000000001","version":1}],"revision":1})");
}

TEST_CASE_FIXTURE(platform_fixture, "watch, time-out without change, answers an empty list")
{
    const watch_id watch = startWatch("0");
    CHECK_FALSE(platform.pollWatch(watch, now + 4999ms));
    const auto response = platform.pollWatch(watch, now + 5000ms);
    REQUIRE(response);
    CHECK(response->body == R"({"objects":[],"revision":0})");
}

TEST_CASE_FIXTURE(platform_fixture, "call counting, waiting watch, counts as one call")
{
    create("notes/0000000001", "a");
    get("notes/0000000001");
    const watch_id watch = startWatch("1");
    for (int i = 0; i < 100; ++i) {
        platform.pollWatch(watch, now);
    }
    call({"GET", "/instances", {}, "", "", ""});
    call({"GET", "/objects", {}, "", "", ""});
    const call_counters &calls = platform.calls();
    CHECK(calls.put == 1);
    CHECK(calls.get == 1);
    CHECK(calls.watch == 1);
    CHECK(calls.instances == 1);
    CHECK(calls.list == 1);
    CHECK(calls.total() == 5);
}

TEST_CASE_FIXTURE(platform_fixture, "lost response, write took effect, repeated write gets 412")
{
    control(R"({"lose_responses": 1})");
    CHECK(create("notes/0000000001", "a").lost);
    CHECK(get("notes/0000000001").body == "a");
    const platform_response repeated = create("notes/0000000001", "a");
    CHECK(repeated.code == 412);
    CHECK_FALSE(repeated.lost);
}

TEST_CASE_FIXTURE(platform_fixture, "outage, each kind, fails calls and waiting watches")
{
    const watch_id watch = startWatch("0");
    control(R"({"outage": "unavailable"})");
    CHECK(get("notes/1").code == 503);
    CHECK(platform.pollWatch(watch, now)->code == 503);
    control(R"({"outage": "timeout"})");
    CHECK(create("notes/1", "a").held);
    control(R"({"outage": "refused"})");
    CHECK(create("notes/1", "a").lost);
    control(R"({"outage": "none"})");
    CHECK(get("notes/1").code == 404); // No write of the outage took effect.
    CHECK(platform.calls().failed == 3);
}

TEST_CASE_FIXTURE(platform_fixture, "restored copy, revisions, are given out again in the next era")
{
    create("notes/0000000001", "one");
    Json::Value control;
    control["copy"] = "keep";
    REQUIRE(isOk(applyPlatformControl(platform, control, now)));
    const platform_response lost = create("notes/0000000002", "lost");
    const watch_id watch = startWatch("2");
    control["copy"] = "restore";
    REQUIRE(isOk(applyPlatformControl(platform, control, now)));
    CHECK(platform.pollWatch(watch, now)->code == 410);
    CHECK(call(watchAfter("2")).code == 410);
    CHECK(get("notes/0000000002").code == 404);
    const platform_response again = create("notes/0000000002", "again");
    CHECK(again.etag == lost.etag);
    CHECK(lost.era == 1);
    CHECK(again.era == 2);
    platform_store loaded;
    REQUIRE(isOk(loaded.load(platform.store().save())));
    CHECK(loaded.era() == 2);
}

TEST_CASE_FIXTURE(platform_fixture, "stale reads, ratio of one, show the earlier version")
{
    const std::string etag = create("notes/1", "a").etag;
    update("notes/1", etag, "b");
    control(R"({"stale_read_ratio": 1, "stale_revisions": 1})");
    CHECK(get("notes/1").body == "a");
    CHECK(get("notes/1").etag == etag);
    control(R"({"stale_revisions": 2})");
    CHECK(get("notes/1").code == 404);
}

TEST_CASE_FIXTURE(platform_fixture, "instance list, changed, lags by the configured time")
{
    const platform_request list{"GET", "/instances", {}, "", "", ""};
    control(R"({"instances_lag_ms": 2000, "instances": [{"id": 3, "state": "leaving",
                "failure_domain": "casa-ain", "gossip": "127.0.0.1:7003"}]})");
    CHECK(call(list).body == R"({"instances":[]})");
    now += 2s;
    CHECK(call(list).body
          == R"({"instances":[{"failure_domain":"casa-ain","gossip":"127.0.0.1:7003","id":3,)"
             R"("state":"leaving"}]})");
}

TEST_CASE_FIXTURE(platform_fixture, "control, faulty body, changes nothing")
{
    for (const std::string text :
         {"[]", R"({"outage": "maybe"})", R"({"stale_read_ratio": 2})", R"({"latency_ms": -1})",
          R"({"unknown": 1})", R"({"latency_ms": 7, "outage": "x"})",
          R"({"instances": [{"id": 1}]})"}) {
        CAPTURE(text);
        Json::Value body;
        std::istringstream(text) >> body;
        CHECK_FALSE(isOk(applyPlatformControl(platform, body, now)));
        CHECK(platform.faults().outage == outage_kind::None);
        CHECK(platform.faults().latency == duration::zero());
    }
}

TEST_CASE_FIXTURE(platform_fixture, "saved state, values of any bytes, is the same after loading")
{
    const std::string binary("\x00\xff\x7f\n\"", 5);
    create("notes/0000000001", binary);
    const std::string etag = create("notes/0000000002", "b").etag;
    update("notes/0000000002", etag, "c");
    platform_store loaded;
    REQUIRE(isOk(loaded.load(platform.store().save())));
    CHECK(loaded.revision() == 3);
    CHECK(loaded.get("notes/0000000001", 3)->value == binary);
    CHECK(loaded.get("notes/0000000002", 3)->version == 3);
    for (const std::string saved : {"", "{}", R"({"objects":{"a":{"value_hex":"0x"}}})",
                                    R"({"objects":{"a":{"value_hex":"123"}}})"}) {
        CAPTURE(saved);
        CHECK_FALSE(isOk(loaded.load(saved)));
    }
}

} // namespace ebonyway::standins
