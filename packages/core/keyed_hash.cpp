#include "core/keyed_hash.h"

#include <xxhash.h>

#include <array>

namespace ebonyway {

keyed_hash::keyed_hash(std::span<const std::byte> deploymentKey)
    : m_seed(XXH3_64bits(deploymentKey.data(), deploymentKey.size()))
{ }

std::uint64_t keyed_hash::operator()(std::span<const std::byte> bytes) const
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), m_seed);
}

std::uint64_t keyed_hash::operator()(std::uint64_t first, std::uint64_t second) const
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH3_64bits_withSeed(pair.data(), sizeof(pair), m_seed);
}

} // namespace ebonyway
