#pragma once

#include <cstdint>

namespace ebonyway {

/**
 * Small deterministic random generator (SplitMix64). Decision code takes it by reference so that a
 * seed repeats a whole session. Unlike the standard distributions its results do not depend on the
 * C++ library.
 */
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed);

    /** Uniform over all 64-bit values. */
    std::uint64_t next();
    /** Uniform in [0, bound); returns 0 if bound is 0. */
    std::uint64_t below(std::uint64_t bound);
    /** Uniform in [0, 1). */
    double unit();
    /** Exponentially distributed with the given mean. */
    double exponential(double mean);

private:
    std::uint64_t m_state = 0;
};

} // namespace ebonyway
