#include "forwarding/request/forwarding_decision.h"

namespace ebonyway {

const char *refusalReasonName(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NoRoute:
        return "no_route";
    case refusal_reason::RouteWithdrawn:
        return "route_withdrawn";
    case refusal_reason::NoServerUsable:
        return "no_server_usable";
    case refusal_reason::Overloaded:
        return "overloaded";
    case refusal_reason::BackendServerDead:
        return "backend_server_dead";
    case refusal_reason::NotReady:
        return "not_ready";
    case refusal_reason::UnknownToken:
        return "unknown_token";
    case refusal_reason::Malformed:
        return "malformed";
    }
    return "malformed";
}

} // namespace ebonyway
