#include "standins/caller_report.h"

#include "standins/caller_model.h"

#include <algorithm>

namespace ebonyway::standins {

namespace {

Json::Value toJson(const flow_counters &counted)
{
    Json::Value value;
    value["started"] = Json::UInt64(counted.started);
    value["opened"] = Json::UInt64(counted.opened);
    value["answered"] = Json::UInt64(counted.answered);
    value["refused"] = Json::UInt64(counted.refused);
    value["unreachable"] = Json::UInt64(counted.unreachable);
    value["broken"] = Json::UInt64(counted.broken());
    value["broken_by_reset"] = Json::UInt64(counted.brokenByReset);
    value["broken_by_icmp"] = Json::UInt64(counted.brokenByIcmp);
    value["broken_by_timeout"] = Json::UInt64(counted.brokenByTimeout);
    value["failed"] = Json::UInt64(counted.failed);
    value["misdelivered"] = Json::UInt64(counted.misdelivered);
    return value;
}

Json::Value toJson(const std::map<std::string, server_share> &shares)
{
    Json::Value value(Json::objectValue);
    for (const auto &[server, share] : shares) {
        value[server]["flows"] = Json::UInt64(share.flows);
        value[server]["long_open"] = Json::UInt64(share.longFlowsOpen);
    }
    return value;
}

} // namespace

Json::Value callerSummary(const caller_model &callers)
{
    Json::Value value = toJson(callers.total());
    value["open"] = Json::UInt64(callers.openFlows());
    value["stray_packets"] = Json::UInt64(callers.strayPackets());
    for (const auto &[service, counted] : callers.counters()) {
        value["services"][service] = toJson(counted);
    }
    for (const auto &[service, shares] : callers.spread()) {
        value["spread"][service] = toJson(shares);
    }
    return value;
}

Json::Value callerEventFields(const caller_event &event)
{
    Json::Value value;
    value["event"] = event.what;
    value["flow"] = Json::UInt64(event.flow);
    value["caller"] = endpoint{event.key.caller, event.key.callerPort}.toString();
    value["service"] = endpoint{event.key.service, event.key.servicePort}.toString();
    value["detail"] = event.detail;
    return value;
}

} // namespace ebonyway::standins
