#include "core/json_text.h"
#include "core/seeded_random.h"
#include "golden_file.h"
#include "process/burn_report.h"
#include "version/intent.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct burn_report_fixture
{
    intent current;
    flow_outcome_log log;
    flow_outcome_log::wall_time now{std::chrono::sys_days{std::chrono::year{2026} / 3 / 14} + 9h
                                    + 26min};

    burn_report_fixture()
    {
        for (const char *name : {"vitrine", "plans", "trip-desk"}) {
            service added;
            added.id = {current.nextServiceId++};
            added.name = name;
            current.services.push_back(added);
        }
    }

    void count(std::uint16_t service, std::size_t outcome, std::uint32_t flows,
               std::chrono::seconds age)
    {
        log.count({service}, outcome, flows, now - age);
    }

    /** vitrine burns fast now, plans burnt yesterday, trip-desk is quiet. */
    void countSampleMonth()
    {
        for (int day = 0; day < 30; ++day) {
            count(0, flowOutcomeIndex(flow_outcome::Good), 200000, day * 24h);
            count(1, flowOutcomeIndex(flow_outcome::Good), 4000, day * 24h);
        }
        for (int minute = 0; minute < 50; ++minute) {
            count(0, flowOutcomeIndex(flow_outcome::RefusedOverloaded), 80, minute * 1min);
            count(0, flowOutcomeIndex(flow_outcome::NoAnswer), 11, minute * 1min);
        }
        count(1, flowOutcomeIndex(flow_outcome::ResetByBackendServer), 60, 26h);
        count(1, droppedIndex(drop_reason::TableFull), 3, 26h);
    }
};

} // namespace

TEST_CASE_FIXTURE(burn_report_fixture, "burn report, sample month, matches the golden files")
{
    countSampleMonth();
    const std::vector<service_burn> report = makeBurnReport(current, log, now);
    CHECK(matchesGoldenFile("process/golden/burn_table.txt", burnTable(report)));
    CHECK(matchesGoldenFile("process/golden/burn.json", indentedJson(burnJson(report))));
    CHECK(matchesGoldenFile("process/golden/burn.svg", burnSvg(report)));
}

TEST_CASE_FIXTURE(burn_report_fixture,
                  "burn report, burn that has ended, asks to watch, not to act")
{
    // Guards against waking operators for a fault that is over.
    count(0, flowOutcomeIndex(flow_outcome::Good), 100000, 5h);
    count(0, flowOutcomeIndex(flow_outcome::RefusedOverloaded), 50000, 5h);
    count(0, flowOutcomeIndex(flow_outcome::Good), 100000, 1min);
    CHECK(makeBurnReport(current, log, now).front().state == burn_state::Watch);
}

TEST_CASE_FIXTURE(burn_report_fixture,
                  "flow outcome log, flows of any age, are in the right windows")
{
    const std::array<std::chrono::seconds, 6> ages{0s, 10min, 2h, 30h, 10 * 24h, 40 * 24h};
    for (const auto age : ages) {
        count(0, flowOutcomeIndex(flow_outcome::Good), 1, age);
    }
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        CHECK(log.flowsIn({0}, window, now)[0] == window + 1);
        // A ring that has not been written for long must not count its old buckets again.
        CHECK(log.flowsIn({0}, window, now + 400 * 24h)[0] == 0);
    }
}

TEST_CASE_FIXTURE(burn_report_fixture, "flow outcome log, logs of two instances, add up")
{
    countSampleMonth();
    flow_outcome_log both = log;
    REQUIRE(isOk(both.merge(log.toJson())));
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        const flow_counters once = log.flowsIn({0}, window, now);
        const flow_counters twice = both.flowsIn({0}, window, now);
        for (std::size_t i = 0; i < FlowOutcomeCount; ++i) {
            CHECK(twice[i] == 2 * once[i]);
        }
    }
}

TEST_CASE_FIXTURE(burn_report_fixture, "flow outcome log, mutated JSON, is refused whole or merged")
{
    countSampleMonth();
    const std::string text = compactJson(log.toJson());
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        seeded_random random(seed);
        std::string mutated = text;
        for (int i = 0; i < 3; ++i) {
            mutated[random.below(mutated.size())] = "{}[],:\"0-e9"[random.below(11)];
        }
        const result<Json::Value> parsed = parseJsonObject(mutated);
        if (!isOk(parsed)) {
            continue;
        }
        flow_outcome_log merged;
        if (!isOk(merged.merge(valueOf(parsed)))) {
            REQUIRE(merged.services().empty());
        }
    }
}

} // namespace ebonyway
