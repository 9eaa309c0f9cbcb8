#include "process/message_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace ebonyway {

namespace {

constexpr std::size_t Sha256Size = 32;

std::array<std::byte, Sha256Size> hmacSha256(std::span<const std::byte> key,
                                             std::span<const std::byte> bytes)
{
    std::array<std::byte, Sha256Size> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
         reinterpret_cast<unsigned char *>(digest.data()), &size);
    return digest;
}

} // namespace

message_authenticator::message_authenticator(std::span<const std::byte> deploymentKey,
                                             std::string_view label)
{
    const auto derived = hmacSha256(deploymentKey, std::as_bytes(std::span(label)));
    m_key.assign(derived.begin(), derived.end());
}

authentication_tag message_authenticator::tag(std::span<const std::byte> bytes) const
{
    const auto digest = hmacSha256(m_key, bytes);
    authentication_tag truncated;
    std::copy_n(digest.begin(), AuthenticationTagSize, truncated.begin());
    return truncated;
}

bool message_authenticator::verify(std::span<const std::byte> bytes,
                                   std::span<const std::byte> expected) const
{
    if (expected.size() != AuthenticationTagSize) {
        return false;
    }
    const authentication_tag actual = tag(bytes);
    return CRYPTO_memcmp(actual.data(), expected.data(), AuthenticationTagSize) == 0;
}

} // namespace ebonyway
