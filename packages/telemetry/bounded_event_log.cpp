#include "telemetry/bounded_event_log.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

// A small instance opens about 50 flows a second; ten events at this rate fill about 100 KB/s.
constexpr double LinesPerSecond = 60;
constexpr double BurstLines = 120;

} // namespace

bounded_event_log::bounded_event_log(event_log &target, std::string instance)
    : m_target(target)
    , m_instance(std::move(instance))
    , m_budget(LinesPerSecond, BurstLines)
{ }

void bounded_event_log::write(const log_line &line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_budget.allows(line.name, std::chrono::steady_clock::now())) {
            return;
        }
    }
    pass(line);
}

void bounded_event_log::pass(log_line line)
{
    line.fields.push_back({"instance", m_instance});
    m_target.write(line);
}

void bounded_event_log::writeSuppressed()
{
    std::vector<suppressed_lines> suppressed;
    {
        const std::lock_guard lock(m_mutex);
        suppressed = m_budget.takeSuppressed();
    }
    for (const suppressed_lines &lines : suppressed) {
        pass({log_level::Warn,
              "log_lines_suppressed",
              {{"of", lines.event}, {"lines", std::uint64_t{lines.count}}}});
    }
}

} // namespace ebonyway
