#include "core/precondition.h"
#include "process/edge/instance_daemon.h"
#include "process/event_log.h"
#include "process/settings.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitInvalidSettings = 2;
constexpr int ExitUnavailable = 4;

// Signal handlers cannot take arguments, so the running daemon is reached through this pointer.
ebonyway::instance_daemon *runningDaemon = nullptr;

void requestStop(int)
{
    if (runningDaemon) {
        runningDaemon->requestStop();
    }
}

struct command_line
{
    std::string settingsFile;
    bool checkOnly = false;
};

int printFault(const ebonyway::error &fault, int exitCode)
{
    std::fprintf(stderr, "ebonywayd: %s\n", ebonyway::describe(fault).c_str());
    return exitCode;
}

/** Parses the command line. Returns an exit code instead if the program has to end. */
int parseCommandLine(int argc, const char **argv, command_line &parsed)
{
    int checkOnly = 0;
    const poptOption options[] = {{"check-settings", 'c', POPT_ARG_NONE, &checkOnly, 0,
                                   "check the settings file and exit", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("ebonywayd", argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[OPTION...] SETTINGS.json");
    const int outcome = poptGetNextOpt(context.get());
    const char *file = poptGetArg(context.get());
    if (outcome < -1 || !file || poptPeekArg(context.get())) {
        poptPrintUsage(context.get(), stderr, 0);
        return ExitInvalidSettings;
    }
    parsed.settingsFile = file;
    parsed.checkOnly = checkOnly != 0;
    return ExitOk;
}

void connectPreconditionsToLog(ebonyway::event_log &log)
{
    ebonyway::setPreconditionSink([&log](const char *file, int line, const std::string &what) {
        log.write({ebonyway::log_level::Error,
                   "precondition_failed",
                   {{"file", std::string(file)}, {"line", std::int64_t{line}}, {"what", what}}});
    });
}

int runInstance(const ebonyway::settings &options)
{
    ebonyway::log4cxx_event_log log(options.logLevel, options.logFile);
    connectPreconditionsToLog(log);
    ebonyway::instance_daemon daemon(options, log);
    const ebonyway::status started = daemon.start();
    if (!ebonyway::isOk(started)) {
        return printFault(ebonyway::errorOf(started), ExitUnavailable);
    }
    runningDaemon = &daemon;
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    daemon.run();
    runningDaemon = nullptr;
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    command_line arguments;
    const int parsed = parseCommandLine(argc, const_cast<const char **>(argv), arguments);
    if (parsed != ExitOk) {
        return parsed;
    }
    const auto options = ebonyway::readSettings(arguments.settingsFile);
    if (!ebonyway::isOk(options)) {
        return printFault(ebonyway::errorOf(options), ExitInvalidSettings);
    }
    if (arguments.checkOnly) {
        std::printf("%s: settings are valid\n", arguments.settingsFile.c_str());
        return ExitOk;
    }
    return runInstance(ebonyway::valueOf(options));
}
