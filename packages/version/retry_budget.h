#pragma once

#include "core/seeded_random.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace ebonyway {

/** Waits for the given time; tests pass a function that only advances virtual time. */
using wait_function = std::function<void(std::chrono::milliseconds)>;

/** How often and how fast a platform call may be repeated. */
struct retry_limits
{
    std::uint32_t retries = 8; ///< For all calls of one operation together.
    std::chrono::milliseconds firstWait{100};
    std::chrono::milliseconds longestWait{5000};
    std::chrono::milliseconds callTimeout{3000};
};

/** Retries of one operation: the waits double up to a cap and are jittered. */
class retry_budget
{
public:
    retry_budget(const retry_limits &limits, std::uint64_t seed);

    /** Returns the wait before the next retry, or nothing if the budget is used up. */
    std::optional<std::chrono::milliseconds> nextWait();

    /** Waits before the next retry. Returns false without waiting if the budget is used up. */
    bool waitForRetry(const wait_function &wait);

    std::chrono::milliseconds callTimeout() const { return m_limits.callTimeout; }

private:
    retry_limits m_limits;
    seeded_random m_random;
    std::uint32_t m_used = 0;
};

} // namespace ebonyway
