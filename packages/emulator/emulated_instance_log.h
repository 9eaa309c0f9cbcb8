#pragma once

#include "emulator/event_queue.h"
#include "forwarding/connection/forwarder.h"
#include "forwarding/edge/decision_log.h"
#include "telemetry/event_log.h"

#include <string>

namespace ebonyway {

/** Log of one instance under virtual time: adds its name and the time, or discards all lines. */
class emulated_instance_log : public event_log
{
public:
    /** `target` may be nullptr. */
    emulated_instance_log(std::string instance, const event_queue &queue, event_log *target);

    void write(const log_line &line) override;

    /** Receives the decisions of the instance's forwarder. */
    forwarding_observer &observer();

private:
    /** Takes decisions that nobody logs; writing and dropping lines would slow long experiments. */
    struct silent_observer : forwarding_observer
    {
        void onPlacement(const placement_record &) override { }
        void onRefusal(const refusal_record &) override { }
        void onTrustChange(const trust_change &) override { }
        void onPaceChange(const pace_change &) override { }
        void onAdmissionChange(const std::string &, const admission_change &) override { }
        void onOpened(const flow_id &, server_key, duration) override { }
    };

    std::string m_instance;
    const event_queue &m_queue;
    event_log *m_target;
    forwarding_counters m_counters;
    metrics_registry m_metrics;
    decision_log m_decisions;
    silent_observer m_silent;
};

} // namespace ebonyway
