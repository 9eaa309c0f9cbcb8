#include "connection/routing_strategy.h"

namespace ebonyway {

const char *dropReasonName(drop_reason reason)
{
    switch (reason) {
    case drop_reason::UnknownService:
        return "unknown_service";
    case drop_reason::NoIntent:
        return "no_intent";
    case drop_reason::NoServerAvailable:
        return "no_backend_server";
    case drop_reason::PartitionSuspected:
        return "partition_suspected";
    case drop_reason::HopLimit:
        return "hop_limit";
    case drop_reason::TableFull:
        return "table_full";
    case drop_reason::OutcomeUnknown:
        return "outcome_unknown";
    case drop_reason::GivenUp:
        return "given_up";
    }
    return "unknown";
}

} // namespace ebonyway
