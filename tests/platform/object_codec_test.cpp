#include "core/json_text.h"
#include "core/seeded_random.h"
#include "platform/object_codec.h"

#include <doctest/doctest.h>

namespace ebonyway::platform {

namespace {

const std::string ServerSpec =
        R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"casa-ain","version":"v1","slots":4,)"
        R"("state":"ready","coldLeftMs":1500,"seq":4,"born":1772000000000})";

const std::string DesiredSpec =
        R"({"version":7,"routes":[{"name":"r1","host":"198.18.0.1","pathPrefix":"/8443/","kind":)"
        R"("idempotent","timeoutMs":4000,"goalMs":250,"priority":2,"backends":[{"service":"a",)"
        R"("weight":90},{"service":"b","weight":10}],"maxAttempts":2},{"name":"r2","host":)"
        R"("198.18.0.2","pathPrefix":"/8080/","kind":"upload","timeoutMs":8000,"goalMs":500,)"
        R"("priority":2,"service":"b","maxAttempts":2}],"services":[{"name":"a","healthPath":)"
        R"("/health","maxConns":2000,"protocol":"h1","tls":false,"coldS":2.0,"coldPerS":12.5}],)"
        R"("limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,)"
        R"("idleTimeoutMs":15000}})";

struct object_fixture
{
    store_call listServers{store_kind::BackendServers, false, 0, "", {}, {}};

    static std::string item(const std::string &name, const std::string &spec)
    {
        return R"({"meta":{"name":")" + name
               + R"(","rev":12,"createdRev":3,"finalizers":[],"deletion":false},"spec":)" + spec
               + R"(,"status":null})";
    }

    static std::string list(const std::string &items)
    {
        return R"({"items":[)" + items + R"(],"more":false,"currentRev":530})";
    }

    static store_page page(const store_answer &answer)
    {
        REQUIRE(std::holds_alternative<store_page>(answer));
        return std::get<store_page>(answer);
    }
};

} // namespace

TEST_CASE_FIXTURE(object_fixture, "server entry, decoded, has all fields")
{
    const auto read = page(decodeAnswer(listServers, 200, list(item("i-7f3a91c2", ServerSpec))));
    REQUIRE(read.objects.size() == 1);
    CHECK(read.revision == 530);
    REQUIRE(read.objects.front().value);
    const auto &entry = std::get<registered_server>(*read.objects.front().value);
    CHECK(entry.key.value == 0x7f3a91c2);
    CHECK(entry.address.toString() == "10.128.0.9:8080");
    CHECK(entry.failureDomain == "casa-ain");
    CHECK(entry.slots == 4);
    CHECK(entry.coldRemaining.count() == 1500);
    CHECK(entry.startedAt.count() == 1772000000000);
    CHECK_FALSE(entry.draining);
}

TEST_CASE_FIXTURE(object_fixture,
                  "malformed entries, beside a valid one, are reported and do not affect it")
{
    for (const std::string broken :
         {R"({"service":"a"})", R"(7)", R"(null)", R"("text")",
          R"({"service":5,"addr":"1.2.3.4:5","zone":"z","slots":1,"state":"ready","seq":1})",
          R"({"service":"a","addr":"nowhere","zone":"z","slots":1,"state":"ready","seq":1})",
          R"({"service":"a","addr":"1.2.3.4:5","zone":"z","slots":-1,"state":"ready","seq":1})",
          R"({"service":"a","addr":"1.2.3.4:5","zone":"z","slots":1,"state":"asleep","seq":1})"}) {
        const auto read = page(decodeAnswer(
                listServers, 200, list(item("i-1", broken) + "," + item("i-2", ServerSpec))));
        REQUIRE(read.objects.size() == 2);
        CHECK_FALSE(read.objects[0].value);
        CHECK_FALSE(read.objects[0].fault.empty());
        CHECK(read.objects[1].value);
    }
}

// An entry without some fields, of another writer, once brought flows to a server of another
// service.
TEST_CASE_FIXTURE(object_fixture,
                  "server entry, any field missing or of another type, names no server")
{
    const auto parsed = parseJsonObject(ServerSpec);
    REQUIRE(isOk(parsed));
    const Json::Value &whole = valueOf(parsed);
    for (const std::string &name : whole.getMemberNames()) {
        INFO(name);
        Json::Value odd = whole;
        odd.removeMember(name);
        const bool isText = whole[name].isString();
        for (const Json::Value &replaced : {Json::Value(), Json::Value(Json::arrayValue),
                                            isText ? Json::Value(7) : Json::Value("7")}) {
            const auto read =
                    page(decodeAnswer(listServers, 200, list(item("i-1", compactJson(odd)))));
            REQUIRE(read.objects.size() == 1);
            CHECK_FALSE(read.objects.front().value);
            odd[name] = replaced;
        }
    }
}

