#include "process/edge/traffic_view.h"

#include "version/route_plan.h"

#include <utility>

namespace ebonyway {

server_directory::server_directory(std::shared_ptr<const route_plan> newPlan)
    : plan(std::move(newPlan))
{
    const intent &current = plan->currentIntent();
    tunnels.assign(current.nextBackendServerId, endpoint{});
    for (const backend_server &server : current.backendServers) {
        tunnels[server.id.value] = server.tunnel;
        senders[server.tunnel] = server.id;
    }
}

std::optional<endpoint> server_directory::tunnelOf(backend_server_id id) const
{
    if (id.value >= tunnels.size() || tunnels[id.value].port == 0) {
        return std::nullopt;
    }
    return tunnels[id.value];
}

std::optional<backend_server_id> server_directory::senderAt(const endpoint &from) const
{
    const auto found = senders.find(from);
    if (found == senders.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace ebonyway
