#include "core/json_text.h"
#include "ebonyway/check_state_command.h"

#include <doctest/doctest.h>

#include <map>

namespace ebonyway {

namespace {

/** Runs `check-state` on files in memory. */
struct check_state_fixture
{
    std::map<std::string, std::string> files{
            {"good.json", document(2, 250, "198.18.0.1")},
            {"old.json", document(1, 200, "198.18.0.1")},
            {"moved.json", document(1, 250, "198.18.0.9")},
            {"warned.json", document(2, 5000, "198.18.0.1")},
            {"wrong.json", document(2, 5000, "nowhere")},
            {"broken.json", R"({"version": 1,)"},
            {"deep.json", R"({"version":1,"routes":)" + std::string(100'000, '[')},
    };

    static std::string document(int version, int goal, const std::string &address)
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r1","host":")"
               + address + R"(","pathPrefix":"/443/","kind":"upload","goalMs":)"
               + std::to_string(goal)
               + R"(,"timeoutMs":4000,"service":"desk"}],"services":[{"name":"desk"}]})";
    }

    command_outcome run(const std::vector<std::string> &words)
    {
        const result<command_options> options = parseCommandLine(words, "");
        REQUIRE(isOk(options));
        command_edges edges;
        edges.readFile = [this](const std::string &path) -> result<std::string> {
            const auto found = files.find(path);
            if (found == files.end()) {
                return error{error_kind::NotFound, "the file " + path + " cannot be read",
                             "Check the path and its permissions."};
            }
            return found->second;
        };
        return runCheckState(valueOf(options), edges);
    }

    Json::Value runJson(std::vector<std::string> words)
    {
        words.emplace_back("--json");
        const result<Json::Value> parsed = parseJsonObject(run(words).output);
        REQUIRE(isOk(parsed));
        return valueOf(parsed);
    }
};

} // namespace

TEST_CASE_FIXTURE(check_state_fixture, "check-state, document without findings, exits with 0")
{
    const command_outcome outcome = run({"check-state", "good.json"});
    CHECK(outcome.exitCode == 0);
    CHECK(outcome.output == "No findings.\n");
    const Json::Value json = runJson({"check-state", "good.json"});
    CHECK(json["findings"].isArray());
    CHECK(json["findings"].empty());
    CHECK(json["differences"].isArray());
}

// Scripts tell warnings from errors by the exit code alone.
TEST_CASE_FIXTURE(check_state_fixture, "check-state, warnings only, exits with 10")
{
    const command_outcome outcome = run({"check-state", "warned.json"});
    CHECK(outcome.exitCode == 10);
    CHECK(outcome.output
          == "warning: routes[0].goalMs: the goal of 5000 ms is above the timeout of 4000 ms. "
             "Lower the goal or raise the timeout.\n");
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, an error, exits with 3")
{
    files["both.json"] = document(2, 5000, "198.18.0.1");
    files["both.json"].replace(files["both.json"].find(R"("name":"desk")"), 13, R"("name":"shop")");
    const command_outcome outcome = run({"check-state", "both.json"});
    CHECK(outcome.exitCode == 3);
    CHECK(outcome.output.find("error: routes[0].service: ") != std::string::npos);
    CHECK(outcome.output.find("warning: routes[0].goalMs: ") != std::string::npos);
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, unreadable and deep JSON, exits with 3")
{
    for (const char *file : {"broken.json", "deep.json"}) {
        CAPTURE(file);
        CHECK(run({"check-state", file}).exitCode == 3);
        const Json::Value json = runJson({"check-state", file});
        REQUIRE(json["findings"].size() == 1);
        CHECK(json["findings"][0]["code"] == "not_json");
    }
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, missing files, exits with 5")
{
    CHECK(run({"check-state", "missing.json"}).exitCode == 5);
    CHECK(run({"check-state", "good.json", "--against", "missing.json"}).exitCode == 5);
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, JSON output, has stable names")
{
    const Json::Value finding = runJson({"check-state", "warned.json"})["findings"][0];
    CHECK(finding.getMemberNames()
          == Json::Value::Members{"code", "message", "place", "remedy", "severity"});
    CHECK(finding["severity"] == "warning");
    CHECK(finding["code"] == "goal_above_timeout");
    CHECK(finding["place"] == "routes[0].goalMs");

    const Json::Value json = runJson({"check-state", "good.json", "--against", "moved.json"});
    REQUIRE(json["differences"].size() == 2);
    const Json::Value &change = json["differences"][1];
    CHECK(change.getMemberNames()
          == Json::Value::Members{"after", "before", "change", "ends_flows", "field", "name",
                                  "subject", "text"});
    CHECK(change["change"] == "changed");
    CHECK(change["subject"] == "route");
    CHECK(change["field"] == "address");
    CHECK(change["ends_flows"] == true);
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, against an older version, lists differences")
{
    const command_outcome outcome = run({"check-state", "good.json", "--against", "old.json"});
    CHECK(outcome.exitCode == 0);
    CHECK(outcome.output
          == "No findings.\n\nDifferences from old.json:\n  - version changes from 1 to 2\n"
             "  - route r1: goal changes from 200 ms to 250 ms\n");
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, against the same version, exits with 3")
{
    const command_outcome outcome = run({"check-state", "good.json", "--against", "good.json"});
    CHECK(outcome.exitCode == 3);
    CHECK(outcome.output.find("version 2 is not higher than version 2") != std::string::npos);
    CHECK(outcome.output.find("No differences.") != std::string::npos);
}

// A route that cannot be decoded must not be listed as removed.
TEST_CASE_FIXTURE(check_state_fixture, "check-state, undecodable documents, are not compared")
{
    const command_outcome outcome = run({"check-state", "wrong.json", "--against", "old.json"});
    CHECK(outcome.exitCode == 3);
    CHECK(outcome.output.find("routes[0].host") != std::string::npos);
    CHECK(outcome.output.find("is removed") == std::string::npos);
    CHECK(outcome.output.find("Not compared") != std::string::npos);

    const command_outcome reversed = run({"check-state", "good.json", "--against", "wrong.json"});
    CHECK(reversed.exitCode == 3);
    CHECK(reversed.errors.find("wrong.json: routes[0].host: ") != std::string::npos);
}

TEST_CASE_FIXTURE(check_state_fixture, "check-state, without a platform address, is allowed")
{
    CHECK_FALSE(needsPlatform("check-state"));
    CHECK(needsPlatform("check"));
}

} // namespace ebonyway
