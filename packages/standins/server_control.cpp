#include "standins/server_control.h"

#include "standins/backend_server_model.h"

#include <json/json.h>

#include <utility>

namespace ebonyway::standins {

namespace {

error invalidBody(const std::string &key, const std::string &remedy)
{
    return {error_kind::InvalidInput, "'" + key + "' has a wrong type or is not known", remedy};
}

const std::string KeysRemedy = "Use draining, silent, turn_cold, crash, health_lag_ms, "
                               "health_lie and answer_endpoints.";

status applyLie(backend_server_model &server, const Json::Value &body)
{
    if (!body.isObject()) {
        return invalidBody("health_lie", "Write an object with the keys of /health.");
    }
    health_lie lie;
    for (const std::string &key : body.getMemberNames()) {
        const Json::Value &value = body[key];
        if (key == "ready" && value.isBool()) {
            lie.ready = value.asBool();
        } else if (key == "open_connections" && value.isUInt()) {
            lie.openConnections = value.asUInt();
        } else if (key == "busy_slots" && value.isUInt()) {
            lie.busySlots = value.asUInt();
        } else if (key == "start_count" && value.isUInt64()) {
            lie.startCount = value.asUInt64();
        } else {
            return invalidBody("health_lie." + key, "Use the keys and types of /health.");
        }
    }
    server.setHealthLie(lie);
    return std::monostate{};
}

status applyEndpoints(backend_server_model &server, const Json::Value &body)
{
    std::vector<endpoint> endpoints;
    for (const Json::Value &entry : body) {
        const result<endpoint> parsed = endpoint::parse(entry.isString() ? entry.asString() : "");
        if (!isOk(parsed)) {
            return errorOf(parsed);
        }
        endpoints.push_back(valueOf(parsed));
    }
    server.setAnswerEndpoints(std::move(endpoints));
    return std::monostate{};
}

status applyKey(backend_server_model &server, const std::string &key, const Json::Value &value,
                time_point now)
{
    if (key == "health_lie") {
        return applyLie(server, value);
    }
    if (key == "answer_endpoints" && value.isArray()) {
        return applyEndpoints(server, value);
    }
    if (key == "draining" && value.isBool()) {
        server.setDraining(value.asBool());
    } else if (key == "silent" && value.isBool()) {
        server.setSilent(value.asBool());
    } else if (key == "turn_cold" && value.isBool()) {
        server.turnCold();
    } else if (key == "crash" && value.isBool()) {
        server.crash(now);
    } else if (key == "health_lag_ms" && value.isUInt()) {
        server.setHealthLag(std::chrono::milliseconds(value.asUInt()));
    } else {
        return invalidBody(key, KeysRemedy);
    }
    return std::monostate{};
}

} // namespace

status applyServerControl(backend_server_model &server, const Json::Value &body, time_point now)
{
    if (!body.isObject()) {
        return invalidBody("body", KeysRemedy);
    }
    for (const std::string &key : body.getMemberNames()) {
        status applied = applyKey(server, key, body[key], now);
        if (!isOk(applied)) {
            return applied;
        }
    }
    return std::monostate{};
}

Json::Value healthBody(const health_report &report)
{
    Json::Value body;
    body["ready"] = report.ready;
    body["open_connections"] = report.openConnections;
    body["busy_slots"] = report.busySlots;
    body["start_count"] = Json::UInt64(report.startCount);
    return body;
}

Json::Value serverCounters(const backend_server_model &server)
{
    const backend_server_counters &counted = server.counters();
    Json::Value value;
    value["open_connections"] = server.openConnections();
    value["flows_accepted"] = Json::UInt64(counted.flowsAccepted);
    value["flows_refused"] = Json::UInt64(counted.flowsRefused);
    value["flows_aborted"] = Json::UInt64(counted.abortedFlows);
    value["requests_answered"] = Json::UInt64(counted.requestsAnswered);
    value["requests_shed"] = Json::UInt64(counted.requestsShed);
    value["requests_expired"] = Json::UInt64(counted.requestsExpired);
    value["runs_cancelled"] = Json::UInt64(server.work().cancelledRuns());
    value["counted_ids"] = Json::UInt64(server.work().runs().size());
    value["counted_ids_run_twice"] = Json::UInt64(server.work().repeatedRuns());
    value["unknown_flow_resets"] = Json::UInt64(counted.unknownFlowResets);
    value["misrouted_packets"] = Json::UInt64(counted.misroutedPackets);
    value["faulty_packets"] = Json::UInt64(counted.faultyPackets);
    value["restarts"] = Json::UInt64(counted.restarts);
    value["capacity_share"] = server.work().capacityShare();
    return value;
}

} // namespace ebonyway::standins
