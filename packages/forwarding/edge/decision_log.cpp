#include "forwarding/edge/decision_log.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace ebonyway {

std::string flowText(const flow_id &flow)
{
    return flow.caller.toString() + ">" + flow.service.toString();
}

std::string serverText(server_key server)
{
    char text[20] = {};
    std::snprintf(text, sizeof(text), "%llx", static_cast<unsigned long long>(server.value));
    return text;
}

std::string tokenText(flow_token token)
{
    char text[12] = {};
    std::snprintf(text, sizeof(text), "%08x", token.value);
    return text;
}

namespace {

std::int64_t millisOf(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

const char *eventName(admission_change::phase state)
{
    switch (state) {
    case admission_change::phase::Started:
        return "load_shedding_started";
    case admission_change::phase::Continues:
        return "load_shedding_continues";
    case admission_change::phase::Ended:
        return "load_shedding_ended";
    }
    return "load_shedding_ended";
}

} // namespace

decision_log::decision_log(event_log &log, forwarding_counters &counters, metrics_registry &metrics)
    : m_log(log)
    , m_counters(counters)
    , m_metrics(metrics)
{ }

void decision_log::onPlacement(const placement_record &record)
{
    ++m_counters.placements[static_cast<std::size_t>(record.tier)];
    m_log.write({log_level::Info,
                 "flow_offered",
                 {{"flow", flowText(record.flow)},
                  {"service", record.service},
                  {"backend_server", serverText(record.server)},
                  {"address", record.address.toString()},
                  {"token", tokenText(record.token)},
                  {"tier", std::string(placementTierName(record.tier))},
                  {"load", record.load},
                  {"wait_ms", millisOf(record.wait)},
                  {"candidates", std::uint64_t{record.candidates}},
                  {"copy", std::uint64_t{record.copy}},
                  {"directory", record.directorySerial},
                  {"desired_version", record.desiredVersion}}});
}

void decision_log::onRefusal(const refusal_record &record)
{
    auto &counters = record.reset ? m_counters.resets : m_counters.drops;
    ++counters[static_cast<std::size_t>(record.reason)];
    m_log.write({log_level::Info,
                 record.reset ? "flow_reset" : "packet_dropped",
                 {{"flow", flowText(record.flow)},
                  {"reason", std::string(forwardingRefusalName(record.reason))},
                  {"opening", record.opening},
                  {"token", tokenText(record.token)},
                  {"directory", record.directorySerial},
                  {"desired_version", record.desiredVersion}}});
}

void decision_log::onTrustChange(const trust_change &change)
{
    ++m_counters.serverVerdicts;
    m_log.write({log_level::Warn,
                 change.setAside ? "backend_server_set_aside" : "backend_server_answers_again",
                 {{"backend_server", serverText(change.server)},
                  {"silences", std::uint64_t{change.silences}},
                  {"suspicions", std::uint64_t{change.suspicions}}}});
}

void decision_log::onPaceChange(const pace_change &change)
{
    m_log.write({log_level::Info,
                 "backend_server_pace",
                 {{"backend_server", serverText(change.server)},
                  {"share", change.share},
                  {"since_ms", millisOf(change.since)}}});
}

void decision_log::onAdmissionChange(const std::string &service, const admission_change &change)
{
    m_log.write({log_level::Warn,
                 eventName(change.state),
                 {{"service", service},
                  {"demand_slots", change.demand},
                  {"open_flow_demand_slots", change.openFlowDemand},
                  {"slots", change.slots},
                  {"pressure", change.pressure},
                  {"capacity_factor", change.capacityFactor},
                  {"least_admitted_share", change.leastShare}}});
}

void decision_log::onServiceLoads(const std::vector<service_load_figures> &loads)
{
    std::vector<metric_sample> gauges;
    for (const service_load_figures &one : loads) {
        const std::vector<metric_label> labels{{"service", one.service}};
        gauges.push_back({"service_slots", labels, one.slots});
        gauges.push_back({"service_demand_slots", labels, one.demand});
        gauges.push_back({"service_pressure", labels, one.pressure});
        gauges.push_back({"service_own_domain_share", labels, one.ownDomainShare});
        gauges.push_back({"service_least_admitted_share", labels, one.leastAdmitted});
    }
    m_counters.setGauges(std::move(gauges));
}

void decision_log::onOpened(const flow_id &, server_key, duration after)
{
    ++m_counters.openedFlows;
    m_metrics.observe("flow_open_seconds", std::chrono::duration<double>(after).count());
}

} // namespace ebonyway
