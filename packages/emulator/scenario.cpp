#include "emulator/scenario.h"

#include "core/settings_reader.h"

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds LongestDay = 1h;
constexpr std::uint64_t MostInstancesPerDomain = 1'000;
constexpr std::uint64_t MostServers = 10'000;
constexpr std::uint64_t MostRate = 100'000; // per second
constexpr std::uint64_t MostBytes = 10'000'000;
constexpr std::uint64_t MostSteps = 10'000;
constexpr std::uint64_t MostCallersPerDomain = 100'000;
constexpr double MostSpread = 5;

constexpr std::uint32_t PublicNetwork = 0xc6120000; // 198.18.0.0
constexpr std::uint16_t PublicPort = 8'443;

std::uint32_t count(settings_reader &reader, const std::string &key, std::uint64_t most,
                    std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integerOr(key, 0, most, fallback));
}

scenario_service readService(settings_reader &reader)
{
    scenario_service service;
    service.name = reader.text("name");
    service.servers = count(reader, "servers", MostServers, service.servers);
    service.slots = count(reader, "slots", MostServers, service.slots);
    service.maxConnections = count(reader, "maxConnections", MostRate, service.maxConnections);
    service.work = reader.durationOr("work", 1ms, 1min, service.work);
    service.workSpread = reader.numberOr("workSpread", 0, MostSpread, service.workSpread);
    service.coldTime = reader.durationOr("coldTime", 0ms, LongestDay, service.coldTime);
    service.coldRate = count(reader, "coldRate", MostRate, service.coldRate);
    return service;
}

traffic_kind readTraffic(settings_reader &reader)
{
    traffic_kind kind;
    kind.name = reader.text("name");
    kind.service = reader.text("service");
    kind.rate = count(reader, "rate", MostRate, kind.rate);
    kind.requestsPerFlow = count(reader, "requestsPerFlow", MostSteps, kind.requestsPerFlow);
    kind.pause = reader.durationOr("pause", 0ms, LongestDay, kind.pause);
    kind.requestBytes = count(reader, "requestBytes", MostBytes, kind.requestBytes);
    kind.work = reader.durationOr("work", 0ms, 1min, kind.work);
    kind.idempotent = reader.choice("repeatable", {"yes", "no"}, "no") == "yes";
    kind.priority = count(reader, "priority", MostSteps, kind.priority);
    kind.goal = reader.durationOr("goal", 1ms, LongestDay, kind.goal);
    kind.timeLimit = reader.durationOr("timeLimit", 1ms, LongestDay, kind.timeLimit);
    kind.retries = count(reader, "retries", MostSteps, kind.retries);
    return kind;
}

scenario_event readEvent(settings_reader &reader)
{
    scenario_event event;
    event.kind = reader.choice("kind", scenarioEventKinds(), "");
    event.at = reader.durationOr("at", 0ms, LongestDay, event.at);
    event.length = reader.durationOr("length", 0ms, LongestDay, event.length);
    event.gap = reader.durationOr("gap", 1ms, LongestDay, event.gap);
    event.count = count(reader, "count", MostServers, event.count);
    event.strength = reader.numberOr("strength", 0, MostServers, event.strength);
    if (reader.has("failureDomain")) {
        event.failureDomain = reader.text("failureDomain");
    }
    if (reader.has("traffic")) {
        event.traffic = reader.text("traffic");
    }
    return event;
}

/** Reads a list of objects with `read`, which takes a reader of one of them. */
template <typename Item>
status readList(const std::string &file, const Json::Value &root, const std::string &key,
                Item (*read)(settings_reader &), std::vector<Item> &items)
{
    const Json::Value &list = root[key];
    if (!list.isArray() && !list.isNull()) {
        return error{error_kind::InvalidInput, file + ": " + key + " is not a list",
                     "Write it as a list of objects."};
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        std::string path = key;
        path.append("[").append(std::to_string(i)).append("]");
        if (!list[i].isObject()) {
            std::string message = file;
            message.append(": ").append(path).append(" is not an object");
            return error{error_kind::InvalidInput, message, "Write it as an object in braces."};
        }
        settings_reader reader(file, path, list[i]);
        items.push_back(read(reader));
        status outcome = reader.finish();
        if (!isOk(outcome)) {
            return outcome;
        }
    }
    return std::monostate{};
}

