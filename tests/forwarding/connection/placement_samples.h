#pragma once

#include "forwarding/connection/placement.h"
#include "forwarding/directory_samples.h"

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway::samples {

constexpr std::array<const char *, 3> PlacementDomains{"a", "b", "c"};

/** Servers 1 to `count` of the service "desk" with two slots, in three domains in turn. */
inline std::vector<directory_server> deskServers(std::size_t count)
{
    std::vector<directory_server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        directory_server server;
        server.entry = entry(i + 1, PlacementDomains[i % PlacementDomains.size()]);
        server.entry.slots = 2;
        server.token = tokenOf(server.entry.key);
        servers.push_back(std::move(server));
    }
    return servers;
}

/** Two routes to "desk": the feed route with priority 0 and the order route with priority 1. */
inline directory deskDirectory(std::vector<directory_server> servers, double coldRate = 0)
{
    auto routes = std::make_shared<route_table>();
    const desired_state state = desiredState(1, coldRate);
    routes->version = state.version;
    for (const route &one : state.routes) {
        routes->routes[one.address] = one;
    }
    routes->routes[orderAddress()].priority = 1;
    for (const service_limits &limits : state.services) {
        routes->services[limits.name] = limits;
        routes->services[limits.name].maxConnections = 0;
    }
    return {1, std::move(routes), std::move(servers)};
}

/** Demand of the callers of a domain for "desk", with `underWay` requests of 60 ms. */
inline domain_demand deskDemand(const std::string &domain, const endpoint &route, double underWay)
{
    service_demand demand;
    demand.service = demandTag("desk");
    demand.route = demandTag(route);
    demand.newFlows = underWay / 0.06;
    demand.underWay = underWay;
    demand.workTime = std::chrono::milliseconds(60);
    return {domain, demand};
}

/** An instance of domain "a" that places flows on servers of "desk". */
struct placing_instance
{
    directory servers;
    server_evidence evidence;
    deployment_load load{"a"};
    server_pace pace;
    cold_start_quota coldStarts{"one", 1};
    placement subject;
    time_point now{std::chrono::seconds(1'000)};

    explicit placing_instance(directory known, std::uint64_t seed = 5)
        : servers(std::move(known))
        , subject("a", seed)
    {
        evidence.adopt(servers);
    }

    void setLoad(const shared_load &shared) { load.update(servers, evidence, shared, {}, now); }

    std::optional<placement_choice> choose(std::uint32_t priority = 0)
    {
        return subject.choose({servers, evidence, load, pace, coldStarts}, "desk", priority,
                              nullptr, now);
    }

    /** Chooses servers for a number of flows that end at once; counts them by key. */
    std::vector<std::size_t> place(std::size_t flows, std::uint32_t priority = 0)
    {
        std::vector<std::size_t> counts(servers.servers().size() + 1);
        for (std::size_t i = 0; i < flows; ++i) {
            if (const auto choice = choose(priority)) {
                ++counts[choice->server->entry.key.value];
            }
        }
        return counts;
    }
};

} // namespace ebonyway::samples
