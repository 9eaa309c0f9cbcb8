#pragma once

#include <string>

namespace ebonyway {

/** Kinds of errors. The exit codes of the `ebonyway` command are derived from them. */
enum class error_kind {
    InvalidInput, ///< The input breaks a rule; the message names the place and the rule.
    Conflict, ///< Another operator or writer was first.
    NotFound, ///< The named object does not exist.
    Unavailable, ///< The platform or a peer did not answer; retrying later may succeed.
    OutcomeUnknown, ///< A write may or may not have taken effect; read it back before retrying.
    LimitExceeded, ///< A size, count or rate limit was reached.
    Unauthenticated, ///< A message was not signed with the deployment key.
    Internal, ///< A fault of this program.
};

/** An error whose remedy tells the reader what to do next. */
struct error
{
    error_kind kind = error_kind::Internal;
    std::string message; ///< What failed, where, and the offending value.
    std::string remedy; ///< One imperative sentence.
};

/** Returns the stable lower-case name of an error kind, as used in logs and JSON output. */
const char *errorKindName(error_kind kind);

/** Returns "message. Remedy." on one line. */
std::string describe(const error &failure);

} // namespace ebonyway
