#include "version/intent.h"

#include <algorithm>

namespace ebonyway {

namespace {

/** Finds an object by id in a vector that is ordered by id. */
template <typename Object, typename Id>
const Object *findById(const std::vector<Object> &objects, Id id)
{
    const auto found =
            std::lower_bound(objects.begin(), objects.end(), id,
                             [](const Object &object, Id wanted) { return object.id < wanted; });
    return found != objects.end() && found->id == id ? &*found : nullptr;
}

} // namespace

const service *findService(const intent &current, service_id id)
{
    return findById(current.services, id);
}

const backend_server *findBackendServer(const intent &current, backend_server_id id)
{
    return findById(current.backendServers, id);
}

const failure_domain *findFailureDomain(const intent &current, failure_domain_id id)
{
    return findById(current.failureDomains, id);
}

bool acceptsNewFlows(const intent &current, const backend_server &server)
{
    return !server.draining && server.weight > 0 && acceptsPackets(current, server);
}

bool acceptsPackets(const intent &current, const backend_server &server)
{
    const failure_domain *domain = findFailureDomain(current, server.failureDomain);
    return domain != nullptr && domain->inService;
}

} // namespace ebonyway
