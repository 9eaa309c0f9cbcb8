#pragma once

#include "forwarding/connection/forwarder.h"
#include "forwarding/edge/forwarding_counters.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <string>
#include <vector>

namespace ebonyway {

/** Logs and counts the forwarder's decisions about flows and backend servers. */
class decision_log : public forwarding_observer
{
public:
    decision_log(event_log &log, forwarding_counters &counters, metrics_registry &metrics);

    void onPlacement(const placement_record &record) override;
    void onRefusal(const refusal_record &record) override;
    void onTrustChange(const trust_change &change) override;
    void onPaceChange(const pace_change &change) override;
    void onAdmissionChange(const std::string &service, const admission_change &change) override;
    void onOpened(const flow_id &flow, server_key server, duration after) override;

    /** Replaces the gauges of the services' load. */
    void onServiceLoads(const std::vector<service_load_figures> &loads);

private:
    event_log &m_log;
    forwarding_counters &m_counters;
    metrics_registry &m_metrics;
};

/** Returns the flow id that logs use: "caller>service". */
std::string flowText(const flow_id &flow);

/** Returns a backend server's key in hexadecimal, as in its id. */
std::string serverText(server_key server);

/** Returns a token as eight hexadecimal digits. */
std::string tokenText(flow_token token);

} // namespace ebonyway
