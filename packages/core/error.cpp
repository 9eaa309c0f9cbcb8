#include "core/error.h"

namespace ebonyway {

const char *errorKindName(error_kind kind)
{
    switch (kind) {
    case error_kind::InvalidInput:
        return "invalid_input";
    case error_kind::Conflict:
        return "conflict";
    case error_kind::NotFound:
        return "not_found";
    case error_kind::Unavailable:
        return "unavailable";
    case error_kind::OutcomeUnknown:
        return "outcome_unknown";
    case error_kind::LimitExceeded:
        return "limit_exceeded";
    case error_kind::Unauthenticated:
        return "unauthenticated";
    case error_kind::Internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const error &failure)
{
    return failure.message + ". " + failure.remedy;
}

} // namespace ebonyway
