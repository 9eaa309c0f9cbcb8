#pragma once

#include "core/time.h"
#include "forwarding/version/store_objects.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Availability of a backend server for new flows. */
enum class server_availability : std::uint8_t {
    Usable,
    Draining,
    Departed, ///< Entry gone or unusable. It may still serve open flows, so they are forwarded.
};

/** A backend server entry with the state that the instance derives from it. */
struct directory_server
{
    registered_server entry;
    store_position position; ///< Of the last change of the entry.
    flow_token token; ///< Written into new flows; one of tokensOf() its key.
    server_availability availability = server_availability::Usable;
    bool evacuated = false;
    bool ambiguousToken = false; ///< All its tokens belong to servers that started earlier.
    time_point coldUntil;

    bool acceptsNewFlows() const
    {
        return availability == server_availability::Usable && !evacuated && !ambiguousToken;
    }
};

/** Routes and services of one version of the desired state. */
struct route_table
{
    std::uint64_t version = 0;
    std::unordered_map<endpoint, route> routes;
    /** Addresses with a route in an earlier version seen here, but not in this one. */
    std::set<endpoint> withdrawnAddresses;
    std::unordered_map<std::string, service_limits> services;
    std::chrono::milliseconds idleTimeout{0};
};

/**
 * Immutable snapshot of routes and backend servers, built by the control thread and read by the
 * traffic threads.
 */
class directory
{
public:
    directory(std::uint64_t serial, std::shared_ptr<const route_table> routes,
              std::vector<directory_server> servers);

    /** Sequence number of the snapshot in this process; log lines refer to snapshots by it. */
    std::uint64_t serial() const { return m_serial; }
    const route_table &routes() const { return *m_routes; }
    const std::vector<directory_server> &servers() const { return m_servers; }

    /**
     * Returns the backend server that the token belongs to, or null if there is none. Of several
     * servers it belongs to the one that started first, so that open flows stay where they are.
     */
    const directory_server *byToken(flow_token token) const;
    /** Returns the backend server with the key, or null if there is none. */
    const directory_server *byKey(server_key key) const;
    /** Returns the indexes in servers() of the service's servers that accept new flows. */
    const std::vector<std::size_t> &candidates(const std::string &service) const;
    /** Returns the same indexes by failure domain; domains without such servers are left out. */
    const std::map<std::string, std::vector<std::size_t>> &
    candidatesByDomain(const std::string &service) const;

private:
    std::uint64_t m_serial = 0;
    std::shared_ptr<const route_table> m_routes;
    std::vector<directory_server> m_servers;
    std::unordered_map<flow_token, std::size_t> m_byToken; ///< Both tokens of each server.
    std::unordered_map<server_key, std::size_t> m_byKey;
    std::unordered_map<std::string, std::vector<std::size_t>> m_candidates;
    std::unordered_map<std::string, std::map<std::string, std::vector<std::size_t>>>
            m_candidatesByDomain;
};

/**
 * Returns whether any backend server outside the given failure domains accepts new flows, with or
 * without a route to its service.
 */
bool canServe(const directory &snapshot, const std::set<std::string> &silentDomains);

/** Returns the flow token of a backend server, a hash of its key that is never zero. */
flow_token tokenOf(server_key key);
/**
 * Returns all tokens of a backend server in the order of preference: tokenOf(), and a second one
 * from another hash for the case that another server has the same first one.
 */
std::array<flow_token, 2> tokensOf(server_key key);

/** Returns whether a token that both servers have belongs to the first of them. */
bool precedes(const registered_server &first, const registered_server &second);

} // namespace ebonyway
