#pragma once

#include "core/time.h"
#include "process/flow_outcome_log.h"

#include <map>
#include <vector>

namespace ebonyway {

class traffic_counters;
struct intent;

/** Turns the traffic threads' counters into the flow outcomes of the burn report. */
class outcome_collector
{
public:
    /** Adds what the counters have gained since the last call. */
    void collect(const intent &current, const std::vector<const traffic_counters *> &counters,
                 time_point now, flow_outcome_log::wall_time wall);

    const flow_outcome_log &outcomes() const { return m_outcomes; }

private:
    struct service_totals
    {
        flow_counters outcomes{};
        std::uint64_t offered = 0;
    };
    struct answer_period
    {
        time_point begin;
        std::uint64_t offered = 0;
        std::uint64_t answered = 0; ///< Answered or reset by the backend server.
    };

    static service_totals totalsOf(service_id service,
                                   const std::vector<const traffic_counters *> &counters);
    void collectService(service_id service, const service_totals &totals, time_point now,
                        flow_outcome_log::wall_time wall);
    std::uint32_t unansweredIn(answer_period &period, time_point now) const;

    std::map<service_id, service_totals> m_last;
    std::map<service_id, answer_period> m_periods;
    flow_outcome_log m_outcomes;
};

} // namespace ebonyway
