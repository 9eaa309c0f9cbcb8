#pragma once

#include "telemetry/event_log.h"
#include "telemetry/log_rate_limiter.h"

#include <mutex>
#include <string>

namespace ebonyway {

/**
 * Adds the instance's name to each line and limits the rate of lines for each event. Suppressed
 * lines are counted and reported as the event "log_lines_suppressed".
 */
class bounded_event_log : public event_log
{
public:
    bounded_event_log(event_log &target, std::string instance);

    void write(const log_line &line) override;

    /** Logs the number of suppressed lines for each event. Call it about once a second. */
    void writeSuppressed();

private:
    void writeToTarget(log_line line);

    event_log &m_target;
    std::string m_instance;
    std::mutex m_mutex;
    log_rate_limiter m_rateLimiter;
};

} // namespace ebonyway
