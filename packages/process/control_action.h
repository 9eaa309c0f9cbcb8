#pragma once

#include "connection/admission_policy.h"
#include "connection/cluster_view.h"
#include "core/ip_address.h"
#include "core/time.h"
#include "process/log_event.h"
#include "process/platform_request.h"
#include "version/intent.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/** Send the bytes as one UDP datagram from the gossip port. */
struct send_datagram
{
    endpoint to;
    std::vector<std::byte> bytes;
};

/**
 * Open a TCP connection to a peer's sync port, send the request as one frame and read one frame.
 * Pass the answer, or the error, to control_core::onSyncResponse with the id.
 */
struct send_sync_request
{
    std::uint64_t id = 0;
    instance_id peer;
    endpoint to;
    std::vector<std::byte> bytes;
    time_point deadline;
};

/** Call the platform. Pass the answer to control_core::onPlatformResult with the id. */
struct call_platform
{
    std::uint64_t id = 0;
    platform_request request;
    time_point deadline; ///< Report Unavailable (OutcomeUnknown for writes) when it has passed.
};

/** Fold the next release note into the intent. Its digest chain has been verified. */
struct adopt_note
{
    note_number number;
    note_digest digest{};
    std::string text;
};

/** Start from a snapshot: replaces an older intent. */
struct adopt_snapshot
{
    note_number number;
    note_digest digest{};
    std::string bytes;
};

/** Replace the view that the routing layer uses. */
struct publish_view
{
    cluster_view view;
};

/** Pass the bytes of a peer's flow engine to this instance's flow engine. */
struct deliver_engine_message
{
    instance_id from;
    std::vector<std::byte> bytes;
};

/** Pass a load report that another instance has probed to the admission policy. */
struct deliver_load_report
{
    load_report report;
};

/** Probe exactly these backend servers from now on. */
struct set_probe_targets
{
    std::vector<backend_server_id> backendServers; ///< Ordered by id.
};

/** What the process edge has to do for the control core. */
using control_action = std::variant<send_datagram, send_sync_request, call_platform, adopt_note,
                                    adopt_snapshot, publish_view, deliver_engine_message,
                                    deliver_load_report, set_probe_targets, log_event>;

} // namespace ebonyway
