#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>

namespace ebonyway {

struct intent;

/** Whether and where a new flow may be started. */
enum class admission : std::uint8_t {
    Admit, ///< Start the flow at the proposed backend server.
    TryNext, ///< This backend server has no room; propose another one.
};

/** Health of a backend server as one instance judges it from probes, reports and traffic. */
enum class backend_health : std::uint8_t {
    Healthy,
    Cold, ///< Started recently or turned cold; takes a limited share.
    Overloaded, ///< At a hard limit or shedding load.
    Dead, ///< Answers neither probes nor traffic.
};

/** What passing packets prove about a backend server. */
enum class flow_evidence : std::uint8_t {
    Answered, ///< The first answer of an offered flow passed.
    Retransmitted, ///< The first packet of an offered flow arrived again without an answer.
    Reset, ///< The backend server ended a flow with RST before any other answer.
};

/** One answer of a backend server's health and load endpoint; it may lag or mislead. */
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
 * Decides what each backend server can bear. A home instance consults it for the first packet of
 * every flow in a slot that it owns. Implementations are pure.
 */
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /** Learns backend servers and limits of the intent in force. */
    virtual void adoptIntent(const intent &current, time_point now) = 0;

    /**
     * Sets which share of a backend server's new flows this instance decides: its homes among the
     * slots that target the backend server, in [0, 1]. The shares of all instances add up to 1.
     */
    virtual void setHomeShare(backend_server_id backendServer, double share, time_point now) = 0;

    /** Decides whether a new flow may start at the backend server, and counts it if admitted. */
    virtual admission admitFlow(backend_server_id backendServer, time_point now) = 0;

    /** Returns whether new flows for the backend server may have to go elsewhere. */
    virtual bool needsDeviation(backend_server_id backendServer, time_point now) const = 0;

    virtual backend_health health(backend_server_id backendServer, time_point now) const = 0;

    virtual void onEvidence(backend_server_id backendServer, flow_evidence evidence,
                            time_point now) = 0;
    virtual void onLoadReport(const load_report &report, time_point now) = 0;

    /** Tells that a flow admitted here has ended. */
    virtual void onFlowEnded(backend_server_id backendServer, time_point now) = 0;
};

} // namespace ebonyway
