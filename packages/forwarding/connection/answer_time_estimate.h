#pragma once

#include "core/time.h"

namespace ebonyway {

/**
 * Estimates how long the answers of a service take: smoothed mean and deviation, as TCP estimates
 * round-trip times (RFC 6298).
 */
class answer_time_estimate
{
public:
    /** Sets what to assume until the first answer. */
    void assume(duration mean);
    void add(duration sample);

    /** Returns a time that few answers exceed. */
    duration upperBound() const { return m_mean + 4 * m_deviation; }

private:
    duration m_mean{};
    duration m_deviation{};
    bool m_hasSample = false;
};

} // namespace ebonyway
