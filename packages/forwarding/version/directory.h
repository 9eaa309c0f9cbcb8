#pragma once

#include "core/time.h"
#include "forwarding/version/store_objects.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Whether new flows may go to a backend server. */
enum class server_standing : std::uint8_t {
    Usable,
    Draining,
    Departed, ///< Its entry is gone. It may serve on, so its open flows are still forwarded.
};

/** A backend server as an instance knows it. */
struct directory_server
{
    registered_server entry;
    std::uint64_t revision = 0;
    flow_token token;
    server_standing standing = server_standing::Usable;
    bool evacuated = false;
    bool ambiguousToken = false; ///< Another backend server has the same token and was first.
    time_point coldUntil;

    bool acceptsNewFlows() const
    {
        return standing == server_standing::Usable && !evacuated && !ambiguousToken;
    }
};

/** Routes and services of one version of the desired state. */
struct route_table
{
    std::uint64_t version = 0;
    std::unordered_map<endpoint, route> routes;
    std::set<endpoint> withdrawn; ///< Had a route in an earlier version that this instance saw.
    std::unordered_map<std::string, service_limits> services;
    std::chrono::milliseconds idleTimeout{0};
};

/**
 * Immutable knowledge of routes and backend servers. The control thread builds it, traffic threads
 * read it.
 */
class directory
{
public:
    directory(std::uint64_t serial, std::shared_ptr<const route_table> routes,
              std::vector<directory_server> servers);

    /** Counts the snapshots of this process; log lines name it as the version of the inputs. */
    std::uint64_t serial() const { return m_serial; }
    const route_table &routes() const { return *m_routes; }
    const std::vector<directory_server> &servers() const { return m_servers; }

    const directory_server *byToken(flow_token token) const;
    /** Indexes into servers() of the service's backend servers that accept new flows. */
    const std::vector<std::size_t> &candidates(const std::string &service) const;

private:
    std::uint64_t m_serial = 0;
    std::shared_ptr<const route_table> m_routes;
    std::vector<directory_server> m_servers;
    std::unordered_map<flow_token, std::size_t> m_byToken;
    std::unordered_map<std::string, std::vector<std::size_t>> m_candidates;
};

/**
 * Returns whether some service with a route has a backend server for new flows outside the given
 * failure domains.
 */
bool canServe(const directory &known, const std::set<std::string> &silentDomains);

/** Returns the token of a backend server. It is never zero. */
flow_token tokenOf(server_key key);

} // namespace ebonyway
