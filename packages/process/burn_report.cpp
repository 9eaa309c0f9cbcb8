#include "process/burn_report.h"

#include "core/duration_text.h"
#include "version/intent.h"
#include "version/number_text.h"
#include "version/text_table.h"

#include <algorithm>

namespace ebonyway {

namespace {

/** Indexes into BurnWindows. */
enum burn_window_index : std::size_t {
    FiveMinutes,
    OneHour,
    SixHours,
    ThreeDays,
    ThirtyDays,
};

/** Uses 2 % of a 30-day budget in one hour. */
constexpr double ActNowRate = 14.4;
/** Uses 5 % of a 30-day budget in six hours. */
constexpr double ActTodayRate = 6.0;
constexpr double WatchRate = 1.0;

/** One unlucky caller of a quiet service is no reason to act. */
constexpr std::uint64_t LeastBadFlows = 10;

constexpr std::size_t ListedCauses = 3;

burn_window makeWindow(const flow_counters &flows, std::size_t index,
                       const service_objective &objective)
{
    burn_window window;
    window.length = BurnWindows[index];
    window.good = flows[flowOutcomeIndex(flow_outcome::Good)];
    for (std::size_t i = 1; i < FlowOutcomeCount; ++i) {
        window.bad += flows[i];
    }
    if (window.bad == 0) {
        return window;
    }
    const double badRatio =
            static_cast<double>(window.bad) / static_cast<double>(window.good + window.bad);
    window.burnRate = badRatio / (1.0 - objective.goodFlowRatio);
    window.budgetShare = window.burnRate * static_cast<double>(window.length.count())
                         / static_cast<double>(objective.window.count());
    return window;
}

std::vector<burn_cause> largestCauses(const flow_counters &flows, std::uint64_t bad)
{
    std::vector<burn_cause> causes;
    for (std::size_t i = 1; i < FlowOutcomeCount; ++i) {
        if (flows[i] > 0) {
            causes.push_back({flowOutcomeText(i), flows[i],
                              static_cast<double>(flows[i]) / static_cast<double>(bad)});
        }
    }
    std::stable_sort(causes.begin(), causes.end(),
                     [](const burn_cause &left, const burn_cause &right) {
                         return left.flows > right.flows;
                     });
    causes.resize(std::min(causes.size(), ListedCauses));
    return causes;
}

/** A long and a short window must agree, so that a burn that has ended raises no alarm. */
bool burns(const std::vector<burn_window> &windows, std::size_t longer, std::size_t shorter,
           double rate)
{
    return windows[longer].burnRate >= rate && windows[shorter].burnRate >= rate
           && windows[longer].bad >= LeastBadFlows;
}

burn_state stateOf(const std::vector<burn_window> &windows)
{
    if (burns(windows, OneHour, FiveMinutes, ActNowRate)) {
        return burn_state::ActNow;
    }
    if (burns(windows, SixHours, OneHour, ActTodayRate)) {
        return burn_state::ActToday;
    }
    if (burns(windows, ThreeDays, SixHours, WatchRate) || windows[ThirtyDays].budgetShare >= 1.0) {
        return burn_state::Watch;
    }
    return burn_state::Ok;
}

service_burn makeServiceBurn(const service &current, const flow_outcome_log &log,
                             flow_outcome_log::wall_time now)
{
    service_burn burn;
    burn.name = current.name;
    burn.goodFlowRatio = current.objective.goodFlowRatio;
    burn.period = current.objective.window;
    for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
        burn.windows.push_back(makeWindow(log.flowsIn(current.id, i, now), i, current.objective));
    }
    burn.causes =
            largestCauses(log.flowsIn(current.id, ThirtyDays, now), burn.windows[ThirtyDays].bad);
    burn.state = stateOf(burn.windows);
    return burn;
}

std::string windowCell(const burn_window &window)
{
    return window.good + window.bad == 0 ? "-" : decimalText(window.burnRate, 1);
}

std::string stateAdvice(burn_state state)
{
    switch (state) {
    case burn_state::ActNow:
        return "act now: the burn is fast and still going on";
    case burn_state::ActToday:
        return "act today: the burn is steady";
    case burn_state::Watch:
        return "watch: the budget is used up or will not last for its period";
    case burn_state::Ok:
        break;
    }
    return "ok: the budget lasts";
}

} // namespace

std::vector<service_burn> makeBurnReport(const intent &current, const flow_outcome_log &log,
                                         flow_outcome_log::wall_time now)
{
    std::vector<service_burn> report;
    for (const service &item : current.services) {
        report.push_back(makeServiceBurn(item, log, now));
    }
    std::stable_sort(
            report.begin(), report.end(), [](const service_burn &left, const service_burn &right) {
                if (left.state != right.state) {
                    return left.state > right.state;
                }
                return left.windows[ThirtyDays].budgetShare > right.windows[ThirtyDays].budgetShare;
            });
    return report;
}

const char *burnStateText(burn_state state)
{
    constexpr std::array<const char *, 4> Texts{"ok", "watch", "act today", "act now"};
    return Texts[static_cast<std::size_t>(state)];
}

std::string burnTable(const std::vector<service_burn> &report)
{
    text_table table;
    table.addColumn("SERVICE");
    table.addColumn("STATE");
    for (const char *title :
         {"OBJECTIVE", "GOOD 30d", "BAD 30d", "BUDGET USED", "5m", "1h", "6h", "3d", "30d"}) {
        table.addColumn(title, text_table::alignment::Right);
    }
    std::string details;
    for (const service_burn &burn : report) {
        const burn_window &longest = burn.windows[ThirtyDays];
        std::vector<std::string> cells{burn.name,
                                       burnStateText(burn.state),
                                       percentText(burn.goodFlowRatio),
                                       std::to_string(longest.good),
                                       std::to_string(longest.bad),
                                       decimalText(longest.budgetShare * 100.0, 1) + "%"};
        for (const burn_window &window : burn.windows) {
            cells.push_back(windowCell(window));
        }
        table.addRow(cells);
        details += "\n" + burn.name + " - " + stateAdvice(burn.state) + "\n";
        for (const burn_cause &cause : burn.causes) {
            details.append("  " + decimalText(cause.share * 100.0, 1) + "% ");
            details.append(cause.text + " (" + std::to_string(cause.flows) + " flows)\n");
        }
    }
    return table.toString()
           + "\nThe columns 5m to 30d are burn rates: 1.0 uses up the error budget exactly at the "
             "end "
             "of its period.\n"
           + details;
}

Json::Value burnJson(const std::vector<service_burn> &report)
{
    Json::Value services(Json::arrayValue);
    for (const service_burn &burn : report) {
        Json::Value item;
        item["service"] = burn.name;
        item["state"] = burnStateText(burn.state);
        item["good_flow_ratio"] = burn.goodFlowRatio;
        item["period"] = durationText(burn.period);
        for (const burn_window &window : burn.windows) {
            Json::Value entry;
            entry["window"] = durationText(window.length);
            entry["good"] = Json::UInt64(window.good);
            entry["bad"] = Json::UInt64(window.bad);
            entry["burn_rate"] = window.burnRate;
            entry["budget_share"] = window.budgetShare;
            item["windows"].append(entry);
        }
        item["causes"] = Json::Value(Json::arrayValue);
        for (const burn_cause &cause : burn.causes) {
            Json::Value entry;
            entry["cause"] = cause.text;
            entry["flows"] = Json::UInt64(cause.flows);
            entry["share"] = cause.share;
            item["causes"].append(entry);
        }
        services.append(item);
    }
    Json::Value root;
    root["services"] = services;
    return root;
}

} // namespace ebonyway
