#include "process/sync_message.h"

namespace ebonyway {

namespace {

constexpr std::uint8_t SyncVersion = 1;

template <typename T>
result<std::vector<std::byte>> sealWith(const message_authenticator &authenticator,
                                        const T &message)
{
    std::vector<std::byte> bytes;
    bounded_writer archive(bytes);
    archive(SyncVersion, message);
    if (bytes.size() + AuthenticationTagSize > MaxSyncMessageSize) {
        return error{error_kind::LimitExceeded,
                     "sync message of " + std::to_string(bytes.size()) + " bytes is too long",
                     "Send the content in smaller parts"};
    }
    const authentication_tag tag = authenticator.tag(bytes);
    bytes.insert(bytes.end(), tag.begin(), tag.end());
    return bytes;
}

template <typename T>
result<T> openWith(const message_authenticator &authenticator, std::span<const std::byte> bytes)
{
    const std::string remedy = "Check that all instances run the same release with the same key";
    if (bytes.size() > MaxSyncMessageSize) {
        return error{error_kind::LimitExceeded, "sync message is oversized", remedy};
    }
    if (bytes.size() <= AuthenticationTagSize) {
        return error{error_kind::InvalidInput, "sync message is truncated", remedy};
    }
    if (std::to_integer<std::uint8_t>(bytes[0]) != SyncVersion) {
        return error{error_kind::InvalidInput, "sync message has another protocol version", remedy};
    }
    const auto body = bytes.first(bytes.size() - AuthenticationTagSize);
    if (!authenticator.verify(body, bytes.last(AuthenticationTagSize))) {
        return error{error_kind::Unauthenticated, "sync message is forged", remedy};
    }
    if (auto message = decodeBounded<T>(body.subspan(1))) {
        return std::move(*message);
    }
    return error{error_kind::InvalidInput, "sync message is malformed", remedy};
}

} // namespace

sync_codec::sync_codec(std::span<const std::byte> deploymentKey)
    : m_requests(deploymentKey, "ebonyway sync request v1")
    , m_responses(deploymentKey, "ebonyway sync response v1")
{ }

result<std::vector<std::byte>> sync_codec::seal(const sync_request &request) const
{
    return sealWith(m_requests, request);
}

result<std::vector<std::byte>> sync_codec::seal(const sync_response &response) const
{
    return sealWith(m_responses, response);
}

result<sync_request> sync_codec::openRequest(std::span<const std::byte> bytes) const
{
    return openWith<sync_request>(m_requests, bytes);
}

result<sync_response> sync_codec::openResponse(std::span<const std::byte> bytes) const
{
    return openWith<sync_response>(m_responses, bytes);
}

} // namespace ebonyway
