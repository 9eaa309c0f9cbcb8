#pragma once

#include "process/flow_outcome_log.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

struct intent;

/** The flows of a service in one window. */
struct burn_window
{
    std::chrono::seconds length{0};
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double burnRate = 0.0; ///< 1.0 uses up the budget exactly at the end of its period.
    double budgetShare = 0.0; ///< Share of the period's budget that this window has used.
};

/** A reason for bad flows in the longest window. */
struct burn_cause
{
    std::string text;
    std::uint64_t flows = 0;
    double share = 0.0; ///< Of the bad flows.
};

/** How urgent the burn of a service is. */
enum class burn_state : std::uint8_t {
    Ok,
    Watch, ///< The budget is used up, or will be before its period ends if nothing changes.
    ActToday,
    ActNow,
};

/** Error budget of one service. */
struct service_burn
{
    std::string name;
    double goodFlowRatio = 0.0; ///< The objective.
    std::chrono::seconds period{0};
    std::vector<burn_window> windows; ///< In the order of BurnWindows.
    std::vector<burn_cause> causes; ///< Largest first.
    burn_state state = burn_state::Ok;
};

/** Error budgets of all services in force, those that need attention first. */
std::vector<service_burn> makeBurnReport(const intent &current, const flow_outcome_log &log,
                                         flow_outcome_log::wall_time now);

/** Returns the state in words, for example "act now". */
const char *burnStateText(burn_state state);

/** Writes the report as a text table. */
std::string burnTable(const std::vector<service_burn> &report);

/** Writes the report as JSON. */
Json::Value burnJson(const std::vector<service_burn> &report);

/** Draws the report as one SVG image that explains its own marks. */
std::string burnSvg(const std::vector<service_burn> &report);

} // namespace ebonyway
