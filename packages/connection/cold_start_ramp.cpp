#include "connection/cold_start_ramp.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Flows in a step at full share, over all instances. The step size is proportional to the share, so
// that at constant load all steps last equally long and the work done doubles with the share. The
// first step then has 20 flows, the smallest number that distinguishes 95% from 100%.
constexpr double StepFlowsAtFullShare = 400;

// Minimum number of answered flows in a step of one instance, however small its home share. The
// steps of the many homes then complete independently, so that the total load grows with the
// fraction of homes that have seen an answer.
constexpr double MinimumStepFlows = 1;

// Ratio of failed flows above which the share returns to the start share instead of being halved.
// With a higher ratio, the backend server is cold again. With a lower one it is only slower than
// the previous step suggested, and it has handled half of the share before.
constexpr double RestartRatio = 0.5;

// Number of failed flows in a step that can reduce the share. Fewer are attributed to packet loss:
// at 1% loss, 3 failures in 40 flows occur in under 1% of the steps.
constexpr std::uint32_t MinimumFailures = 3;

// Minimum rate in flows per second, over all instances, at which a cold backend server gets flows.
// Without it, the cold start of a service with few new flows would take hours.
constexpr double MinimumRate = 1.0;

// Flows that may start at once on saved credit. More would allow a burst after an idle period.
constexpr double MaximumCredit = 2;

} // namespace

cold_start_ramp::cold_start_ramp(double startShare)
    : m_startShare(startShare)
{ }

void cold_start_ramp::restart(time_point now)
{
    continueFrom(m_startShare, now);
}

void cold_start_ramp::continueFrom(double share, time_point now)
{
    m_share = std::clamp(share, m_startShare, 1.0);
    m_credit = 0;
    m_creditedAt = now;
    beginStep();
}

void cold_start_ramp::onProposal(bool firstChoice, double homeShare, time_point now)
{
    if (!isCold()) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_creditedAt;
    m_creditedAt = now;
    m_credit += elapsed.count() * MinimumRate * homeShare;
    m_credit += firstChoice ? m_share : 0;
    m_credit = std::min(m_credit, MaximumCredit);
}

void cold_start_ramp::onAdmitted()
{
    m_credit = std::max(0.0, m_credit - 1);
}

void cold_start_ramp::onAnswered(double homeShare, double toleratedRatio)
{
    ++m_answeredFlows;
    const bool enough = m_answeredFlows >= stepFlows(homeShare);
    if (!isCold() || !enough
        || m_failedFlows > toleratedRatio * (m_answeredFlows + m_failedFlows)) {
        return;
    }
    m_share = std::min(1.0, m_share * 2);
    beginStep();
}

void cold_start_ramp::onFailed(double toleratedRatio, time_point now)
{
    ++m_failedFlows;
    const double most = toleratedRatio * (m_answeredFlows + m_failedFlows);
    if (isCold() && m_failedFlows >= MinimumFailures && m_failedFlows > most) {
        stepBack(m_failedFlows / (1.0 * (m_answeredFlows + m_failedFlows)), now);
    }
}

void cold_start_ramp::stepBack(double failedRatio, time_point now)
{
    continueFrom(failedRatio > RestartRatio ? m_startShare : m_share / 2, now);
}

void cold_start_ramp::beginStep()
{
    m_answeredFlows = 0;
    m_failedFlows = 0;
}

double cold_start_ramp::stepFlows(double homeShare) const
{
    return std::max(MinimumStepFlows, StepFlowsAtFullShare * m_share * homeShare);
}

} // namespace ebonyway
