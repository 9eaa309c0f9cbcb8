#include "ebonyway/command_options.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>

namespace ebonyway {

namespace {

struct command_help
{
    const char *name;
    const char *arguments;
    const char *summary;
    const char *details;
};

constexpr std::array<command_help, 9> Commands{{
        {"check", "FILE", "Checks a release note and shows its effect",
         "Reads the release note in FILE, checks it whole against what is in force, and says in "
         "plain\n"
         "words what it would change. Nothing is accepted.\n"},
        {"check-state", "FILE [--against FILE]", "Checks a desired state before it is sent",
         "Checks the desired state in FILE, the content of the store object config/main, and "
         "lists\n"
         "errors and warnings with their places and remedies. The platform is not called.\n"
         "  --against FILE   Also list the differences from the desired state in this file, and\n"
         "                   require a higher version\n"},
        {"accept", "FILE", "Accepts a release note",
         "Checks the release note in FILE and accepts it. Once it is accepted, it runs on every\n"
         "instance within seconds. If another operator was first, nothing changes and the command\n"
         "says what overtook the note. Running it again never accepts a note twice.\n"},
        {"history", "", "Lists the accepted release notes",
         "Lists the latest accepted release notes, newest first.\n  --count N   Notes to show "
         "(default 10)\n"},
        {"status", "", "Shows what is in force",
         "Shows the note in force, failure domains, services and what instances report.\n"
         "  --instance ADDRESS:PORT   Also ask this instance's status address (repeatable)\n"},
        {"take-out", "DOMAIN --author NAME", "Takes a failure domain out of service",
         "Writes and accepts the release note that takes DOMAIN out of service: it gets no packet\n"
         "within seconds, and its open flows are given up.\n  --author NAME   Who does it\n"},
        {"bring-back", "DOMAIN --author NAME", "Returns a failure domain to service",
         "Writes and accepts the release note that returns DOMAIN to service: its backend servers\n"
         "take new flows again, starting cold.\n  --author NAME   Who does it\n"},
        {"burn", "", "Reports the error budgets of the services",
         "Adds up the flow outcomes of the given instances and reports how fast each service uses "
         "its\n"
         "error budget, and why.\n"
         "  --instance ADDRESS:PORT   Ask this instance's status address (repeatable)\n"
         "  --svg FILE                Also write the report as an image\n"},
        {"experiment", "FILE", "Plays a scenario under virtual time",
         "Plays the scenario in FILE and prints how callers were served. See `ebonyway experiment "
         "--help`.\n"},
}};

constexpr const char *CommonOptions =
        "\nOptions:\n"
        "  --platform ADDRESS:PORT   The platform's object API (default: $EBONYWAY_PLATFORM)\n"
        "  --json                    Write JSON instead of text\n"
        "  --help                    Show this help\n";

constexpr const char *ExitCodes =
        "\nExit codes:\n"
        "  0 done                  5 not found\n"
        "  1 internal fault        6 the platform or an instance did not answer\n"
        "  2 wrong command line    7 outcome unknown: run the same command again\n"
        "  3 invalid input         8 a limit was reached\n"
        "  4 another was first     9 not authenticated\n"
        "                         10 warnings, but no errors (check-state)\n";

const command_help *findCommand(const std::string &name)
{
    for (const command_help &command : Commands) {
        if (name == command.name) {
            return &command;
        }
    }
    return nullptr;
}

enum option_code : int {
    PlatformOption = 1,
    InstanceOption,
    AuthorOption,
    SvgOption,
    AgainstOption,
    CountOption,
    JsonOption,
    HelpOption,
};

error wrongOption(const std::string &message)
{
    return {error_kind::InvalidInput, message, "Run `ebonyway --help` for the command line."};
}

status applyText(command_options &options, int code, const std::string &text)
{
    if (code == PlatformOption || code == InstanceOption) {
        const result<endpoint> address = endpoint::parse(text);
        if (!isOk(address)) {
            return errorOf(address);
        }
        if (code == PlatformOption) {
            options.platform = valueOf(address);
        } else {
            options.instances.push_back(valueOf(address));
        }
    } else if (code == AuthorOption) {
        options.author = text;
    } else if (code == SvgOption) {
        options.svgFile = text;
    } else if (code == AgainstOption) {
        options.against = text;
    }
    return {};
}

/** Owns a popt context. */
using popt_context = std::unique_ptr<poptContext_s, poptContext (*)(poptContext)>;

status readOptions(poptContext context, int &count, command_options &options)
{
    int code = 0;
    while ((code = poptGetNextOpt(context)) > 0) {
        options.json = options.json || code == JsonOption;
        options.help = options.help || code == HelpOption;
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context), std::free);
        if (text == nullptr) {
            continue;
        }
        status applied = applyText(options, code, text.get());
        if (!isOk(applied)) {
            return applied;
        }
    }
    if (code < -1) {
        return wrongOption(std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": "
                           + poptStrerror(code));
    }
    if (count < 1 || count > 1000) {
        return wrongOption("--count is " + std::to_string(count) + ", not 1 to 1000");
    }
    options.count = static_cast<std::uint32_t>(count);
    return {};
}

} // namespace

