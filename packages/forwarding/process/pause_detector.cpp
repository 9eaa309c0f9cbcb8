#include "forwarding/process/pause_detector.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// A busy machine delays a periodic call by up to some hundred milliseconds.
constexpr duration ShortestPause = 800ms;

} // namespace

std::optional<duration> pause_detector::check(time_point now, duration sinceBoot)
{
    std::optional<duration> pause;
    if (m_lastCheck) {
        const duration longest = std::max(now - *m_lastCheck, sinceBoot - m_lastSinceBoot);
        if (longest >= ShortestPause) {
            pause = longest;
        }
    }
    m_lastCheck = now;
    m_lastSinceBoot = sinceBoot;
    return pause;
}

} // namespace ebonyway
