#include "connection/cold_start_ramp.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Flows in a step at full share, over all instances. The step size is proportional to the share, so
// that at constant load all steps last equally long and the work done doubles with the share. The
// first step then has 20 flows, the smallest number that distinguishes 95% from 100%.
constexpr double StepFlowsAtFullShare = 400;

// An instance with a small home share needs one answer per step. The steps of the many homes then
// complete independently, so that the total load grows with the fraction of homes that have seen an
// answer.
constexpr double MinimumStepFlows = 1;

// With a higher ratio of failures in a step, the backend server is cold again. With a lower one it
// is only slower than the previous step suggested, and it has handled half of the share before.
constexpr double RestartRatio = 0.5;

// Fewer failures are attributed to packet loss: at 1% loss, 3 failures in 40 flows occur in under
// 1% of the steps.
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
    ++m_answered;
    const bool enough = m_answered >= stepFlows(homeShare);
    if (!isCold() || !enough || m_failed > toleratedRatio * (m_answered + m_failed)) {
        return;
    }
    m_share = std::min(1.0, m_share * 2);
    beginStep();
}

void cold_start_ramp::onFailed(double toleratedRatio, time_point now)
{
    ++m_failed;
    const double most = toleratedRatio * (m_answered + m_failed);
    if (isCold() && m_failed >= MinimumFailures && m_failed > most) {
        stepBack(m_failed / (1.0 * (m_answered + m_failed)), now);
    }
}

void cold_start_ramp::stepBack(double failedRatio, time_point now)
{
    continueFrom(failedRatio > RestartRatio ? m_startShare : m_share / 2, now);
}

void cold_start_ramp::beginStep()
{
    m_answered = 0;
    m_failed = 0;
}

double cold_start_ramp::stepFlows(double homeShare) const
{
    return std::max(MinimumStepFlows, StepFlowsAtFullShare * m_share * homeShare);
}

} // namespace ebonyway
