#include "forwarding/process/pause_detector.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Shortest time between two checks that counts as a pause. Must exceed the scheduling delay on a
// busy machine, which reaches some hundred milliseconds.
constexpr duration MinPause = 800ms;

} // namespace

std::optional<duration> pause_detector::check(time_point now, duration sinceBoot)
{
    std::optional<duration> pause;
    if (m_lastCheck) {
        const duration longest = std::max(now - *m_lastCheck, sinceBoot - m_lastSinceBoot);
        if (longest >= MinPause) {
            pause = longest;
        }
    }
    m_lastCheck = now;
    m_lastSinceBoot = sinceBoot;
    return pause;
}

} // namespace ebonyway
