#pragma once

#include <functional>
#include <string>

namespace ebonyway {

/** Receives failed preconditions; the process edge connects it to the log. */
using precondition_sink = std::function<void(const char *file, int line, const std::string &what)>;

/** Replaces the sink. Call it before other threads start. The default sink writes to stderr. */
void setPreconditionSink(precondition_sink sink);

/** Reports a failed precondition to the sink. Use it through the macros below. */
void reportFailedPrecondition(const char *file, int line, const std::string &what);

} // namespace ebonyway

/** Logs what failed and where, then returns from a void function. */
#define EBONYWAY_FAIL_IF(condition, what) \
    do { \
        if (condition) { \
            ::ebonyway::reportFailedPrecondition(__FILE__, __LINE__, what); \
            return; \
        } \
    } while (false)

/** Logs what failed and where, then returns the given value. */
#define EBONYWAY_FAIL_IF_V(condition, value, what) \
    do { \
        if (condition) { \
            ::ebonyway::reportFailedPrecondition(__FILE__, __LINE__, what); \
            return value; \
        } \
    } while (false)
