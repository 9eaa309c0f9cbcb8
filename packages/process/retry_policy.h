#pragma once

#include "core/seeded_random.h"
#include "core/time.h"

namespace ebonyway {

/** Limits of a retry_policy. */
struct retry_policy_limits
{
    duration firstDelay = std::chrono::milliseconds(250);
    duration longestDelay = std::chrono::seconds(10);
    double budget = 10; ///< Retries that may be made in a burst.
    double earnedPerSuccess = 0.2; ///< Budget regained by a successful call.
    duration earnedEvery = std::chrono::seconds(5); ///< Time in which one retry is regained.
};

/**
 * Decides when a failed call may be tried again: exponential backoff with a cap, jitter over the
 * upper half of the delay, and a budget that bounds the retries over time.
 */
class retry_policy
{
public:
    retry_policy(retry_policy_limits limits, std::uint64_t seed);

    void onSuccess();
    /** Returns the time of the next attempt. */
    time_point onFailure(time_point now);

    int failures() const { return m_failures; }

private:
    void earn(time_point now);

    retry_policy_limits m_limits;
    seeded_random m_random;
    int m_failures = 0; ///< Since the last success.
    double m_tokens;
    time_point m_earnedAt;
    bool m_hasEarned = false;
};

} // namespace ebonyway
