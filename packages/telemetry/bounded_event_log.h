#pragma once

#include "telemetry/event_log.h"
#include "telemetry/log_budget.h"

#include <mutex>
#include <string>

namespace ebonyway {

/**
 * Adds the instance's name to lines and passes them on at a bounded rate for each event. Lines that
 * were left out are counted in a line of their own, "log_lines_suppressed".
 */
class bounded_event_log : public event_log
{
public:
    bounded_event_log(event_log &target, std::string instance);

    void write(const log_line &line) override;

    /** Writes how many lines were left out. Call it about once a second. */
    void writeSuppressed();

private:
    void pass(log_line line);

    event_log &m_target;
    std::string m_instance;
    std::mutex m_mutex;
    log_budget m_budget;
};

} // namespace ebonyway
