#include "version/retry_budget.h"

#include <algorithm>

namespace ebonyway {

retry_budget::retry_budget(const retry_limits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{ }

std::optional<std::chrono::milliseconds> retry_budget::nextWait()
{
    if (m_used >= m_limits.retries) {
        return std::nullopt;
    }
    std::chrono::milliseconds wait = m_limits.firstWait;
    for (std::uint32_t i = 0; i < m_used && wait < m_limits.longestWait; ++i) {
        wait *= 2;
    }
    ++m_used;
    wait = std::min(wait, m_limits.longestWait);
    // Writers that failed at the same moment must not retry at the same moment.
    const auto half = wait.count() / 2;
    const auto jitter = m_random.below(static_cast<std::uint64_t>(wait.count() - half) + 1);
    return std::chrono::milliseconds{half + static_cast<std::int64_t>(jitter)};
}

bool retry_budget::waitForRetry(const wait_function &wait)
{
    const std::optional<std::chrono::milliseconds> length = nextWait();
    if (!length) {
        return false;
    }
    wait(*length);
    return true;
}

} // namespace ebonyway
