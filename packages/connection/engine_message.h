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

/** Most items in one list of a record; longer lists are split. */
constexpr std::size_t RecordListLimit = 120;

/** The home announces a mark of its slot. */
struct mark_record
{
    slot_id slot;
    slot_mark mark;
};

/** Why a home sends the state of a slot. */
enum class state_purpose : std::uint8_t {
    Copy, ///< For the backup.
    Grant, ///< The receiver is the home from now on; all flows were sent before.
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

/** Ends of copied flows, named by the upper half of their hashes. */
struct flow_end_record
{
    service_id service;
    std::vector<std::uint32_t> tags;
};

/** The new home of a slot asks the former one for its state. */
struct handover_request
{
    slot_id slot;
};

/** Answers handover_request: there is no state to hand over. */
struct handover_none
{
    slot_id slot;
};

/** A home asks for the UDP flows seen in its slots, once the receiver has adopted the note. */
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

/** All flows of the slots have been reported. */
struct udp_report_end
{
    service_id service;
    std::vector<std::uint16_t> slots;
};

/** An instance that joins, woke up or was cut off asks for all marks. */
struct mark_sync_request
{
    std::uint32_t nonce = 0;
};

/** Base of the marks of a service, see slot_marks. */
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
    bool synchronised = false; ///< Whether the sender itself knows all marks.
};

/** Tells a joining instance that it holds the flows of all slots that the sender will hand over. */
struct stream_end
{
    bool operator==(const stream_end &) const = default;
};

using engine_record =
        std::variant<mark_record, state_record, flow_record, flow_end_record, handover_request,
                     handover_none, udp_request, udp_report, udp_report_end, mark_sync_request,
                     sync_base, sync_end, stream_end>;

/** Header of each datagram between engines. */
struct frame_header
{
    std::uint8_t version = 1;
    std::uint32_t session = 0; ///< The sender's current life; grows with each restart.
    std::uint32_t peerSession = 0; ///< The receiver's life that the sender knows; 0 if unknown.
    std::uint32_t sequence = 0; ///< 0 if the frame carries no records.
    std::uint32_t acknowledged = 0; ///< Last frame received in order.

    bool operator==(const frame_header &) const = default;
};

/** Size limit of a whole frame, which leaves room for authentication in a 1,200-byte message. */
constexpr std::size_t FrameSizeLimit = 1100;

/** Serialises one record. The result is at most FrameSizeLimit - 20 bytes long. */
std::string encodeRecord(const engine_record &record);

/** Joins a header and serialised records to a frame. */
std::vector<std::byte> encodeFrame(const frame_header &header, const std::string &records);

struct engine_frame
{
    frame_header header;
    std::vector<engine_record> records;
};

/** Decodes a frame from a peer. Returns nothing for anything malformed; safe for any bytes. */
std::optional<engine_frame> decodeFrame(std::span<const std::byte> bytes);

} // namespace ebonyway
