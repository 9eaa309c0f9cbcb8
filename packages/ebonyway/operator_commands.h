#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "ebonyway/command_options.h"
#include "process/flow_outcome_log.h"
#include "version/note_acceptance.h"
#include "version/platform_store.h"
#include "version/retry_budget.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>

namespace ebonyway {

class route_plan;

/** What the commands need from outside; tests replace all of it. */
struct command_edges
{
    std::function<result<std::string>(const std::string &path)> readFile;
    std::function<status(const std::string &path, const std::string &content)> writeFile;
    /** Reads a page, for example /status, from an instance. */
    std::function<result<std::string>(const endpoint &instance, const std::string &path)> readPage;
    wait_function wait;
    std::uint64_t seed = 0; ///< For the jitter of retries.
    flow_outcome_log::wall_time now;
};

/** What a command prints and returns to the shell. */
struct command_outcome
{
    int exitCode = 0;
    std::string output; ///< For standard output.
    std::string errors; ///< For standard error.
};

/** Exit code of a wrong command line. */
constexpr int UsageExitCode = 2;

/** Returns the exit code of an error kind, as the help lists them. */
int exitCodeFor(error_kind kind);

/** The subcommands of `ebonyway`. */
class operator_commands
{
public:
    operator_commands(platform_store &store, command_edges edges);

    /** Runs one subcommand. */
    command_outcome run(const command_options &options);

private:
    /** Output of a command that succeeded, as text and as JSON. */
    struct report
    {
        std::string text;
        Json::Value json{Json::objectValue};
    };

    result<report> dispatch(const command_options &options);
    result<report> check(const std::string &file);
    result<report> accept(const std::string &file);
    result<report> history(std::uint32_t count);
    result<report> showStatus(const command_options &options);
    result<report> setInService(const command_options &options, bool inService);
    result<report> burn(const command_options &options);
    status addOutcomes(const endpoint &instance, flow_outcome_log &outcomes);

    note_acceptance makeAcceptance();
    platform_notes makeNotes();
    static report reportOf(const accepted_note &accepted);
    void addFailureDomains(const route_plan &plan, report &shown);
    static void addServices(const route_plan &plan, report &shown);
    void addInstances(const command_options &options, report &shown);
    Json::Value domainReport(const std::string &domain);

    platform_store &m_store;
    command_edges m_edges;
};

/** Returns what a failed command prints. */
command_outcome failureOutcome(const error &failure, bool json, int exitCode);

} // namespace ebonyway
