#include "core/precondition.h"

#include <cstdio>
#include <utility>

namespace ebonyway {

namespace {

void writeToStderr(const char *file, int line, const std::string &what)
{
    std::fprintf(stderr, "%s:%d: precondition failed: %s\n", file, line, what.c_str());
}

precondition_sink &currentSink()
{
    static precondition_sink sink = writeToStderr;
    return sink;
}

} // namespace

void setPreconditionSink(precondition_sink sink)
{
    currentSink() = std::move(sink);
}

void reportFailedPrecondition(const char *file, int line, const std::string &what)
{
    currentSink()(file, line, what);
}

} // namespace ebonyway
