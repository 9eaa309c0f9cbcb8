#pragma once

#include "core/result.h"
#include "emulator/emulation_report.h"
#include "telemetry/event_log.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** A parameter of the scenario and the values to play. */
struct varied_parameter
{
    std::string key; ///< Path in the scenario file, for example "traffic.0.rate".
    std::vector<Json::Value> values;
};

/** What an experiment plays. */
struct experiment_plan
{
    std::string file; ///< Of the scenario, for messages.
    Json::Value scenario;
    std::optional<varied_parameter> varied;
    std::uint64_t firstSeed = 1;
    std::uint64_t seeds = 5; ///< Days with each value.
    std::uint32_t randomEvents = 0; ///< Drawn by the seed and added to the scenario's events.
    event_log *log = nullptr; ///< Receives the lines of all instances; nothing if null.
};

/** Days with one value of the parameter. */
struct experiment_row
{
    std::string value; ///< Empty without a varied parameter.
    std::vector<emulation_report> days; ///< One for each seed.
    std::vector<std::string> drawnEvents; ///< Of each day, for messages.
    double loadSeconds = 0; ///< Length of each day's load.

    double meanInGoal() const;
    double leastInGoal() const;
    double meanServed() const;
    /** Lowest share answered within the goal in any second with load. */
    double worstSecond() const;
    double storeCallsPerSecond() const;
    double peerMessagesPerSecond() const;
    std::uint64_t brokenRules() const;
    /** Mean of a day. */
    double loadShed() const;
    double rejectedByServers() const;
    double ignoredOpenings() const;
    /** Requests of all days by kind, or by failure domain of the callers. */
    std::map<std::string, outcome_counts> outcomesByTraffic() const;
    std::map<std::string, outcome_counts> outcomesByDomain() const;
    std::map<std::string, wait_times> waitsByTraffic() const;
    std::map<std::string, wait_times> waitsByDomain() const;
};

/** Results of an experiment. */
struct experiment_report
{
    std::string key;
    std::uint64_t firstSeed = 1;
    std::vector<experiment_row> rows;
};

/** Parses "KEY=VALUE,VALUE,..." with JSON values. Fails with InvalidInput. */
result<varied_parameter> parseVariedParameter(const std::string &text);

/** Plays all days. Fails with InvalidInput if the scenario or the parameter is wrong. */
result<experiment_report> runExperiment(const experiment_plan &plan);

/** Renders a table with a bar for each row, and a line for each broken rule with its seed. */
std::string renderTable(const experiment_report &report);
/** Renders the share answered within the goal, by value or by second, as an SVG image. */
std::string renderSvg(const experiment_report &report);

} // namespace ebonyway
