#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace ebonyway {

/**
 * XXH3 keyed per deployment, so that a caller that does not know the key cannot aim its flows at
 * one slot. Not a message authentication code.
 */
class keyed_hash
{
public:
    /** Derives the hash seed from the deployment key. */
    explicit keyed_hash(std::span<const std::byte> deploymentKey);

    std::uint64_t operator()(std::span<const std::byte> bytes) const;

    /** Hashes a pair of integers, for rendezvous scores. */
    std::uint64_t operator()(std::uint64_t first, std::uint64_t second) const;

private:
    std::uint64_t m_seed = 0;
};

} // namespace ebonyway
