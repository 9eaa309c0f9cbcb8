#include "ebonyway/experiment_command.h"

#include "core/settings_reader.h"
#include "emulator/experiment.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>

namespace ebonyway {

namespace {

constexpr int MostSeeds = 100'000;
constexpr int MostRandomEvents = 1'000;

constexpr const char *Help =
        "Usage: ebonyway experiment FILE [options]\n\n"
        "Plays the scenario in FILE under virtual time and prints how callers were served.\n\n"
        "Options:\n"
        "  --vary KEY=V1,V2,...   Plays each value of a key of the scenario, e.g. traffic.0.rate\n"
        "  --seeds N              Days with each value (default 5)\n"
        "  --first-seed N         Seed of the first day (default 1)\n"
        "  --random N             Adds N random events to each day\n"
        "  --log FILE             Writes the log lines of all instances, with their virtual time\n"
        "  --svg FILE             Also writes the course of the days as an image\n"
        "  --help                 Shows this help\n\n"
        "Exit codes:\n"
        "  0 no rule broken   1 a rule was broken   2 wrong command line   3 invalid input\n";

constexpr int RuleBrokenExitCode = 1;

command_outcome usageFailure(const std::string &message)
{
    return {UsageExitCode, "", message + "\nRun `ebonyway experiment --help`.\n"};
}

command_outcome inputFailure(const error &failure)
{
    return {exitCodeFor(failure.kind), "", describe(failure) + "\n"};
}

/** The command line as popt reads it. */
struct raw_options
{
    char *vary = nullptr;
    char *svg = nullptr;
    char *log = nullptr;
    int seeds = 5;
    int firstSeed = 1;
    int randomEvents = 0;
    int help = 0;
};

/** Keeps log lines for a file. Their time is virtual, so none is added. */
struct line_collector : event_log
{
    std::string text;

    void write(const log_line &line) override { text += renderLogLine(line, "") + "\n"; }
};

/** Owns a text of popt. */
using popt_text = std::unique_ptr<char, void (*)(void *)>;

command_outcome play(const std::string &file, const raw_options &raw, const command_edges &edges)
{
    const result<std::string> text = edges.readFile(file);
    if (!isOk(text)) {
        return inputFailure(errorOf(text));
    }
    const result<Json::Value> root = parseSettingsText(file, valueOf(text));
    if (!isOk(root)) {
        return inputFailure(errorOf(root));
    }
    experiment_plan plan;
    plan.file = file;
    plan.scenario = valueOf(root);
    plan.firstSeed = static_cast<std::uint64_t>(raw.firstSeed);
    plan.seeds = static_cast<std::uint64_t>(raw.seeds);
    plan.randomEvents = static_cast<std::uint32_t>(raw.randomEvents);
    if (raw.vary) {
        const result<varied_parameter> varied = parseVariedParameter(raw.vary);
        if (!isOk(varied)) {
            return inputFailure(errorOf(varied));
        }
        plan.varied = valueOf(varied);
    }
    line_collector lines;
    plan.log = raw.log ? &lines : nullptr;
    const result<experiment_report> report = runExperiment(plan);
    if (!isOk(report)) {
        return inputFailure(errorOf(report));
    }
    if (raw.log) {
        const status written = edges.writeFile(raw.log, lines.text);
        if (!isOk(written)) {
            return inputFailure(errorOf(written));
        }
    }
    if (raw.svg) {
        const status written = edges.writeFile(raw.svg, renderSvg(valueOf(report)));
        if (!isOk(written)) {
            return inputFailure(errorOf(written));
        }
    }
    std::uint64_t broken = 0;
    for (const experiment_row &row : valueOf(report).rows) {
        broken += row.brokenRules();
    }
    return {broken == 0 ? 0 : RuleBrokenExitCode, renderTable(valueOf(report)), ""};
}

} // namespace

command_outcome runExperimentCommand(const std::vector<std::string> &words,
                                     const command_edges &edges)
{
    raw_options raw;
    const std::array<poptOption, 8> table{{
            {"vary", 0, POPT_ARG_STRING, &raw.vary, 0, nullptr, nullptr},
            {"svg", 0, POPT_ARG_STRING, &raw.svg, 0, nullptr, nullptr},
            {"log", 0, POPT_ARG_STRING, &raw.log, 0, nullptr, nullptr},
            {"seeds", 0, POPT_ARG_INT, &raw.seeds, 0, nullptr, nullptr},
            {"first-seed", 0, POPT_ARG_INT, &raw.firstSeed, 0, nullptr, nullptr},
            {"random", 0, POPT_ARG_INT, &raw.randomEvents, 0, nullptr, nullptr},
            {"help", 'h', POPT_ARG_NONE, &raw.help, 0, nullptr, nullptr},
            POPT_TABLEEND,
    }};
    std::vector<const char *> arguments{"ebonyway experiment"};
    for (const std::string &word : words) {
        arguments.push_back(word.c_str());
    }
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("ebonyway", static_cast<int>(arguments.size()), arguments.data(),
                           table.data(), 0),
            poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    const popt_text vary(raw.vary, std::free);
    const popt_text svg(raw.svg, std::free);
    const popt_text log(raw.log, std::free);
    if (code < -1) {
        return usageFailure(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": "
                            + poptStrerror(code));
    }
    if (raw.help != 0) {
        return {0, Help, ""};
    }
    const char *file = poptGetArg(context.get());
    if (!file || poptPeekArg(context.get())) {
        return usageFailure("experiment needs one scenario file");
    }
    if (raw.seeds < 1 || raw.seeds > MostSeeds || raw.firstSeed < 0 || raw.randomEvents < 0
        || raw.randomEvents > MostRandomEvents) {
        return usageFailure("--seeds must be 1 to " + std::to_string(MostSeeds)
                            + ", --first-seed 0 or more and --random 0 to "
                            + std::to_string(MostRandomEvents));
    }
    return play(file, raw, edges);
}

} // namespace ebonyway
