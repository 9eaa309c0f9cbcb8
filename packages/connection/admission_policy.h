#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>

namespace ebonyway {

struct intent;

/** Result of an admission decision for a new flow. */
enum class admission : std::uint8_t {
    Admit, ///< Start the flow on the proposed backend server.
    TryNext, ///< The proposed backend server is at a limit; propose another one.
};

/** Health of a backend server as one instance infers it from probes, load reports and traffic. */
enum class backend_health : std::uint8_t {
    Healthy,
    Cold, ///< Recently added, restarted or failing; gets a limited share of new flows.
    Overloaded, ///< At a hard limit or shedding load.
    Dead, ///< Answers neither probes nor traffic.
};

/** Passive health signal, taken from packets that pass through this instance. */
enum class flow_evidence : std::uint8_t {
    Answered, ///< The first answer of an offered flow passed.
    Retransmitted, ///< The first packet of an offered flow arrived again without an answer.
    Reset, ///< The backend server reset a flow before sending any other answer.
};

/** One response of a backend server's health and load endpoint; may be stale or wrong. */
struct load_report
{
    backend_server_id backendServer;
    bool reachable = false;
    bool ready = false;
    std::uint32_t openConnections = 0;
    std::uint32_t busySlots = 0;
    std::uint64_t startCount = 0; ///< Changes when the backend server restarts; 0 if not reported.
};

/**
 * Decides whether a backend server can take another flow. The home instance of a slot calls it for
 * the first packet of every flow in that slot. Implementations do no I/O and read no clock.
 */
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /** Updates the backend servers and their limits from the intent in force. */
    virtual void adoptIntent(const intent &current, time_point now) = 0;

    /**
     * Sets the share of a backend server's new flows that this instance decides: the fraction, in
     * [0, 1], of the slots targeting the backend server for which this instance is the home. The
     * shares of all instances add up to 1.
     */
    virtual void setHomeShare(backend_server_id backendServer, double share, time_point now) = 0;

    /** Decides whether a new flow may start at the backend server, and counts it if admitted. */
    virtual admission admitFlow(backend_server_id backendServer, time_point now) = 0;

    /**
     * Returns whether the backend server may be unable to take all of its new flows, so that some
     * must go to other backend servers.
     */
    virtual bool needsDeviation(backend_server_id backendServer, time_point now) const = 0;

    virtual backend_health health(backend_server_id backendServer, time_point now) const = 0;

    virtual void onEvidence(backend_server_id backendServer, flow_evidence evidence,
                            time_point now) = 0;
    virtual void onLoadReport(const load_report &report, time_point now) = 0;

    /** Called when a flow that this instance admitted has ended. */
    virtual void onFlowEnded(backend_server_id backendServer, time_point now) = 0;
};

} // namespace ebonyway
