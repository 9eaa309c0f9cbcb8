#include "telemetry/bounded_event_log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace ebonyway {

namespace {

struct recorded_log : event_log
{
    std::vector<log_line> lines;

    void write(const log_line &line) override { lines.push_back(line); }
};

struct bounded_log_fixture
{
    recorded_log target;
    bounded_event_log subject{target, "edge-1"};

    std::size_t linesOf(const std::string &event) const
    {
        return static_cast<std::size_t>(
                std::count_if(target.lines.begin(), target.lines.end(),
                              [&](const log_line &line) { return line.name == event; }));
    }
};

} // namespace

TEST_CASE_FIXTURE(bounded_log_fixture, "flood of one event, other events, are still written")
{
    for (int i = 0; i < 10'000; ++i) {
        subject.write({log_level::Info, "flow_offered", {}});
    }
    subject.write({log_level::Warn, "store_lost", {}});
    CHECK(linesOf("flow_offered") < 1'000);
    CHECK(linesOf("store_lost") == 1);
}

TEST_CASE_FIXTURE(bounded_log_fixture, "suppressed lines, later, are reported in one line")
{
    for (int i = 0; i < 10'000; ++i) {
        subject.write({log_level::Info, "flow_offered", {}});
    }
    subject.writeSuppressed();
    REQUIRE(linesOf("log_lines_suppressed") == 1);
    const auto &fields = target.lines.back().fields;
    REQUIRE(fields.size() == 3);
    CHECK(std::get<std::uint64_t>(fields[1].value) + linesOf("flow_offered") == 10'000);
}

TEST_CASE_FIXTURE(bounded_log_fixture, "line, written, names the instance")
{
    subject.write({log_level::Info, "ready", {}});
    CHECK(std::get<std::string>(target.lines.back().fields.back().value) == "edge-1");
}

} // namespace ebonyway
