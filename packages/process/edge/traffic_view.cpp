#include "process/edge/traffic_view.h"

#include "version/route_plan.h"

#include <utility>

namespace ebonyway {

void traffic_view::adoptPlan(std::shared_ptr<const route_plan> newPlan)
{
    plan = std::move(newPlan);
    const intent &current = plan->currentIntent();
    tunnels.assign(current.nextBackendServerId, endpoint{});
    senders.clear();
    for (const backend_server &server : current.backendServers) {
        tunnels[server.id.value] = server.tunnel;
        senders[server.tunnel] = server.id;
    }
}

std::optional<endpoint> traffic_view::tunnelOf(backend_server_id id) const
{
    if (id.value >= tunnels.size() || tunnels[id.value].port == 0) {
        return std::nullopt;
    }
    return tunnels[id.value];
}

std::optional<backend_server_id> traffic_view::senderAt(const endpoint &from) const
{
    const auto found = senders.find(from);
    if (found == senders.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace ebonyway
