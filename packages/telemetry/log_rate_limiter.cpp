#include "telemetry/log_rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

log_rate_limiter::log_rate_limiter(double perSecond, double burst)
    : m_perSecond(perSecond)
    , m_burst(burst)
{ }

bool log_rate_limiter::tryAcquire(const std::string &event, time_point now)
{
    const auto [found, isNew] = m_buckets.try_emplace(event, bucket{m_burst, now, 0});
    bucket &state = found->second;
    const double elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = std::min(m_burst, state.tokens + std::max(0.0, elapsed) * m_perSecond);
    state.refilledAt = now;
    if (state.tokens < 1.0) {
        ++state.suppressed;
        return false;
    }
    state.tokens -= 1.0;
    return true;
}

std::vector<suppressed_lines> log_rate_limiter::takeSuppressed()
{
    std::vector<suppressed_lines> taken;
    for (auto &[event, state] : m_buckets) {
        if (state.suppressed > 0) {
            taken.push_back({event, std::exchange(state.suppressed, 0)});
        }
    }
    return taken;
}

} // namespace ebonyway