status checkNames(const std::string &file, const scenario &plan)
{
    for (const traffic_kind &kind : plan.traffic) {
        const bool exists = std::any_of(
                plan.services.begin(), plan.services.end(),
                [&](const scenario_service &service) { return service.name == kind.service; });
        if (!exists) {
            return error{error_kind::InvalidInput,
                         file + ": traffic " + kind.name + " names the service " + kind.service
                                 + ", which does not exist",
                         "Add it to services or name another one."};
        }
    }
    for (const scenario_event &event : plan.events) {
        const bool exists = event.traffic.empty()
                            || std::any_of(plan.traffic.begin(), plan.traffic.end(),
                                           [&](const traffic_kind &kind) {
                                               return kind.name == event.traffic;
                                           });
        if (!exists) {
            return error{error_kind::InvalidInput,
                         file + ": event " + event.kind + " names the traffic " + event.traffic
                                 + ", which does not exist",
                         "Add it to traffic or name another one."};
        }
        const bool domainExists = event.failureDomain.empty()
                                  || std::find(plan.failureDomains.begin(),
                                               plan.failureDomains.end(), event.failureDomain)
                                             != plan.failureDomains.end();
        if (!domainExists) {
            return error{error_kind::InvalidInput,
                         file + ": event " + event.kind + " names the failure domain "
                                 + event.failureDomain + ", which does not exist",
                         "Name one of the first letters, as many as failureDomains says."};
        }
    }
    if (plan.traffic.empty() || plan.failureDomains.empty()) {
        return error{error_kind::InvalidInput, file + ": there is no traffic or no failure domain",
                     "Give at least one of each."};
    }
    return std::monostate{};
}

} // namespace

const std::vector<std::string> &scenarioEventKinds()
{
    static const std::vector<std::string> Kinds{
            "instance_kill", "instance_freeze", "rolling_stop",       "instance_cut",
            "store_cut",     "store_silent",    "store_busy",         "store_slow",
            "history_gone",  "server_crash",    "server_replace",     "server_reuse",
            "server_drain",  "server_slow",     "server_hang",        "domain_cut",
            "domain_loss",   "evacuation",      "route_added",        "route_removed",
            "loss",          "burst",           "all_instances_kill", "store_restored"};
    return Kinds;
}

result<scenario> readScenario(const std::string &file, const Json::Value &root)
{
    scenario plan;
    settings_reader reader(file, "", root);
    plan.instancesPerDomain =
            count(reader, "instancesPerDomain", MostInstancesPerDomain, plan.instancesPerDomain);
    plan.callersPerDomain =
            count(reader, "callersPerDomain", MostCallersPerDomain, plan.callersPerDomain);
    plan.hash = reader.choice("hash", {"modulo", "steady"}, "modulo") == "steady"
                        ? router_hash::Steady
                        : router_hash::Modulo;
    plan.length = reader.durationOr("length", 1s, LongestDay, plan.length);
    plan.settle = reader.durationOr("settle", 0ms, LongestDay, plan.settle);
    const auto domains = reader.integerOr("failureDomains", 1, 26, plan.failureDomains.size());
    plan.failureDomains.clear();
    for (std::uint64_t i = 0; i < domains; ++i) {
        plan.failureDomains.emplace_back(1, static_cast<char>('a' + i));
    }
    for (const char *key : {"services", "traffic", "events"}) {
        reader.has(key);
    }
    for (const status &outcome :
         {reader.finish(), readList(file, root, "services", readService, plan.services),
          readList(file, root, "traffic", readTraffic, plan.traffic),
          readList(file, root, "events", readEvent, plan.events), checkNames(file, plan)}) {
        if (!isOk(outcome)) {
            return errorOf(outcome);
        }
    }
    return plan;
}

endpoint trafficAddress(std::size_t traffic)
{
    return {ip_address::fromV4(PublicNetwork + static_cast<std::uint32_t>(traffic)), PublicPort};
}

} // namespace ebonyway
