#include "emulator/emulated_instance_log.h"

#include <chrono>
#include <utility>

namespace ebonyway {

emulated_instance_log::emulated_instance_log(std::string instance, const event_queue &queue,
                                             event_log *target)
    : m_instance(std::move(instance))
    , m_queue(queue)
    , m_target(target)
    , m_decisions(*this, m_counters, m_metrics)
{ }

void emulated_instance_log::write(const log_line &line)
{
    if (!m_target) {
        return;
    }
    const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now().time_since_epoch());
    log_line complete = line;
    complete.fields.push_back({"instance", m_instance});
    complete.fields.push_back({"at_ms", std::int64_t{at.count()}});
    m_target->write(complete);
}

forwarding_observer &emulated_instance_log::observer()
{
    if (m_target) {
        return m_decisions;
    }
    return m_silent;
}

} // namespace ebonyway
