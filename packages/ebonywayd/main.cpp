#include "ebonywayd/exit_codes.h"
#include "ebonywayd/forwarding_instance.h"
#ifdef EBONYWAY_TUNNEL_FRAME
#include "ebonywayd/tunnel_instance.h"
#endif

#include <popt.h>

#include <cstdio>
#include <memory>
#include <string>

namespace {

struct command_line
{
    std::string settingsFile;
    bool checkOnly = false;
    bool platform = false;
};

/** Parses the command line into `parsed`. Returns ExitOk or the exit code of a usage error. */
int parseCommandLine(int argc, const char **argv, command_line &parsed)
{
    int checkOnly = 0;
    int platform = 0;
    const poptOption options[] = {
            {"check-settings", 'c', POPT_ARG_NONE, &checkOnly, 0,
             "check the settings file and exit", nullptr},
            {"platform", 'p', POPT_ARG_NONE, &platform, 0,
             "forward flows on the platform; SETTINGS.json defaults to $EBONYWAY_SETTINGS",
             nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("ebonywayd", argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[OPTION...] SETTINGS.json");
    const int outcome = poptGetNextOpt(context.get());
    const char *file = poptGetArg(context.get());
    if (outcome < -1 || (!file && platform == 0) || poptPeekArg(context.get())) {
        poptPrintUsage(context.get(), stderr, 0);
        return ExitInvalidSettings;
    }
    parsed.settingsFile = file ? file : "";
    parsed.checkOnly = checkOnly != 0;
    parsed.platform = platform != 0;
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
    if (arguments.platform) {
        return runForwardingInstance(arguments.settingsFile, arguments.checkOnly);
    }
#ifdef EBONYWAY_TUNNEL_FRAME
    return runTunnelInstance(arguments.settingsFile, arguments.checkOnly);
#else
    std::fputs("ebonywayd: this build supports only platform mode. Pass --platform.\n", stderr);
    return ExitInvalidSettings;
#endif
}
