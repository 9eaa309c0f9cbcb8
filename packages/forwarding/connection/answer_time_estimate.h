#pragma once

#include "core/time.h"

namespace ebonyway {

/**
 * Estimates the response time of a service by a smoothed mean and deviation, the way TCP estimates
 * round-trip times (RFC 6298).
 */
class answer_time_estimate
{
public:
    /** Sets the mean to use until the first sample. Ignored once there is a sample. */
    void assume(duration mean);
    void add(duration sample);

    /** Returns the mean plus four deviations; few response times exceed it. */
    duration upperBound() const { return m_mean + 4 * m_deviation; }

private:
    duration m_mean{};
    duration m_deviation{};
    bool m_hasSample = false;
};

} // namespace ebonyway
