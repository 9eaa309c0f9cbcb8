#include "process/retry_policy.h"

#include <algorithm>

namespace ebonyway {

namespace {

double ratio(duration part, duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

duration scaled(duration whole, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(whole.count()) * factor)};
}

} // namespace

retry_policy::retry_policy(retry_policy_limits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
    , m_tokens(limits.budget)
{ }

void retry_policy::onSuccess()
{
    m_failures = 0;
    m_tokens = std::min(m_limits.budget, m_tokens + m_limits.earnedPerSuccess);
}

time_point retry_policy::onFailure(time_point now)
{
    constexpr int MaxDoublings = 20;
    earn(now);
    duration delay = m_limits.firstDelay * (1 << std::min(m_failures, MaxDoublings));
    delay = std::min(delay, m_limits.longestDelay);
    m_failures++;
    delay = scaled(delay, 0.5 + 0.5 * m_random.unit());
    if (m_tokens < 1) {
        delay = std::max(delay, scaled(m_limits.earnedEvery, 1 - m_tokens));
    }
    m_tokens -= 1;
    return now + delay;
}

void retry_policy::earn(time_point now)
{
    if (m_hasEarned && now > m_earnedAt) {
        const double earned = ratio(now - m_earnedAt, m_limits.earnedEvery);
        m_tokens = std::min(m_limits.budget, m_tokens + earned);
    }
    m_hasEarned = true;
    m_earnedAt = now;
}

} // namespace ebonyway
