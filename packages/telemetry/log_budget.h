#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How many lines of one event were left out. */
struct suppressed_lines
{
    std::string event;
    std::uint64_t count = 0;
};

/** Bounds the rate of log lines for each event name, so that a flood of one does not hide others.
 */
class log_budget
{
public:
    /** Allows `burst` lines at once and `perSecond` lines a second for each event. */
    log_budget(double perSecond, double burst);

    /** Returns whether a line may be written now. */
    bool allows(const std::string &event, time_point now);

    /** Returns the events with lines left out since the last call. */
    std::vector<suppressed_lines> takeSuppressed();

private:
    struct bucket
    {
        double tokens = 0;
        time_point filledAt;
        std::uint64_t suppressed = 0;
    };

    double m_perSecond;
    double m_burst;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ebonyway
