#include "ebonywayd/tunnel_instance.h"

#include "core/precondition.h"
#include "ebonywayd/exit_codes.h"
#include "process/edge/instance_daemon.h"
#include "process/settings.h"
#include "telemetry/event_log.h"

#include <csignal>
#include <cstdio>

namespace {

// Signal handlers take no context argument, so they reach the running daemon through this pointer.
ebonyway::instance_daemon *runningDaemon = nullptr;

void requestStop(int)
{
    if (runningDaemon) {
        runningDaemon->requestStop();
    }
}

int printError(const ebonyway::error &fault, int exitCode)
{
    std::fprintf(stderr, "ebonywayd: %s\n", ebonyway::describe(fault).c_str());
    return exitCode;
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
        return printError(ebonyway::errorOf(started), ExitUnavailable);
    }
    runningDaemon = &daemon;
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    daemon.run();
    runningDaemon = nullptr;
    return ExitOk;
}

} // namespace

int runTunnelInstance(const std::string &settingsFile, bool checkOnly)
{
    const auto options = ebonyway::readSettings(settingsFile);
    if (!ebonyway::isOk(options)) {
        return printError(ebonyway::errorOf(options), ExitInvalidSettings);
    }
    if (checkOnly) {
        std::printf("%s: settings are valid\n", settingsFile.c_str());
        return ExitOk;
    }
    return runInstance(ebonyway::valueOf(options));
}
