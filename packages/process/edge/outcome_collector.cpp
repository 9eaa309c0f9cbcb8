#include "process/edge/outcome_collector.h"

#include "process/edge/traffic_counters.h"
#include "version/intent.h"

#include <algorithm>
#include <cmath>

namespace ebonyway {

namespace {

constexpr std::chrono::seconds AnswerPeriod{60};

// The fabric sprays first packets and answers independently, so one instance's counts of both
// differ by chance. Three standard deviations keep a healthy service from showing failures.
constexpr double SprayDeviations = 3.0;

std::uint64_t read(const std::atomic<std::uint64_t> &counter)
{
    return counter.load(std::memory_order_relaxed);
}

} // namespace

outcome_collector::service_totals
outcome_collector::totalsOf(service_id service,
                            const std::vector<const traffic_counters *> &counters)
{
    service_totals totals;
    flow_counters &flows = totals.outcomes;
    for (const traffic_counters *thread : counters) {
        const service_traffic &traffic = thread->service(service);
        totals.offered += read(traffic.offered);
        flows[flowOutcomeIndex(flow_outcome::Good)] += read(traffic.answered);
        flows[flowOutcomeIndex(flow_outcome::RefusedOverloaded)] += read(traffic.refusedOverloaded);
        flows[flowOutcomeIndex(flow_outcome::GivenUp)] += read(traffic.givenUp);
        flows[flowOutcomeIndex(flow_outcome::ResetByBackendServer)] += read(traffic.resetByServer);
        for (std::size_t i = 0; i < DropReasonCount; ++i) {
            flows[droppedIndex(static_cast<drop_reason>(i))] += read(traffic.dropped[i]);
        }
    }
    return totals;
}

void outcome_collector::collect(const intent &current,
                                const std::vector<const traffic_counters *> &counters,
                                time_point now, flow_outcome_log::wall_time wall)
{
    for (const service &known : current.services) {
        collectService(known.id, totalsOf(known.id, counters), now, wall);
    }
}

void outcome_collector::collectService(service_id service, const service_totals &totals,
                                       time_point now, flow_outcome_log::wall_time wall)
{
    service_totals &last = m_last[service];
    for (std::size_t i = 0; i < totals.outcomes.size(); ++i) {
        const auto gained = static_cast<std::uint32_t>(totals.outcomes[i] - last.outcomes[i]);
        if (gained > 0) {
            m_outcomes.count(service, i, gained, wall);
        }
    }
    constexpr std::size_t Good = flowOutcomeIndex(flow_outcome::Good);
    constexpr std::size_t Reset = flowOutcomeIndex(flow_outcome::ResetByBackendServer);
    answer_period &period = m_periods[service];
    period.offered += totals.offered - last.offered;
    period.answered += totals.outcomes[Good] - last.outcomes[Good];
    period.answered += totals.outcomes[Reset] - last.outcomes[Reset];
    last = totals;
    const std::uint32_t unanswered = unansweredIn(period, now);
    if (unanswered > 0) {
        m_outcomes.count(service, flowOutcomeIndex(flow_outcome::NoAnswer), unanswered, wall);
    }
}

std::uint32_t outcome_collector::unansweredIn(answer_period &period, time_point now) const
{
    if (period.begin == time_point{}) {
        period.begin = now;
    }
    if (now - period.begin < AnswerPeriod) {
        return 0;
    }
    const auto offered = static_cast<double>(period.offered);
    const double missing = offered - static_cast<double>(period.answered);
    const double beyondChance = missing - SprayDeviations * std::sqrt(2.0 * offered);
    period = {now, 0, 0};
    return static_cast<std::uint32_t>(std::max(0.0, beyondChance));
}

} // namespace ebonyway
