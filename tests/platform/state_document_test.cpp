#include "platform/state_document.h"

#include <doctest/doctest.h>

namespace ebonyway::platform {

namespace {

const std::string Document =
        R"({"version":7,"routes":[{"name":"r1","host":"198.18.0.1","pathPrefix":"/8443/","kind":)"
        R"("idempotent","timeoutMs":4000,"goalMs":250,"priority":2,"backends":[{"service":"a",)"
        R"("weight":90},{"service":"b","weight":0}]},{"name":"r2","host":"198.18.0.2",)"
        R"("pathPrefix":"/8080/","kind":"upload","service":"b"}],"services":[{"name":"a",)"
        R"("maxConns":2000,"coldS":2.0,"coldPerS":12.5},{"name":"b"}],"limits":)"
        R"({"idleTimeoutMs":15000}})";

struct state_document_fixture
{
    /** Returns the document with one part replaced. */
    static std::string replaced(const std::string &part, const std::string &by)
    {
        std::string text = Document;
        const std::size_t position = text.find(part);
        REQUIRE(position != std::string::npos);
        return text.replace(position, part.size(), by);
    }

    /** Reads the document with one part replaced; returns "code place" of each finding. */
    static std::vector<std::string> findingsWith(const std::string &part, const std::string &by)
    {
        return findingsOf(replaced(part, by));
    }

