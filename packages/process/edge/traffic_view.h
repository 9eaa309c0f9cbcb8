#pragma once

#include "core/ids.h"
#include "core/ip_address.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ebonyway {

class route_plan;

/** The tunnel endpoints of a plan's backend servers, derived once for each plan. */
struct server_directory
{
    server_directory() = default;
    explicit server_directory(std::shared_ptr<const route_plan> newPlan);

    std::shared_ptr<const route_plan> plan; ///< Null until a release note is in force.
    std::vector<endpoint> tunnels; ///< Indexed by backend server id; port 0 if there is none.
    std::map<endpoint, backend_server_id> senders; ///< Tunnel endpoint to backend server.

    /** Returns the tunnel endpoint of a backend server, if it has one. */
    std::optional<endpoint> tunnelOf(backend_server_id id) const;

    /** Returns the backend server that sends from the endpoint, if any. */
    std::optional<backend_server_id> senderAt(const endpoint &from) const;
};

/**
 * Where a traffic thread sends packets. Built by the control thread and handed to each traffic
 * thread, which then owns its copy; reading it takes no lock. Membership changes replace only the
 * relays and share the directory.
 */
struct traffic_view
{
    std::shared_ptr<const server_directory> servers = std::make_shared<server_directory>();
    std::unordered_map<instance_id, endpoint> relays; ///< Relay ports of peers.
};

} // namespace ebonyway
