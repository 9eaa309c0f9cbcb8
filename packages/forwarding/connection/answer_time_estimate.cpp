#include "forwarding/connection/answer_time_estimate.h"

namespace ebonyway {

namespace {

// Reciprocals of the smoothing factors of RFC 6298: alpha = 1/8, beta = 1/4.
constexpr int MeanGain = 8;
constexpr int DeviationGain = 4;

} // namespace

void answer_time_estimate::assume(duration mean)
{
    if (!m_hasSample) {
        m_mean = mean;
        m_deviation = duration::zero();
    }
}

void answer_time_estimate::add(duration sample)
{
    if (!m_hasSample) {
        m_hasSample = true;
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    const duration distance = sample > m_mean ? sample - m_mean : m_mean - sample;
    m_deviation += (distance - m_deviation) / DeviationGain;
    m_mean += (sample - m_mean) / MeanGain;
}

} // namespace ebonyway
