#include "telemetry/bounded_event_log.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

// Sustained rate and burst size up to which the lines of each event are written. A small instance
// opens about 50 flows per second. Ten events at this rate write about 100 KB/s.
constexpr double LinesPerSecond = 60;
constexpr double BurstLines = 120;

} // namespace

bounded_event_log::bounded_event_log(event_log &target, std::string instance)
    : m_target(target)
    , m_instance(std::move(instance))
    , m_rateLimiter(LinesPerSecond, BurstLines)
{ }

void bounded_event_log::write(const log_line &line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_rateLimiter.tryAcquire(line.name, std::chrono::steady_clock::now())) {
            return;
        }
    }
    writeToTarget(line);
}

void bounded_event_log::writeToTarget(log_line line)
{
    line.fields.push_back({"instance", m_instance});
    m_target.write(line);
}

void bounded_event_log::writeSuppressed()
{
    std::vector<suppressed_lines> suppressed;
    {
        const std::lock_guard lock(m_mutex);
        suppressed = m_rateLimiter.takeSuppressed();
    }
    for (const suppressed_lines &lines : suppressed) {
        writeToTarget({log_level::Warn,
                       "log_lines_suppressed",
                       {{"of", lines.event}, {"lines", std::uint64_t{lines.count}}}});
    }
}

} // namespace ebonyway
