#include "forwarding/request/forwarding_decision.h"

namespace ebonyway {

const char *forwardingRefusalName(forwarding_refusal reason)
{
    switch (reason) {
    case forwarding_refusal::NoRoute:
        return "no_route";
    case forwarding_refusal::RouteWithdrawn:
        return "route_withdrawn";
    case forwarding_refusal::NoServerUsable:
        return "no_server_usable";
    case forwarding_refusal::Overloaded:
        return "overloaded";
    case forwarding_refusal::BackendServerDead:
        return "backend_server_dead";
    case forwarding_refusal::NotReady:
        return "not_ready";
    case forwarding_refusal::UnknownToken:
        return "unknown_token";
    case forwarding_refusal::Malformed:
        return "malformed";
    case forwarding_refusal::LoadShed:
        return "load_shed";
    }
    return "malformed";
}

} // namespace ebonyway
