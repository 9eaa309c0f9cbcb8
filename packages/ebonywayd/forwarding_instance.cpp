#include "ebonywayd/forwarding_instance.h"

#include "core/precondition.h"
#include "core/text_file.h"
#include "ebonywayd/exit_codes.h"
#include "forwarding/edge/forwarding_daemon.h"
#include "platform/platform_deployment_adapter.h"
#include "telemetry/event_log.h"

#include <csignal>
#include <cstdio>

namespace {

// Signal handlers take no context argument, so they reach the running daemon through this pointer.
ebonyway::forwarding_daemon *runningDaemon = nullptr;

void onSignal(int signal)
{
    if (!runningDaemon) {
        return;
    }
    if (signal == SIGHUP) {
        runningDaemon->requestReload();
        return;
    }
    runningDaemon->requestStop();
}

int printError(const ebonyway::error &fault, int exitCode)
{
    std::fprintf(stderr, "ebonywayd: %s\n", ebonyway::describe(fault).c_str());
    return exitCode;
}

int runDaemon(const ebonyway::forwarding_settings &options, const std::string &file)
{
    ebonyway::log4cxx_event_log log(options.logLevel, "",
                                    ebonyway::log4cxx_event_log::delivery::Buffered);
    const ebonyway::platform::platform_deployment_adapter adapter;
    ebonyway::forwarding_daemon daemon(adapter, options, file, log);
    runningDaemon = &daemon;
    const ebonyway::status started = daemon.start();
    if (!ebonyway::isOk(started)) {
        runningDaemon = nullptr;
        return printError(ebonyway::errorOf(started), ExitUnavailable);
    }
    daemon.run();
    runningDaemon = nullptr;
    return ExitOk;
}

} // namespace

int runForwardingInstance(const std::string &settingsFile, bool checkOnly)
{
    // Installed before startup: the default action of a signal would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    const std::string file =
            settingsFile.empty() ? ebonyway::platform::settingsPath() : settingsFile;
    const auto text = ebonyway::readTextFile(file);
    if (!ebonyway::isOk(text)) {
        return printError(ebonyway::errorOf(text), ExitInvalidSettings);
    }
    const auto options = ebonyway::parseForwardingSettings(file, ebonyway::valueOf(text));
    if (!ebonyway::isOk(options)) {
        return printError(ebonyway::errorOf(options), ExitInvalidSettings);
    }
    if (checkOnly) {
        std::printf("%s: settings are valid\n", file.c_str());
        return ExitOk;
    }
    return runDaemon(ebonyway::valueOf(options), file);
}
