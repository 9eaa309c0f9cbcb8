#include "process/edge/status_pages.h"

#include "core/json_text.h"
#include "process/control_core.h"
#include "process/edge/home_worker.h"
#include "process/edge/traffic_counters.h"
#include "process/settings.h"
#include "telemetry/metrics.h"
#include "version/release_note.h"
#include "version/route_plan.h"

#include <json/value.h>

namespace ebonyway {

namespace {

/** Returns the name that the member announces; the intent may not be known yet. */
std::string domainName(const instance_summary &summary, instance_id id)
{
    const member_profile *profile = summary.core.profileOf(id);
    return profile ? profile->failureDomain : "";
}

Json::Value membersJson(const instance_summary &summary)
{
    Json::Value members(Json::arrayValue);
    for (const member &known : summary.view.members) {
        Json::Value item;
        item["instance"] = known.id.value;
        item["failure_domain"] = domainName(summary, known.id);
        item["state"] = memberStateName(known.state);
        item["note"] = Json::UInt64(known.adoptedNote.value);
        members.append(item);
    }
    return members;
}

Json::Value slotsJson(const instance_summary &summary)
{
    Json::Value services(Json::arrayValue);
    for (const service_slot_status &slots : summary.engine.slots) {
        const service *found = findService(summary.plan.currentIntent(), slots.service);
        Json::Value item;
        item["service"] = found ? found->name : "";
        item["slots"] = slots.slots;
        item["unsettled"] = slots.unsettled;
        item["open_homes"] = slots.openHomes;
        services.append(item);
    }
    return services;
}

Json::Value serversJson(const instance_summary &summary)
{
    Json::Value servers(Json::arrayValue);
    for (const server_flow_status &flows : summary.engine.serverFlows) {
        const backend_server *found =
                findBackendServer(summary.plan.currentIntent(), flows.backendServer);
        const auto drainingFor =
                std::chrono::duration_cast<std::chrono::seconds>(summary.now - flows.drainingSince);
        Json::Value item;
        item["backend_server"] = found ? found->name : "";
        item["tracked_flows"] = flows.flows;
        item["draining"] = flows.draining;
        if (flows.draining) {
            item["draining_seconds"] = Json::Int64(drainingFor.count());
        }
        servers.append(item);
    }
    return servers;
}

void appendControlCounters(std::vector<metric_sample> &samples, const control_counters &counters)
{
    const auto add = [&samples](const char *name, std::uint64_t value) {
        samples.push_back({name, {}, static_cast<double>(value)});
    };
    add("control_datagrams_sent", counters.datagramsSent);
    add("control_bytes_sent", counters.datagramBytesSent);
    add("control_datagrams_received", counters.datagramsReceived);
    add("control_bytes_received", counters.datagramBytesReceived);
    add("platform_calls", counters.platformCalls);
    add("sync_requests", counters.syncRequests);
    for (std::size_t i = 0; i < DatagramFaultCount; ++i) {
        const std::string reason = datagramFaultName(static_cast<datagram_fault>(i));
        samples.push_back({"control_datagrams_dropped",
                           {{"reason", reason}},
                           static_cast<double>(counters.faults[i])});
    }
}

} // namespace

std::string renderStatusPage(const instance_summary &summary)
{
    const intent &current = summary.plan.currentIntent();
    Json::Value page;
    page["instance"] = summary.options.instance.value;
    page["failure_domain"] = summary.options.failureDomain;
    page["note"] = Json::UInt64(current.number.value);
    page["digest"] = digestText(current.digest);
    page["fresh"] = summary.core.isFresh();
    page["synchronised"] = summary.engine.synchronised;
    page["tracked_flows"] = Json::UInt64(summary.engine.trackedFlows);
    page["engine_bytes"] = Json::UInt64(summary.engine.memoryBytes);
    page["members"] = membersJson(summary);
    page["services"] = slotsJson(summary);
    page["backend_servers"] = serversJson(summary);
    page["problem"] = healthProblem(summary);
    return compactJson(page) + "\n";
}

std::string renderMetricsPage(const instance_summary &summary)
{
    std::vector<metric_sample> samples = summary.metrics.samples();
    appendControlCounters(samples, summary.core.counters());
    const auto note = static_cast<double>(summary.plan.currentIntent().number.value);
    samples.push_back({"note_number", {}, note});
    samples.push_back({"tracked_flows", {}, static_cast<double>(summary.engine.trackedFlows)});
    for (std::size_t i = 0; i < summary.counters.size(); ++i) {
        summary.counters[i]->appendTo(samples, std::to_string(i));
    }
    return renderPrometheus(samples);
}

std::string healthProblem(const instance_summary &summary)
{
    const std::optional<std::string> noSource = summary.core.noSourceReason();
    if (noSource) {
        return "no release note in force: " + *noSource
               + ". Accept a release note, or check the platform and seeds in the settings.";
    }
    if (summary.plan.currentIntent().number.value == 0) {
        return "no release note in force yet. Wait, or check /status of other instances.";
    }
    if (!summary.engine.synchronised) {
        return "not synchronised with other instances yet. Wait some seconds.";
    }
    return {};
}

} // namespace ebonyway
