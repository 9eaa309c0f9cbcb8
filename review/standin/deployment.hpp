// A small deployment for one script: store, instances, servers, requesters and the record.
#pragma once

#include "instances.hpp"
#include "requesters.hpp"
#include "servers.hpp"
#include "store.hpp"

#include <cstdarg>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace review {

// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

// Bounds of the installation, from SYSTEM.md.
constexpr milliseconds ContactTime{4'000};
constexpr milliseconds DrainTime{3'000};
constexpr milliseconds EvacuateTime{5'000};
constexpr double ColdOver = 1.5;
constexpr double ColdSlack = 5;
constexpr milliseconds ServerHeartbeat{1'200};

const std::uint32_t InstanceNetwork = address("127.61.1.1");
const std::uint32_t ServerNetwork = address("127.61.2.1");
const std::uint32_t RequesterNetwork = address("127.61.3.1");
const std::uint32_t StoreAddress = address("127.61.4.1");
const std::uint32_t RouteAddress = address("127.61.5.1"); // Only a value in packet headers.
constexpr std::uint16_t RoutePort = 443;

class recorder
{
public:
    explicit recorder(const std::string &file)
        : m_file(file)
        , m_start(steady::now())
    { }

    __attribute__((format(printf, 2, 3))) void write(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%9.3f ", seconds(steady::now()));
        m_file << stamp << text << std::endl;
        std::cout << stamp << text << std::endl;
    }

    /** Writes a line to the file only. */
    void detail(const std::string &line) { m_file << line << '\n'; }

    double seconds(time_point at) const
    {
        return std::chrono::duration<double>(at - m_start).count();
    }

private:
    std::ofstream m_file;
    time_point m_start;
    std::mutex m_mutex;
};

inline bool isFree(std::uint32_t host, std::uint16_t port, int type)
{
    const int handle = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in local = socketAddress(host, port);
    const bool free =
            ::bind(handle, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0;
    ::close(handle);
    return free;
}

inline std::optional<ports> findPorts()
{
    std::mt19937 random{std::random_device{}()};
    for (int attempt = 0; attempt < 50; ++attempt) {
        const auto base = static_cast<std::uint16_t>(21'000 + random() % 9'000);
        bool free = true;
        for (std::uint16_t i = 0; i < 7; ++i) {
            for (const std::uint32_t host :
                 {InstanceNetwork, ServerNetwork, RequesterNetwork, StoreAddress}) {
                free = free && isFree(host, base + i, SOCK_DGRAM)
                       && isFree(host, base + i, SOCK_STREAM);
            }
        }
        if (free) {
            const auto port = [base](int i) { return static_cast<std::uint16_t>(base + i); };
            return ports{port(0), port(1), port(2), port(3), port(4), port(5), port(6)};
        }
    }
    return std::nullopt;
}

struct deployment_options
{
    std::string root; // The repository.
    std::string folder; // For settings and logs of the instances.
    std::vector<std::string> zones;
    std::size_t instancesPerZone = 2;
    std::size_t serversPerZone = 3;
    std::size_t extra = 0; // More instances and servers in the first zone.
    double requestsPerSecond = 120;
    std::string desiredState;
    server_options server; // Common to all servers.
    /** The last server of each zone serves this one instead, if it is set. */
    std::string otherService;
    unsigned requestsPerFlow = 1;
    milliseconds pause{0}; // Between the requests of a flow.
};

/** Everything that a script plays with. */
struct deployment
{
    deployment(const deployment_options &options, const ports &used, recorder &record)
        : options(options)
        , record(record)
        , registry(StoreAddress, used.store)
        , hosts(registry, ServerHeartbeat)
        , system(options.root, options.folder, used, StoreAddress, nodes(options),
                 options.zones.size())
        , callers(system, used.traffic, requesterOptions(options))
    {
        hosts.dataPort = used.traffic;
        for (std::size_t zone = 0; zone < options.zones.size(); ++zone) {
            for (std::size_t i = 0; i < options.serversPerZone; ++i) {
                server_options one = options.server;
                char id[32];
                std::snprintf(id, sizeof(id), "i-%02zx%02zx%06x", zone + 0x7f, i + 0xa0,
                              static_cast<unsigned>(std::random_device{}() & 0xffffffU));
                one.id = id;
                one.zone = options.zones[zone];
                if (!options.otherService.empty() && i + 1 == options.serversPerZone) {
                    one.service = options.otherService;
                }
                one.host = static_cast<std::uint32_t>(ServerNetwork
                                                      + zone * options.serversPerZone + i);
                one.port = used.servers;
                all.push_back(one);
            }
        }
        for (std::size_t i = 0; i < options.extra; ++i) {
            server_options one = all.front();
            one.id = one.id.substr(0, 2) + "ee" + one.id.substr(4);
            one.host = static_cast<std::uint32_t>(ServerNetwork + 50 + i);
            all.push_back(one);
        }
    }

    static std::vector<instance_options> nodes(const deployment_options &options)
    {
        // The first of each zone come first: they are the seeds.
        std::vector<instance_options> nodes;
        for (std::size_t i = 0; i < options.instancesPerZone; ++i) {
            for (const std::string &zone : options.zones) {
                nodes.push_back({"edge-" + zone + "-" + std::to_string(i + 1), zone,
                                 static_cast<std::uint32_t>(InstanceNetwork + nodes.size())});
            }
        }
        const auto first = nodes.size();
        for (std::size_t i = 0; i < options.extra; ++i) {
            nodes.push_back({"edge-extra-" + std::to_string(i + 1), options.zones[0],
                             static_cast<std::uint32_t>(InstanceNetwork + first + i)});
        }
        return nodes;
    }

    static requester_options requesterOptions(const deployment_options &options)
    {
        requester_options result;
        result.zones = options.zones;
        result.perSecond = options.requestsPerSecond;
        result.routeHost = RouteAddress;
        result.routePort = RoutePort;
        result.firstHost = RequesterNetwork;
        result.requestsPerFlow = options.requestsPerFlow;
        result.pause = options.pause;
        return result;
    }

    /** Starts everything, waits until all instances serve, and starts the traffic. */
    bool start()
    {
        if (!registry.ok() || !callers.ok()) {
            return false;
        }
        registry.put("config", "main", options.desiredState);
        for (const server_options &one : all) {
            if (!hosts.start(one, false)) {
                return false;
            }
        }
        for (std::size_t i = 0; i < system.size(); ++i) {
            system.start(i, true);
        }
        const time_point limit = steady::now() + std::chrono::seconds(15);
        while (!system.allInRotation()) {
            if (steady::now() > limit) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        record.write("all %zu instances are in rotation; traffic starts", system.size());
        callers.setSending(true);
        return true;
    }

    /** Writes what was sent, answered and run to the record. */
    void writeRecord()
    {
        std::map<std::string, std::size_t> outcomes;
        std::map<flow_key, std::string> runs;
        for (const arrival &one : hosts.arrivals()) {
            runs[one.flow] += " " + one.server + (one.cold ? "(cold)" : "") + "@"
                              + std::to_string(record.seconds(one.at)) + "s from "
                              + addressText(one.instance) + (one.opened ? " opened" : "")
                              + (one.request.empty() ? "" : " ran " + one.request);
        }
        record.detail("id, zone, sent at, through, outcome, answered by; then where its opening "
                      "packet arrived and what ran");
        for (const request_record &one : callers.records()) {
            ++outcomes[one.outcome];
            char line[256];
            std::snprintf(line, sizeof(line), "%s %s %.3f %s %s %s;", one.id.c_str(),
                          one.zone.c_str(), record.seconds(one.sentAt),
                          addressText(one.firstInstance).c_str(), one.outcome.c_str(),
                          one.server.empty() ? "-" : one.server.c_str());
            record.detail(line + runs[one.flow]);
        }
        for (const auto &[outcome, count] : outcomes) {
            record.write("requests with outcome '%s': %zu", outcome.c_str(), count);
        }
        record.write("calls to the store: %zu; packets that nobody wrote so: %zu; instances that "
                     "ended by themselves: %zu",
                     registry.calls(), hosts.forgedPackets(), system.endedAlone());
    }

    std::size_t countServed(time_point from, time_point to) const
    {
        std::size_t served = 0;
        for (const request_record &one : callers.records()) {
            served += one.outcome == "200" && one.sentAt >= from && one.sentAt < to ? 1 : 0;
        }
        return served;
    }

    deployment_options options;
    recorder &record;
    store registry;
    servers hosts;
    instances system;
    requesters callers;
    std::vector<server_options> all;
};

inline void sleepUntil(time_point at)
{
    std::this_thread::sleep_until(at);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::string desiredState(double coldPerS)
{
    return R"({"version":7,"routes":[{"name":"r-a3hwrr6","host":"127.61.5.1","pathPrefix":"/443/",)"
           R"("kind":"non_idempotent","timeoutMs":4000,"goalMs":250,"priority":1,"service":"desk",)"
           R"("maxAttempts":2},{"name":"r-i9n73hh","host":"127.61.5.2","pathPrefix":"/8443/",)"
           R"("kind":"upload","timeoutMs":8000,"goalMs":500,"priority":2,"service":"plans",)"
           R"("maxAttempts":2}],"services":[{"name":"desk","healthPath":"/health","maxConns":2000,)"
           R"("protocol":"h1","tls":false,"coldS":2.0,"coldPerS":)"
           + std::to_string(coldPerS)
           + R"(},{"name":"plans","healthPath":"/health","maxConns":2000,"protocol":"h1",)"
             R"("tls":false,"coldS":2.0,"coldPerS":)"
           + std::to_string(coldPerS) + R"(}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,)"
             R"("idleTimeoutMs":15000}})";
}

} // namespace review
