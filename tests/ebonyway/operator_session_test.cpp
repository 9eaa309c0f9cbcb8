#include "core/json_text.h"
#include "ebonyway/operator_commands.h"
#include "golden_file.h"
#include "version/fake_platform_store.h"
#include "version/note_samples.h"

#include <doctest/doctest.h>

#include <map>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** A shell of one operator: runs command lines and writes a transcript. */
struct operator_session_fixture
{
    fake_platform_store store;
    std::map<std::string, std::string> files;
    std::map<std::string, std::string> pages; ///< By address and path.
    std::string transcript;
    std::uint64_t seed = 1;
    flow_outcome_log::wall_time now{std::chrono::sys_days{std::chrono::year{2026} / 3 / 14} + 9h};

    operator_session_fixture()
    {
        files["start.json"] = firstNote();
        files["drain.json"] = drainNote(2, "vitrine-03");
        files["karim.json"] = drainNote(2, "vitrine-05", true, "karim");
    }

    command_edges edges()
    {
        command_edges faked;
        faked.readFile = [this](const std::string &path) -> result<std::string> {
            if (files.count(path) == 0) {
                return error{error_kind::NotFound, "the file " + path + " cannot be read",
                             "Check the path and its permissions."};
            }
            return files[path];
        };
        faked.writeFile = [this](const std::string &path, const std::string &content) -> status {
            files[path] = content;
            return {};
        };
        faked.readPage = [this](const endpoint &instance,
                                const std::string &path) -> result<std::string> {
            const auto page = pages.find(instance.toString() + path);
            if (page == pages.end()) {
                return error{error_kind::Unavailable, instance.toString() + " did not answer",
                             "Check the address and try again later."};
            }
            return page->second;
        };
        faked.wait = [](std::chrono::milliseconds) {
        };
        faked.seed = seed++;
        faked.now = now;
        return faked;
    }

    command_outcome run(const std::string &line)
    {
        std::vector<std::string> words;
        std::istringstream stream(line);
        for (std::string word; stream >> word;) {
            words.push_back(word);
        }
        const result<command_options> options = parseCommandLine(words, "127.0.0.1:7000");
        command_outcome outcome = isOk(options)
                                          ? operator_commands(store, edges()).run(valueOf(options))
                                          : failureOutcome(errorOf(options), false, UsageExitCode);
        transcript += "$ ebonyway " + line + "\n" + outcome.output + outcome.errors;
        transcript += "(exit code " + std::to_string(outcome.exitCode) + ")\n\n";
        return outcome;
    }
};

} // namespace

TEST_CASE_FIXTURE(operator_session_fixture,
                  "operator session, from first note to return, as written")
{
    run("status");
    run("check start.json");
    run("accept start.json");
    REQUIRE(isOk(store.createIfAbsent(
            "status/casa-ain", R"({"members": {"ready": 3}, "lowest_note": 1, "highest_note": 1})",
            1s)));
    run("check drain.json");
    run("accept karim.json");
    run("accept drain.json");
    run("accept karim.json");
    run("take-out casa-sidi --author salma");
    pages["127.0.0.1:9001/status"] = R"({"instance": 1, "note": 3, "state": "ready"})";
    run("status --instance 127.0.0.1:9001 --instance 127.0.0.1:9002");
    run("take-out casa-sidi --author salma");
    run("bring-back casa-sidi --author salma");
    run("history --count 3");
    flow_outcome_log outcomes;
    outcomes.count({0}, flowOutcomeIndex(flow_outcome::Good), 9900, now - 1min);
    outcomes.count({0}, flowOutcomeIndex(flow_outcome::NoAnswer), 100, now - 1min);
    pages["127.0.0.1:9001/flow_outcomes"] = compactJson(outcomes.toJson());
    run("burn --instance 127.0.0.1:9001 --instance 127.0.0.1:9002 --svg burn.svg");
    CHECK(files["burn.svg"].rfind("<svg", 0) == 0);
    CHECK(matchesGoldenFile("ebonyway/golden/session.txt", transcript));
}

TEST_CASE_FIXTURE(operator_session_fixture, "refusals, every kind, say what to do next")
{
    run("accept start.json");
    run("");
    run("delete");
    run("check");
    run("check missing.json");
    run("check-state");
    run("check-state missing.json");
    run("status --instance casa");
    run("status --colour");
    run("history --count 0");
    run("take-out casa-anfa --author salma");
    run("take-out casa-ain");
    run("burn");
    files["wrong.json"] =
            noteText(2, R"("changed": {"services": [{"name": "vitrine", "port": "443"}]})");
    run("check wrong.json");
    files["ahead.json"] = drainNote(9, "vitrine-03");
    run("accept ahead.json");
    run("check ahead.json --json");
    store.faults.outage = 100;
    run("accept drain.json");
    store.faults = {};
    store.faults.lateWrite = 100;
    store.faults.lateWriteLands = 0;
    run("accept drain.json");
    CHECK(matchesGoldenFile("ebonyway/golden/refusals.txt", transcript));
}

TEST_CASE_FIXTURE(operator_session_fixture, "help and JSON, every command, as written")
{
    run("--help");
    for (const char *command : {"check", "check-state", "accept", "history", "status", "take-out",
                                "bring-back", "burn"}) {
        run(std::string(command) + " --help");
    }
    run("accept start.json --json");
    run("check drain.json --json");
    run("history --json");
    run("status --json");
    CHECK(matchesGoldenFile("ebonyway/golden/help.txt", transcript));
}

TEST_CASE_FIXTURE(operator_session_fixture,
                  "take-out, overtaken by another note, is accepted after it")
{
    // Guards against an urgent command that an unrelated note makes fail.
    run("accept start.json");
    bool overtook = false;
    store.beforeCall = [this, &overtook]() {
        if (!overtook && store.callCount > 8) {
            overtook = true;
            run("accept karim.json");
        }
    };
    CHECK(run("take-out casa-ain --author salma").exitCode == 0);
    CHECK(overtook);
    CHECK(store.valueAt("notes/0000000003").find("Take casa-ain") != std::string::npos);
}

} // namespace ebonyway
