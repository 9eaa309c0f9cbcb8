#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** Number of suppressed lines of one event. */
struct suppressed_lines
{
    std::string event;
    std::uint64_t count = 0;
};

/**
 * Limits the rate of log lines with one token bucket for each event name, so that a flood of one
 * event does not suppress others.
 */
class log_rate_limiter
{
public:
    /** Allows a burst of `burst` lines and `perSecond` lines per second for each event. */
    log_rate_limiter(double perSecond, double burst);

    /** Takes a token for a line of `event`. Returns false and counts the line if none is left. */
    bool tryAcquire(const std::string &event, time_point now);

    /** Returns and resets the counts of lines suppressed since the last call. */
    std::vector<suppressed_lines> takeSuppressed();

private:
    struct bucket
    {
        double tokens = 0;
        time_point refilledAt;
        std::uint64_t suppressed = 0;
    };

    double m_perSecond;
    double m_burst;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ebonyway
