#pragma once

#include <chrono>

namespace ebonyway {

/**
 * Monotonic time. Decision code never reads a clock; the process edge or a test passes the time in,
 * so whole sessions run under virtual time.
 */
using time_point = std::chrono::steady_clock::time_point;

/** Length of time with the resolution of time_point. */
using duration = std::chrono::steady_clock::duration;

} // namespace ebonyway