TEST_CASE_FIXTURE(object_fixture, "desired state, decoded, has routes with shares and limits")
{
    const store_call call{store_kind::DesiredState, false, 0, "", {}, {}};
    const auto read = page(decodeAnswer(call, 200, list(item("main", DesiredSpec))));
    REQUIRE(read.objects.front().value);
    const auto &state = std::get<desired_state>(*read.objects.front().value);
    CHECK(state.version == 7);
    REQUIRE(state.routes.size() == 2);
    CHECK(state.routes[0].address.toString() == "198.18.0.1:8443");
    CHECK(state.routes[0].idempotent);
    CHECK(state.routes[0].shares.size() == 2);
    CHECK(state.routes[1].shares.front().service == "b");
    CHECK_FALSE(state.routes[1].idempotent);
    CHECK(state.services.front().coldRequestsPerSecond == 12.5);
    CHECK(state.idleTimeout.count() == 15000);
}

TEST_CASE_FIXTURE(object_fixture, "watch events, decoded, tell changes from removals")
{
    const store_call call{store_kind::BackendServers, true, 500, "", {}, {}};
    const auto read =
            page(decodeAnswer(call, 200,
                              R"({"events":[{"deleted":true,"object":)" + item("i-1", ServerSpec)
                                      + R"(},{"deleted":false,"object":)" + item("i-2", ServerSpec)
                                      + R"(}],"currentRev":533})"));
    REQUIRE(read.objects.size() == 2);
    CHECK(read.objects[0].deleted);
    CHECK_FALSE(read.objects[0].value);
    CHECK(read.objects[1].value);
}

TEST_CASE_FIXTURE(object_fixture, "failed call, HTTP status, determines the cause")
{
    const auto cause = [&](int status) {
        return std::get<store_failure>(decodeAnswer(listServers, status, "{}")).reason;
    };
    CHECK(cause(410) == store_failure::cause::HistoryGone);
    CHECK(cause(429) == store_failure::cause::TurnedAway);
    CHECK(cause(503) == store_failure::cause::TurnedAway);
    CHECK(cause(500) == store_failure::cause::Unreadable);
}

TEST_CASE("call, encoded, has the platform's path and query")
{
    using namespace std::chrono_literals;
    CHECK(encodeCall({store_kind::BackendServers, true, 530, "", 20s, {}})
          == "/v1/objects/servers?watch=530&waitMs=20000");
    CHECK(encodeCall({store_kind::BackendServers, false, 0, "i 7", {}, {}})
          == "/v1/objects/servers?after=i%207");
    CHECK(encodeCall({store_kind::DesiredState, false, 0, "", {}, {}}) == "/v1/objects/config");
}

TEST_CASE("server id, hexadecimal digits, become the key")
{
    CHECK(decodeServerKey("i-7f3a91c2")->value == 0x7f3a91c2);
    CHECK(decodeServerKey("i-0123456789abcdef")->value == 0x0123456789abcdef);
    CHECK_FALSE(decodeServerKey("i-"));
    CHECK_FALSE(decodeServerKey("i-xyz"));
    CHECK_FALSE(decodeServerKey("i-0123456789abcdef0"));
}

TEST_CASE_FIXTURE(object_fixture, "decoder, mutated answers, never crashes or throws")
{
    seeded_random random(42);
    const std::string good = list(item("i-1", ServerSpec) + "," + item("main", DesiredSpec));
    for (int i = 0; i < 20'000; ++i) {
        std::string text = good;
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes) {
            const std::size_t at = random.below(text.size());
            switch (random.below(3)) {
            case 0:
                text[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                text.erase(at, random.below(20));
                break;
            default:
                text.insert(at, std::string(random.below(3), "[{\"-9"[random.below(5)]));
                break;
            }
            if (text.empty()) {
                text = "{";
            }
        }
        for (const store_kind kind : AllStoreKinds) {
            decodeAnswer({kind, random.below(2) == 0, 0, "", {}, {}}, 200, text);
        }
    }
}

