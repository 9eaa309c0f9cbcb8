#pragma once

#include "connection/cluster_view.h"
#include "connection/slot_home.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/** Maximum number of items in a list of a record; longer lists are split into several records. */
constexpr std::size_t RecordListLimit = 120;

/** Announces a mark of a slot; sent by the slot's home. */
struct mark_record
{
    slot_id slot;
    slot_mark mark;
};

/** Why a home sends the state of a slot. */
enum class state_purpose : std::uint8_t {
    Copy, ///< Copy for the backup or for an instance that is to become the home.
    Grant, ///< Makes the receiver the home; all tracked flows have been sent before.
};

struct state_record
{
    state_purpose purpose = state_purpose::Copy;
    slot_state state;
};

/** Copies of tracked flows; the slot follows from the flow hash. */
struct flow_record
{
    service_id service;
    backend_server_id backendServer;
    std::vector<flow_hash> flows;
};

/** Copied flows that have ended, identified by the upper half of their hashes. */
struct flow_end_record
{
    service_id service;
    std::vector<std::uint32_t> tags;
};

/** Request of a slot's new home to the former one for the slot's state. */
struct handover_request
{
    slot_id slot;
};

/** Answer to handover_request: the former home has no state of the slot. */
struct handover_declined
{
    slot_id slot;
};

/** Request of a home for the UDP flows seen in its slots. Answered once the note is adopted. */
struct udp_request
{
    note_number note;
    service_id service;
    std::vector<std::uint16_t> slots;
};

struct udp_report
{
    service_id service;
    std::vector<flow_hash> flows;
};

/** Ends a UDP report: all flows of the slots have been reported. */
struct udp_report_end
{
    service_id service;
    std::vector<std::uint16_t> slots;
};

/** Request for all marks, sent by an instance that joins, resumes after a pause or was cut off. */
struct mark_sync_request
{
    std::uint32_t nonce = 0;
};

/**
 * Announces the note since which the slots of the service without a mark of their own are settled.
 */
struct sync_base
{
    service_id service;
    note_number base;
};

/** Ends the answer to a mark_sync_request; the marks were sent before. */
struct sync_end
{
    std::uint32_t nonce = 0;
    note_number note; ///< The sender's note.
    member_state seenAs = member_state::Joining; ///< The receiver's state in the sender's view.
    bool synchronised = false; ///< Whether the sender has all marks itself.
};

/** Tells a joining instance that the flows of all slots it will get from the sender were sent. */
struct stream_end
{
    bool operator==(const stream_end &) const = default;
};

using engine_record =
        std::variant<mark_record, state_record, flow_record, flow_end_record, handover_request,
                     handover_declined, udp_request, udp_report, udp_report_end, mark_sync_request,
                     sync_base, sync_end, stream_end>;

/** Header of each datagram between engines. */
struct frame_header
{
    std::uint8_t version = 1;
    std::uint32_t session = 0; ///< The sender's session; increases with each restart.
    std::uint32_t peerSession = 0; ///< The receiver's session as known to the sender; 0 if unknown.
    std::uint32_t sequence = 0; ///< 0 if the frame carries no records.
    std::uint32_t acknowledged = 0; ///< Sequence of the last frame received in order.

    bool operator==(const frame_header &) const = default;
};

/** Maximum size of a frame; leaves room for authentication in a 1,200-byte message. */
constexpr std::size_t FrameSizeLimit = 1100;

/** Serialises one record. The result is at most FrameSizeLimit - 20 bytes long. */
std::string encodeRecord(const engine_record &record);

/** Builds a frame from a header and serialised records. */
std::vector<std::byte> encodeFrame(const frame_header &header, const std::string &records);

struct engine_frame
{
    frame_header header;
    std::vector<engine_record> records;
};

/** Decodes a frame from a peer. Returns nothing if it is malformed; safe for untrusted input. */
std::optional<engine_frame> decodeFrame(std::span<const std::byte> bytes);

} // namespace ebonyway
