#pragma once

#include "core/bounded_archive.h"
#include "core/ids.h"
#include "core/result.h"
#include "process/message_authenticator.h"
#include "version/intent.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/**
 * Largest message of the sync protocol in bytes, tag included. On the TCP connection each message
 * is preceded by its length in 4 bytes, network order. A connection carries one request and one
 * response.
 */
constexpr std::size_t MaxSyncMessageSize = 1'000'000;

/** Largest content of one response; larger contents are fetched in several requests. */
constexpr std::size_t MaxSyncChunkSize = 512 * 1024;

/** Asks for the release notes that follow a note. */
struct notes_request
{
    note_number after;
    std::uint64_t offset = 0; ///< Bytes of the first note that the requester already has.
};

/** Asks for a part of the responder's snapshot. */
struct snapshot_request
{
    note_number number; ///< 0 for the responder's current one; else the one begun before.
    std::uint64_t offset = 0;
};

/** A request of the sync protocol. */
struct sync_request
{
    std::uint64_t nonce = 0; ///< Repeated by the response.
    instance_id sender;
    instance_id recipient;
    std::variant<notes_request, snapshot_request> body;
};

/** A release note or the part of it that begins at the requested offset. */
struct note_part
{
    note_number number;
    note_digest digest{};
    std::uint64_t size = 0; ///< Of the whole text in bytes.
    std::string text;
};

/** Notes in order. Ends early at MaxSyncChunkSize; only the last part may be incomplete. */
struct notes_response
{
    note_number head; ///< Highest note of the responder.
    note_digest previous{}; ///< Responder's digest of the note that the request named.
    bool needsSnapshot = false; ///< The responder no longer has the requested notes.
    std::vector<note_part> notes;
};

/** Part of a snapshot. Size 0 means that the responder has none. */
struct snapshot_response
{
    note_number number;
    note_digest digest{};
    std::uint64_t size = 0; ///< Of the whole snapshot in bytes.
    std::uint64_t offset = 0;
    std::string bytes;
};

/** A response of the sync protocol. */
struct sync_response
{
    std::uint64_t nonce = 0;
    instance_id sender;
    std::variant<notes_response, snapshot_response> body;
};

/** Encodes, signs, verifies and decodes sync messages under the deployment key. */
class sync_codec
{
public:
    explicit sync_codec(std::span<const std::byte> deploymentKey);

    /** Fails with LimitExceeded above MaxSyncMessageSize. */
    result<std::vector<std::byte>> seal(const sync_request &request) const;
    result<std::vector<std::byte>> seal(const sync_response &response) const;

    /**
     * Verifies, then decodes. Fails with LimitExceeded if oversized, Unauthenticated if forged and
     * InvalidInput if malformed or of another protocol version.
     */
    result<sync_request> openRequest(std::span<const std::byte> bytes) const;
    result<sync_response> openResponse(std::span<const std::byte> bytes) const;

private:
    message_authenticator m_requests;
    message_authenticator m_responses;
};

template <class Archive>
void serialize(Archive &archive, notes_request &request)
{
    archive(request.after, request.offset);
}

template <class Archive>
void serialize(Archive &archive, snapshot_request &request)
{
    archive(request.number, request.offset);
}

template <class Archive>
void serialize(Archive &archive, sync_request &request)
{
    archive(request.nonce, request.sender, request.recipient, request.body);
}

template <class Archive>
void serialize(Archive &archive, note_part &part)
{
    archive(part.number, part.digest, part.size, part.text);
}

template <class Archive>
void serialize(Archive &archive, notes_response &response)
{
    archive(response.head, response.previous, response.needsSnapshot, response.notes);
}

template <class Archive>
void serialize(Archive &archive, snapshot_response &response)
{
    archive(response.number, response.digest, response.size, response.offset, response.bytes);
}

template <class Archive>
void serialize(Archive &archive, sync_response &response)
{
    archive(response.nonce, response.sender, response.body);
}

} // namespace ebonyway
