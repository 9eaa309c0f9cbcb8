#include "core/seeded_random.h"

#include <cmath>

namespace ebonyway {

seeded_random::seeded_random(std::uint64_t seed)
    : m_state(seed)
{ }

std::uint64_t seeded_random::next()
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31);
}

std::uint64_t seeded_random::below(std::uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    const auto wide = static_cast<unsigned __int128>(next()) * bound;
    return static_cast<std::uint64_t>(wide >> 64);
}

double seeded_random::unit()
{
    constexpr double Scale = 1.0 / (1ULL << 53);
    return static_cast<double>(next() >> 11) * Scale;
}

double seeded_random::exponential(double mean)
{
    return -mean * std::log(1.0 - unit());
}

} // namespace ebonyway