result<command_options> parseCommandLine(const std::vector<std::string> &words,
                                         const std::string &defaultPlatform)
{
    command_options options;
    int count = static_cast<int>(options.count);
    const std::array<poptOption, 9> table{{
            {"platform", 0, POPT_ARG_STRING, nullptr, PlatformOption, nullptr, nullptr},
            {"instance", 0, POPT_ARG_STRING, nullptr, InstanceOption, nullptr, nullptr},
            {"author", 0, POPT_ARG_STRING, nullptr, AuthorOption, nullptr, nullptr},
            {"svg", 0, POPT_ARG_STRING, nullptr, SvgOption, nullptr, nullptr},
            {"against", 0, POPT_ARG_STRING, nullptr, AgainstOption, nullptr, nullptr},
            {"count", 0, POPT_ARG_INT, &count, CountOption, nullptr, nullptr},
            {"json", 0, POPT_ARG_NONE, nullptr, JsonOption, nullptr, nullptr},
            {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr},
            POPT_TABLEEND,
    }};
    std::vector<const char *> arguments{"ebonyway"};
    for (const std::string &word : words) {
        arguments.push_back(word.c_str());
    }
    const popt_context context(poptGetContext("ebonyway", static_cast<int>(arguments.size()),
                                              arguments.data(), table.data(), 0),
                               poptFreeContext);
    if (!defaultPlatform.empty()) {
        const status applied = applyText(options, PlatformOption, defaultPlatform);
        if (!isOk(applied)) {
            return errorOf(applied);
        }
    }
    const status read = readOptions(context.get(), count, options);
    if (!isOk(read)) {
        return errorOf(read);
    }
    while (const char *argument = poptGetArg(context.get())) {
        if (options.command.empty()) {
            options.command = argument;
        } else {
            options.arguments.emplace_back(argument);
        }
    }
    return options;
}

std::string helpText(const std::string &command)
{
    if (const command_help *found = findCommand(command)) {
        const std::string arguments = found->arguments;
        return std::string("Usage: ebonyway ") + found->name + (arguments.empty() ? "" : " ")
               + arguments + " [options]\n\n" + found->details + CommonOptions + ExitCodes;
    }
    std::string text = "Usage: ebonyway COMMAND [options]\n\nCommands:\n";
    for (const command_help &item : Commands) {
        std::string name = item.name;
        name.resize(12, ' ');
        text.append("  ").append(name).append(item.summary).append("\n");
    }
    return text + CommonOptions + ExitCodes;
}

bool isCommand(const std::string &name)
{
    return findCommand(name) != nullptr;
}

bool needsPlatform(const std::string &name)
{
    return isCommand(name) && name != "check-state";
}

} // namespace ebonyway
