#include "standins/platform_control.h"

#include "standins/platform_model.h"

#include <json/json.h>

#include <array>
#include <utility>

namespace ebonyway::standins {

namespace {

constexpr std::array<std::pair<outage_kind, const char *>, 4> OutageNames{{
        {outage_kind::None, "none"},
        {outage_kind::Unavailable, "unavailable"},
        {outage_kind::Timeout, "timeout"},
        {outage_kind::Refused, "refused"},
}};

error invalidKey(const std::string &key, const std::string &remedy)
{
    return {error_kind::InvalidInput, "'" + key + "' has a wrong type or value", remedy};
}

status applyOutage(platform_faults &faults, const Json::Value &value)
{
    for (const auto &[kind, name] : OutageNames) {
        if (value == Json::Value(name)) {
            faults.outage = kind;
            return std::monostate{};
        }
    }
    return invalidKey("outage", "Use none, unavailable, timeout or refused.");
}

status applyInstances(platform_model &platform, const Json::Value &list, time_point now)
{
    std::vector<listed_instance> instances;
    for (const Json::Value &entry : list) {
        const bool valid = entry.isObject() && entry["id"].isUInt() && entry["gossip"].isString()
                           && entry["failure_domain"].isString()
                           && (entry["state"] == Json::Value("live")
                               || entry["state"] == Json::Value("leaving"));
        if (!valid) {
            return invalidKey("instances", "Write id, state, failure_domain and gossip.");
        }
        instances.push_back({entry["id"].asUInt(), entry["state"].asString(),
                             entry["failure_domain"].asString(), entry["gossip"].asString()});
    }
    platform.setInstances(std::move(instances), now);
    return std::monostate{};
}

status applyCopy(platform_model &platform, const Json::Value &value)
{
    if (value == Json::Value("keep")) {
        platform.keepCopy();
        return std::monostate{};
    }
    if (value == Json::Value("restore")) {
        platform.restoreCopy();
        return std::monostate{};
    }
    return invalidKey("copy", "Use keep or restore.");
}

status applyFault(platform_faults &faults, const std::string &key, const Json::Value &value)
{
    if (key == "outage") {
        return applyOutage(faults, value);
    }
    if (key == "stale_read_ratio" && value.isNumeric() && value.asDouble() >= 0
        && value.asDouble() <= 1) {
        faults.staleReadRatio = value.asDouble();
    } else if (key == "latency_ms" && value.isUInt()) {
        faults.latency = std::chrono::milliseconds(value.asUInt());
    } else if (key == "lose_responses" && value.isUInt()) {
        faults.loseResponses = value.asUInt();
    } else if (key == "stale_revisions" && value.isUInt()) {
        faults.staleRevisions = value.asUInt();
    } else if (key == "instances_lag_ms" && value.isUInt()) {
        faults.instancesLag = std::chrono::milliseconds(value.asUInt());
    } else {
        return invalidKey(key, "Use latency_ms, outage, lose_responses, stale_read_ratio, "
                               "stale_revisions, instances_lag_ms, instances and copy.");
    }
    return std::monostate{};
}

std::int64_t milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace

status applyPlatformControl(platform_model &platform, const Json::Value &body, time_point now)
{
    if (!body.isObject()) {
        return invalidKey("body", "Write a JSON object.");
    }
    platform_faults faults = platform.faults();
    for (const std::string &key : body.getMemberNames()) {
        status applied = key == "instances" ? applyInstances(platform, body[key], now)
                         : key == "copy"    ? applyCopy(platform, body[key])
                                            : applyFault(faults, key, body[key]);
        if (!isOk(applied)) {
            return applied;
        }
    }
    platform.setFaults(faults);
    return std::monostate{};
}

Json::Value platformCounters(const platform_model &platform)
{
    const call_counters &counted = platform.calls();
    const platform_faults &faults = platform.faults();
    Json::Value value;
    value["calls"]["get"] = Json::UInt64(counted.get);
    value["calls"]["put"] = Json::UInt64(counted.put);
    value["calls"]["list"] = Json::UInt64(counted.list);
    value["calls"]["watch"] = Json::UInt64(counted.watch);
    value["calls"]["instances"] = Json::UInt64(counted.instances);
    value["calls"]["other"] = Json::UInt64(counted.other);
    value["calls"]["total"] = Json::UInt64(counted.total());
    value["calls"]["failed"] = Json::UInt64(counted.failed);
    value["waiting_watches"] = Json::UInt64(platform.waitingWatches());
    value["revision"] = Json::UInt64(platform.store().revision());
    value["era"] = Json::UInt64(platform.store().era());
    value["latency_ms"] = Json::Int64(milliseconds(faults.latency));
    value["lose_responses"] = faults.loseResponses;
    for (const auto &[kind, name] : OutageNames) {
        if (kind == faults.outage) {
            value["outage"] = name;
        }
    }
    return value;
}

} // namespace ebonyway::standins
