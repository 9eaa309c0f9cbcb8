#pragma once

#include "core/ip_address.h"
#include "forwarding/request/flow_packet.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/**
 * Position in the history of the platform's store. The store may lose its last changes and come
 * back from an older copy; it then gives out the same revisions again, in the next era.
 */
struct store_position
{
    std::uint64_t era = 0; ///< Zero if the store does not tell it.
    std::uint64_t revision = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see ids.h
    auto operator<=>(const store_position &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(era, revision);
    }
};

/** Kinds of objects that an instance follows in the platform's store. */
enum class store_kind : std::uint8_t {
    DesiredState,
    BackendServers,
    Evacuations,
};

constexpr std::size_t StoreKindCount = 3;
constexpr store_kind AllStoreKinds[] = {store_kind::DesiredState, store_kind::BackendServers,
                                        store_kind::Evacuations};

/** Returns the name of a kind as it appears in logs. */
const char *storeKindName(store_kind kind);

/** Store entry that a backend server writes about itself. */
struct registered_server
{
    server_key key;
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Number of requests that it can process concurrently.
    bool draining = false;
    std::chrono::milliseconds coldRemaining{0}; ///< Remaining cold time when the entry was written.
    std::chrono::milliseconds startedAt{0}; ///< Unix time; changes with each restart.
    std::uint64_t reportCount = 0; ///< Reports of the server since its start, up to this entry.

    bool operator==(const registered_server &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto cold = static_cast<std::uint64_t>(coldRemaining.count());
        auto started = static_cast<std::uint64_t>(startedAt.count());
        archive(key, service, address, failureDomain, slots, draining, cold, started, reportCount);
        coldRemaining = std::chrono::milliseconds(cold);
        startedAt = std::chrono::milliseconds(started);
    }
};

/** A target service of a route and its weight. */
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, weight);
    }
};

/** Maps a public address and port to services. */
struct route
{
    std::string name;
    endpoint address;
    std::vector<service_share> shares;
    std::uint32_t priority = 0; ///< Zero is the highest priority.
    bool idempotent = false; ///< Callers may retry a request after any failure.
    std::chrono::milliseconds goal{0}; ///< Target response time.
    std::chrono::milliseconds timeout{0}; ///< Response time after which an answer is useless.

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto goalCount = static_cast<std::uint64_t>(goal.count());
        auto timeoutCount = static_cast<std::uint64_t>(timeout.count());
        archive(name, address, shares, priority, idempotent, goalCount, timeoutCount);
        goal = std::chrono::milliseconds(goalCount);
        timeout = std::chrono::milliseconds(timeoutCount);
    }
};

/** Limits of a service, from the desired state. */
struct service_limits
{
    /** Factor by which rates are multiplied to encode them as integers. */
    static constexpr double RateScale = 1'000;

    std::string name;
    std::uint32_t maxConnections = 0; ///< Per backend server; zero means unlimited.
    std::chrono::milliseconds coldDuration{0};
    double coldRequestsPerSecond = 0; ///< Maximum for a cold backend server, over all instances.

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto cold = static_cast<std::uint64_t>(coldDuration.count());
        // Rates have at most three decimal places.
        auto rate = static_cast<std::uint64_t>(coldRequestsPerSecond * RateScale);
        archive(name, maxConnections, cold, rate);
        coldDuration = std::chrono::milliseconds(cold);
        coldRequestsPerSecond = static_cast<double>(rate) / RateScale;
    }
};

/** Time without packets after which a flow has ended, unless the desired state sets another. */
constexpr std::chrono::milliseconds DefaultIdleTimeout{15'000};

/** Desired state set by the operators. Each new one has a higher version. */
struct desired_state
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    std::chrono::milliseconds idleTimeout{0}; ///< A flow without packets for longer has ended.

    template <class Archive>
    void serialize(Archive &archive)
    {
        auto idle = static_cast<std::uint64_t>(idleTimeout.count());
        archive(version, routes, services, idle);
        idleTimeout = std::chrono::milliseconds(idle);
    }
};

/** Evacuation of a failure domain: its backend servers get no new flows. */
struct evacuation
{
    std::string failureDomain;
};

using store_value = std::variant<desired_state, registered_server, evacuation>;

/** A store object or its deletion. */
struct store_object
{
    std::string name;
    std::uint64_t revision = 0; ///< Revision of its last change.
    bool deleted = false;
    std::optional<store_value> value; ///< Empty if deleted, or if `fault` says why it is unusable.
    std::string fault;
    std::uint64_t era = 0; ///< Era of the answer that contained the object.

    store_position position() const { return {era, revision}; }
};

/** Answer of the store to a list or watch call. */
struct store_page
{
    std::vector<store_object> objects;
    std::uint64_t revision = 0; ///< Revision of the store when it answered.
    bool hasMore = false; ///< List only: another page follows, starting after `lastName`.
    std::string lastName;
    std::uint64_t era = 0; ///< See store_position; zero if the store did not tell it.
    std::size_t unnamedObjects = 0; ///< Left out, as not even their names could be read.
    std::string unnamedFault{}; ///< Of the first of these.

    store_position position() const { return {era, revision}; }
};

} // namespace ebonyway
