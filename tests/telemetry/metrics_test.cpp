#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct metrics_fixture
{
    metrics_registry registry;

    double value(const std::string &name) const
    {
        for (const metric_sample &sample : registry.samples()) {
            if (sample.name == name && sample.labels.empty()) {
                return sample.value;
            }
        }
        return -1;
    }
};

} // namespace

TEST_CASE_FIXTURE(metrics_fixture, "distribution, three values, reports count, sum and maximum")
{
    for (const double observed : {1.0, 2.0, 6.0}) {
        registry.observe("tick_seconds", observed);
    }
    CHECK(value("tick_seconds_count") == 3);
    CHECK(value("tick_seconds_sum") == 9);
    CHECK(value("tick_seconds_mean") == 3);
    CHECK(value("tick_seconds_max") == 6);
}

TEST_CASE_FIXTURE(metrics_fixture, "Prometheus text, label with quotes, is escaped")
{
    // An unescaped quote in a service name would invalidate the whole scrape.
    const std::string text = renderPrometheus({{"flows", {{"service", "a\"b\\c"}}, 2}});
    CHECK(text == "ebonyway_flows{service=\"a\\\"b\\\\c\"} 2\n");
}

TEST_CASE_FIXTURE(metrics_fixture, "log event, fields of every type, is one JSON line")
{
    const log_line line{
            log_level::Warn,
            "note_rejected",
            {{"note", std::uint64_t{7}}, {"reason", std::string("line\nbreak")}, {"fork", true}}};
    CHECK(renderLogLine(line, "2026-01-01T00:00:00.000Z")
          == R"({"event":"note_rejected","fork":true,"level":"warn","note":7,)"
             R"("reason":"line\nbreak","time":"2026-01-01T00:00:00.000Z"})");
}

} // namespace ebonyway