    static std::vector<std::string> findingsOf(const std::string &text)
    {
        const state_document document = readStateDocument(text);
        std::vector<std::string> found;
        for (const state_finding &finding : document.findings) {
            CHECK(finding.severity == state_severity::Error);
            CHECK_FALSE(finding.message.empty());
            CHECK_FALSE(finding.remedy.empty());
            found.push_back(finding.code + " " + finding.place);
        }
        CHECK(document.draft.isComplete == found.empty());
        return found;
    }
};

using texts = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(state_document_fixture, "state document, valid, is read with its places")
{
    const state_document document = readStateDocument(Document);
    CHECK(document.findings.empty());
    const state_draft &draft = document.draft;
    CHECK(draft.isComplete);
    CHECK(draft.version == 7);
    CHECK(draft.idleTimeout.count() == 15000);
    REQUIRE(draft.routes.size() == 2);
    CHECK(draft.routes[1].place == "routes[1]");
    CHECK(draft.routes[0].item.address.toString() == "198.18.0.1:8443");
    REQUIRE(draft.routes[0].shares.size() == 2);
    CHECK(draft.routes[0].shares[1].place == "routes[0].backends[1]");
    CHECK(draft.routes[0].shares[1].weight == 0);
    CHECK(draft.routes[0].item.shares.size() == 1);
    REQUIRE(draft.routes[1].shares.size() == 1);
    CHECK(draft.routes[1].shares[0].place == "routes[1].service");
    REQUIRE(draft.services.size() == 2);
    CHECK(draft.services[0].place == "services[0]");
    CHECK(draft.services[0].item.coldRequestsPerSecond == 12.5);
}

TEST_CASE_FIXTURE(state_document_fixture, "version, missing, 0 or no number, is an error")
{
    CHECK(findingsWith(R"("version":7,)", "") == texts{"missing version"});
    CHECK(findingsWith(R"("version":7)", R"("version":0)") == texts{"missing version"});
    CHECK(findingsWith(R"("version":7)", R"("version":"7")") == texts{"wrong_type version"});
}

TEST_CASE_FIXTURE(state_document_fixture, "fields, missing, are errors with their places")
{
    CHECK(findingsWith(R"("host":"198.18.0.1",)", "") == texts{"missing routes[0].host"});
    CHECK(findingsWith(R"("name":"r2",)", "") == texts{"missing routes[1].name"});
    CHECK(findingsWith(R"(,"service":"b"}])", "}]") == texts{"missing routes[1].service"});
    CHECK(findingsWith(R"("service":"a",)", "") == texts{"missing routes[0].backends[0].service"});
    CHECK(findingsWith(R"({"name":"b"})", "{}") == texts{"missing services[1].name"});
    CHECK(findingsOf(R"({"version":1})") == texts{"missing routes", "missing services"});
}

// The decoder of the store's answers reads some of these as empty or 0 without an error.
TEST_CASE_FIXTURE(state_document_fixture, "fields, of another type, are errors with their places")
{
    CHECK(findingsWith(R"("goalMs":250)", R"("goalMs":2.5)")
          == texts{"wrong_type routes[0].goalMs"});
    CHECK(findingsWith(R"("kind":"upload")", R"("kind":5)") == texts{"wrong_type routes[1].kind"});
    CHECK(findingsWith(R"({"name":"b"})", "7") == texts{"wrong_type services[1]"});
    CHECK(findingsWith(R"("coldS":2.0)", R"("coldS":true)")
          == texts{"wrong_type services[0].coldS"});
    CHECK(findingsWith("15000", R"("long")") == texts{"wrong_type limits.idleTimeoutMs"});
    CHECK(findingsWith(R"({"idleTimeoutMs":15000})", "[]") == texts{"wrong_type limits"});
    CHECK(findingsOf(R"({"version":1,"routes":{},"services":""})")
          == texts{"wrong_type routes", "wrong_type services"});
}

TEST_CASE_FIXTURE(state_document_fixture, "addresses and ports, unreadable, are errors")
{
    CHECK(findingsWith("198.18.0.2", "nowhere") == texts{"address_unreadable routes[1].host"});
    for (const char *port : {"/0/", "/65536/", "/-1/", "/http/", "8080", "//"}) {
        CAPTURE(port);
        CHECK(findingsWith("/8080/", port) == texts{"port_unreadable routes[1].pathPrefix"});
    }
}

TEST_CASE_FIXTURE(state_document_fixture, "numbers, negative, are errors")
{
    CHECK(findingsWith(R"("priority":2)", R"("priority":-2)")
          == texts{"number_negative routes[0].priority"});
    CHECK(findingsWith(R"("coldPerS":12.5)", R"("coldPerS":-0.5)")
          == texts{"number_negative services[0].coldPerS"});
    CHECK(findingsWith("15000", "-1") == texts{"number_negative limits.idleTimeoutMs"});
}

// The decoder casts to 32 bits: a weight of 2^32 would become 0.
TEST_CASE_FIXTURE(state_document_fixture, "numbers, beyond what is kept, are errors")
{
    CHECK(findingsWith(R"("weight":90)", R"("weight":4294967296)")
          == texts{"number_too_large routes[0].backends[0].weight"});
    CHECK(findingsWith(R"("maxConns":2000)", R"("maxConns":4294967295)").empty());
    CHECK(findingsWith(R"("maxConns":2000)", R"("maxConns":1e30)")
          == texts{"number_too_large services[0].maxConns"});
    CHECK(findingsWith(R"("timeoutMs":4000)", R"("timeoutMs":18446744073709551615)")
          == texts{"number_too_large routes[0].timeoutMs"});
    CHECK(findingsWith("15000", "18446744073709551615")
          == texts{"number_too_large limits.idleTimeoutMs"});
    CHECK(findingsWith(R"("coldS":2.0)", R"("coldS":1000001)")
          == texts{"number_too_large services[0].coldS"});
    CHECK(findingsWith(R"("coldPerS":12.5)", R"("coldPerS":1e7)")
          == texts{"number_too_large services[0].coldPerS"});
}

TEST_CASE_FIXTURE(state_document_fixture, "several faults, in one document, are all reported")
{
    std::string text = replaced("198.18.0.2", "nowhere");
    text.replace(text.find("/8443/"), 6, "/x/");
    CHECK(findingsOf(text)
          == texts{"port_unreadable routes[0].pathPrefix", "address_unreadable routes[1].host"});
}

TEST_CASE_FIXTURE(state_document_fixture, "text, no unambiguous JSON object, is an error")
{
    for (const std::string text :
         {"", "[]", "{", R"({"version":1,"version":2})", R"({"version":1} x)"}) {
        CAPTURE(text);
        CHECK(findingsOf(text) == texts{"not_json document"});
    }
}

// The JSON library throws beyond its nesting limit.
TEST_CASE_FIXTURE(state_document_fixture, "text, deeply nested, is an error")
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK(findingsOf(R"({"version":1,"routes":)" + nested + "}") == texts{"not_json document"});
}

} // namespace ebonyway::platform
