#include "process/edge/http_platform_store.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <future>
#include <thread>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Answers every object call with a fixed status, and keeps what it received. */
struct http_platform_store_fixture
{
    httplib::Server server;
    int status = 200;
    std::string body;
    std::string era; ///< Empty: not told.
    httplib::Request received;
    std::promise<void> release; ///< Ends the calls that hang.
    std::shared_future<void> released{release.get_future()};
    endpoint address;
    std::thread thread;

    http_platform_store_fixture()
    {
        const auto answer = [this](const httplib::Request &request, httplib::Response &response) {
            received = request;
            response.status = status;
            response.set_header("ETag", "\"7\"");
            if (!era.empty()) {
                response.set_header("Store-Era", era);
            }
            response.set_content(body, "application/json");
        };
        server.Put("/objects/hanging",
                   [this](const httplib::Request &, httplib::Response &) { released.wait(); });
        server.Get(".*", answer);
        server.Put(".*", answer);
        address = {ip_address::fromV4(0x7f000001),
                   static_cast<std::uint16_t>(server.bind_to_any_port("127.0.0.1"))};
        thread = std::thread([this]() { server.listen_after_bind(); });
        while (!server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~http_platform_store_fixture()
    {
        release.set_value();
        server.stop();
        thread.join();
    }

    http_platform_store store() const { return http_platform_store(address); }

    template <typename T>
    static error_kind kindOf(const result<T> &outcome)
    {
        return errorOf(outcome).kind;
    }
};

} // namespace

TEST_CASE_FIXTURE(http_platform_store_fixture, "platform over HTTP, calls, follow the object API")
{
    body = "value";
    const result<stored_object> object = store().get("notes/0000000001", 5s);
    REQUIRE(isOk(object));
    CHECK(valueOf(object).value == "value");
    CHECK(valueOf(object).version == "7");
    CHECK(received.path == "/objects/notes/0000000001");

    status = 201;
    CHECK(valueOf(store().createIfAbsent("notes/0000000002", "text", 5s)) == "7");
    CHECK(received.get_header_value("If-None-Match") == "*");
    CHECK(received.body == "text");
    status = 200;
    CHECK(isOk(store().update("leases/status", "text", "6", 5s)));
    CHECK(received.get_header_value("If-Match") == "\"6\"");

    body = R"({"objects": [{"key": "notes/0000000001", "version": 3}], "revision": 9})";
    const result<object_list> listed = store().list("notes/", "notes/0000000000", 5s);
    REQUIRE(isOk(listed));
    CHECK(valueOf(listed).revision == 9);
    CHECK(valueOf(listed).objects.front().version == "3");
    CHECK(received.get_param_value("after") == "notes/0000000000");
    CHECK(isOk(store().watch("notes/", 9, 250ms)));
    CHECK(received.get_param_value("timeout_ms") == "250");

    body = R"({"instances": [{"id": 4, "state": "leaving", "failure_domain": "casa-ain",
              "gossip": "127.0.0.1:9"}]})";
    const auto instances = store().instances(5s);
    REQUIRE(isOk(instances));
    CHECK(valueOf(instances).front().leaving);
}

TEST_CASE_FIXTURE(http_platform_store_fixture,
                  "update on a version of an earlier era, same ETag, is a conflict")
{
    http_platform_store subject(address);
    era = "1";
    const std::string version = valueOf(subject.get("leases/status", 5s)).version;
    CHECK(isOk(subject.update("leases/status", "mine", version, 5s)));
    CHECK(received.get_header_value("If-Match") == "\"7\"");
    era = "2";
    // The first answer of the new era is that of the update itself.
    CHECK(kindOf(subject.update("leases/status", "first", version, 5s))
          == error_kind::OutcomeUnknown);
    CHECK(kindOf(subject.update("leases/status", "second", version, 5s)) == error_kind::Conflict);
    CHECK(received.body == "first");
    const std::string current = valueOf(subject.get("leases/status", 5s)).version;
    CHECK(isOk(subject.update("leases/status", "third", current, 5s)));
}

TEST_CASE_FIXTURE(http_platform_store_fixture,
                  "update on a version of an earlier era, era known from a watch, is not sent")
{
    http_platform_store subject(address);
    era = "1";
    const std::string version = valueOf(subject.get("leases/status", 5s)).version;
    era = "2";
    body = R"({"objects": [], "revision": 9})";
    REQUIRE(isOk(subject.watch("notes/", 9, 250ms)));
    CHECK(kindOf(subject.update("leases/status", "mine", version, 5s)) == error_kind::Conflict);
    CHECK(received.method == "GET");
}

TEST_CASE_FIXTURE(http_platform_store_fixture,
                  "platform over HTTP, failures, keep the write's outcome")
{
    // Guards against a lost answer that is reported as "not written".
    CHECK(kindOf(store().createIfAbsent("hanging", "text", 50ms)) == error_kind::OutcomeUnknown);
    status = 500;
    CHECK(kindOf(store().createIfAbsent("key", "text", 5s)) == error_kind::OutcomeUnknown);
    status = 503;
    CHECK(kindOf(store().createIfAbsent("key", "text", 5s)) == error_kind::Unavailable);
    CHECK(kindOf(store().get("key", 5s)) == error_kind::Unavailable);
    status = 412;
    CHECK(kindOf(store().update("key", "text", "1", 5s)) == error_kind::Conflict);
    status = 404;
    CHECK(kindOf(store().get("key", 5s)) == error_kind::NotFound);
    status = 200;
    body = R"({"objects": 1})";
    CHECK(kindOf(store().list("notes/", "", 5s)) == error_kind::Internal);
    body = R"({"instances": 1})";
    CHECK(kindOf(store().instances(5s)) == error_kind::Internal);
    body = std::string(MaxHttpAnswerBytes + 1, 'x');
    CHECK(kindOf(store().get("key", 5s)) == error_kind::Unavailable);

    http_platform_store refused({address.address, 1});
    CHECK(kindOf(refused.createIfAbsent("key", "text", 5s)) == error_kind::Unavailable);
    CHECK(kindOf(refused.get("key", 5s)) == error_kind::Unavailable);
}

} // namespace ebonyway
