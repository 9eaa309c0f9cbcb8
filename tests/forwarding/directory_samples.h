#pragma once

#include "core/seeded_random.h"
#include "forwarding/version/directory_builder.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace ebonyway {

/**
 * Builds store objects for tests. The server with key n has the name "i-<n in hex>".
 */
namespace samples {

inline endpoint address(std::uint32_t host, std::uint16_t port)
{
    return endpoint{ip_address::fromV4(host), port};
}

/** Public address of the "feed" route, whose requests are idempotent. */
inline endpoint feedAddress()
{
    return address(0xc6120001, 8443);
}

/** Public address of the "order" route, whose requests are not idempotent. */
inline endpoint orderAddress()
{
    return address(0xc6120001, 8080);
}

inline std::string serverName(std::uint64_t key)
{
    char text[24] = {};
    std::snprintf(text, sizeof(text), "i-%llx", static_cast<unsigned long long>(key));
    return text;
}

inline registered_server entry(std::uint64_t key, const std::string &domain,
                               const std::string &service = "desk")
{
    registered_server server;
    server.key = server_key{key};
    server.service = service;
    server.address = address(0x0a800000 + static_cast<std::uint32_t>(key), 8080);
    server.failureDomain = domain;
    server.slots = 4;
    server.startedAt = std::chrono::milliseconds(1'000);
    return server;
}

/** Returns two keys with the same first token, the lower one first. */
inline std::pair<std::uint64_t, std::uint64_t> keysWithSameToken()
{
    std::map<flow_token, std::uint64_t> seen;
    seeded_random random(1);
    // The token is a 32-bit hash, so a collision is expected after some 80,000 random keys.
    for (;;) {
        const std::uint64_t key = random.next();
        const auto [found, isNew] = seen.emplace(tokenOf(server_key{key}), key);
        if (!isNew && found->second != key) {
            return std::minmax(found->second, key);
        }
    }
}

inline store_object object(const registered_server &server, std::uint64_t revision)
{
    return {serverName(server.key.value), revision, false, store_value(server), {}};
}

inline store_object deletedServer(std::uint64_t key, std::uint64_t revision)
{
    return {serverName(key), revision, true, {}, {}};
}

inline desired_state desiredState(std::uint64_t version, double coldRate = 0)
{
    desired_state state;
    state.version = version;
    route feed;
    feed.name = "feed";
    feed.address = feedAddress();
    feed.shares = {{"desk", 1}};
    feed.idempotent = true;
    route order = feed;
    order.name = "order";
    order.address = orderAddress();
    order.idempotent = false;
    state.routes = {feed, order};
    state.services = {{"desk", 2'000, std::chrono::milliseconds(2'000), coldRate}};
    state.idleTimeout = std::chrono::milliseconds(15'000);
    return state;
}

/** Positions with the same revision for all kinds. */
inline known_positions positions(std::uint64_t revision, std::uint64_t era = 0)
{
    known_positions made;
    made.fill({era, revision});
    return made;
}

inline store_object object(const desired_state &state, std::uint64_t revision)
{
    return {"main", revision, false, store_value(state), {}};
}

} // namespace samples

} // namespace ebonyway
