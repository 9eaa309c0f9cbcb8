#include "process/edge/health_prober.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace ebonyway {

namespace {

struct health_page_fixture
{
    static load_report parse(const std::string &body)
    {
        return parseHealthPage(backend_server_id{3}, body);
    }
};

} // namespace

TEST_CASE_FIXTURE(health_page_fixture, "health page, all fields, become a load report")
{
    const load_report report =
            parse(R"({"ready":true,"open_connections":12,"busy_slots":3,"start_count":7})");
    CHECK(report.backendServer == backend_server_id{3});
    CHECK(report.reachable);
    CHECK(report.ready);
    CHECK(report.openConnections == 12);
    CHECK(report.busySlots == 3);
    CHECK(report.startCount == 7);
}

TEST_CASE_FIXTURE(health_page_fixture, "health page, malformed or misleading types, is not ready")
{
    // Guards against a broken endpoint that stops the prober or counts as healthy.
    const std::vector<std::string> bodies{
            "",
            "ok",
            "[]",
            "{\"ready\":\"yes\"}",
            "{\"ready\":1}",
            "{\"open_connections\":-4,\"busy_slots\":1e300}",
            std::string(5000, '['),
    };
    for (const std::string &body : bodies) {
        CAPTURE(body);
        const load_report report = parse(body);
        CHECK(report.reachable);
        CHECK_FALSE(report.ready);
        CHECK(report.openConnections == 0);
        CHECK(report.busySlots == 0);
    }
}

} // namespace ebonyway