// One such entry once made the whole answer unreadable, so the instance followed no changes.
TEST_CASE_FIXTURE(object_fixture, "entry beyond the parser's limits, beside others, hides none")
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string &odd :
         {nested, std::string("1e999"), std::string("-1e999"), "1" + std::string(400, '0'),
          std::string(R"("\ud800")"), std::string("\"\x01\xff\""), std::string("truthy"),
          std::string(R"({"service":"a\"}]{","addr":1e999})"), std::string(R"({"slots":NaN})")}) {
        INFO(odd.substr(0, 40));
        const std::string objects =
                item("i-1", ServerSpec) + "," + item("i-2", odd) + "," + item("i-3", ServerSpec);
        const auto read = page(decodeAnswer(listServers, 200, list(objects)));
        CHECK(read.revision == 530);
        REQUIRE(read.objects.size() == 3);
        CHECK(read.objects[0].value);
        CHECK(read.objects[1].name == "i-2");
        CHECK(read.objects[1].revision == 12);
        CHECK_FALSE(read.objects[1].value);
        CHECK_FALSE(read.objects[1].fault.empty());
        CHECK(read.objects[2].value);

        const store_call watch{store_kind::BackendServers, true, 500, "", {}, {}};
        const std::string events = R"({"events":[{"deleted":false,"object":)" + item("i-2", odd)
                                   + R"(},{"deleted":true,"object":)" + item("i-4", odd)
                                   + R"(},{"deleted":false,"object":)" + item("i-3", ServerSpec)
                                   + R"(}],"currentRev":533})";
        const auto changes = page(decodeAnswer(watch, 200, events));
        REQUIRE(changes.objects.size() == 3);
        CHECK_FALSE(changes.objects[0].value);
        CHECK_FALSE(changes.objects[0].deleted);
        CHECK(changes.objects[1].deleted);
        CHECK(changes.objects[2].value);
    }
}

TEST_CASE_FIXTURE(object_fixture, "entry without a readable name, beside others, is counted")
{
    for (const std::string odd : {R"(7)", R"({"meta":{"name":3,"rev":1},"spec":{}})",
                                  R"({"meta":{"name":"\ud800","rev":1},"spec":{}})"}) {
        const auto read =
                page(decodeAnswer(listServers, 200, list(odd + "," + item("i-2", ServerSpec))));
        REQUIRE(read.objects.size() == 1);
        CHECK(read.objects.front().value);
        CHECK(read.unnamedObjects == 1);
        CHECK_FALSE(read.unnamedFault.empty());
    }
}

TEST_CASE_FIXTURE(object_fixture, "server entry, port out of range, names no server")
{
    for (const std::string port :
         {"0", "65536", "70000", "4294975376", "99999999999999999999", "-1", "1e3", ""}) {
        const std::string spec = R"({"service":"a","addr":"10.0.0.1:)" + port
                                 + R"(","zone":"z","version":"v","slots":1,"state":"ready",)"
                                 + R"("coldLeftMs":0,"seq":1,"born":1})";
        const auto read = page(decodeAnswer(listServers, 200, list(item("i-1", spec))));
        REQUIRE(read.objects.size() == 1);
        CHECK_FALSE(read.objects.front().value);
    }
}

TEST_CASE_FIXTURE(object_fixture, "answer that is cut, decoded, is unreadable")
{
    const std::string whole = list(item("i-1", ServerSpec) + "," + item("i-2", R"("\ud800")"));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const auto answer = decodeAnswer(listServers, 200, whole.substr(0, length));
        REQUIRE(std::holds_alternative<store_failure>(answer));
    }
}

TEST_CASE_FIXTURE(object_fixture, "deeply nested answer, decoded, is unreadable")
{
    const auto answer = decodeAnswer(listServers, 200, std::string(100'000, '['));
    CHECK(std::get<store_failure>(answer).reason == store_failure::cause::Unreadable);
}

TEST_CASE("era of the store, in a header, is decoded; missing or no number is zero")
{
    CHECK(decodeEra({{"content-type", "application/json"}, {"store-era", "3"}}) == 3);
    CHECK(decodeEra({}) == 0);
    CHECK(decodeEra({{"store-era", "old"}}) == 0);
}

} // namespace ebonyway::platform
