#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ebonyway {

/** Length of a truncated authentication tag in bytes. */
constexpr std::size_t AuthenticationTagSize = 16;

using authentication_tag = std::array<std::byte, AuthenticationTagSize>;

/**
 * HMAC-SHA-256 truncated to 16 bytes. Each protocol derives its own key from the deployment key and
 * a label, so a message of one protocol is never valid in another.
 */
class message_authenticator
{
public:
    message_authenticator(std::span<const std::byte> deploymentKey, std::string_view label);

    authentication_tag tag(std::span<const std::byte> bytes) const;

    /** Compares in constant time. */
    bool verify(std::span<const std::byte> bytes, std::span<const std::byte> expected) const;

private:
    std::vector<std::byte> m_key;
};

} // namespace ebonyway
