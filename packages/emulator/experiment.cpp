#include "emulator/experiment.h"

#include "emulator/emulation.h"
#include "emulator/random_events.h"
#include "emulator/scenario.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <sstream>

namespace ebonyway {

namespace {

constexpr std::size_t MostRulesListed = 20;
constexpr double BarCharacters = 30;

error wrongParameter(const std::string &message)
{
    return {error_kind::InvalidInput, message,
            "Write KEY=VALUE,VALUE with a key of the scenario, for example traffic.0.rate=20,40."};
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

/** Whole numbers are numbers; words such as "steady" and durations are text. */
Json::Value valueFrom(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    return fault == std::errc() && stop == end ? Json::Value(number) : Json::Value(text);
}

/** Sets the value at a dotted path. Every part but the last must exist. */
status setValue(Json::Value &root, const std::string &key, const Json::Value &value)
{
    Json::Value *place = &root;
    for (const std::string &part : split(key, '.')) {
        if (place->isArray()) {
            const bool isIndex = !part.empty() && part.size() < 6
                                 && std::all_of(part.begin(), part.end(), [](unsigned char c) {
                                        return std::isdigit(c) != 0;
                                    });
            const auto index = isIndex ? static_cast<Json::ArrayIndex>(std::stoul(part)) : 0;
            if (!isIndex || index >= place->size()) {
                return wrongParameter("the scenario has no " + key);
            }
            place = &(*place)[index];
            continue;
        }
        if (!place->isObject()) {
            return wrongParameter("the scenario has no " + key);
        }
        place = &(*place)[part];
    }
    *place = value;
    return std::monostate{};
}

double mean(const std::vector<emulation_report> &days, double (*of)(const emulation_report &))
{
    double sum = 0;
    for (const emulation_report &day : days) {
        sum += of(day);
    }
    return days.empty() ? 0 : sum / static_cast<double>(days.size());
}

void addCounts(outcome_counts &sum, const outcome_counts &day)
{
    sum.inGoal += day.inGoal;
    sum.late += day.late;
    sum.failed += day.failed;
}

void addCounts(wait_times &sum, const wait_times &day)
{
    sum.add(day);
}

/** Adds up the counts of a group, for example a kind of request, over the days. */
template <typename Counts>
std::map<std::string, Counts> totals(const std::vector<emulation_report> &days,
                                     std::map<std::string, Counts> emulation_report::*groups)
{
    std::map<std::string, Counts> sums;
    for (const emulation_report &day : days) {
        for (const auto &[name, counts] : day.*groups) {
            addCounts(sums[name], counts);
        }
    }
    return sums;
}

result<experiment_row> playRow(const experiment_plan &plan, const Json::Value &root)
{
    const result<scenario> read = readScenario(plan.file, root);
    if (!isOk(read)) {
        return errorOf(read);
    }
    experiment_row row;
    row.loadSeconds = std::chrono::duration<double>(valueOf(read).length).count();
    for (std::uint64_t i = 0; i < plan.seeds; ++i) {
        const std::uint64_t seed = plan.firstSeed + i;
        scenario day = valueOf(read);
        std::string drawn;
        for (const scenario_event &event : drawEvents(day, plan.randomEvents, seed)) {
            day.events.push_back(event);
            drawn += (drawn.empty() ? "" : "; ") + describeEvent(event);
        }
        row.drawnEvents.push_back(drawn);
        emulation played(day, {seed, {}, plan.log});
        row.days.push_back(played.run());
    }
    return row;
}

std::int64_t millisOf(time_point when)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(when.time_since_epoch()).count();
}

std::string formatted(const char *format, double value)
{
    char text[32] = {};
    std::snprintf(text, sizeof(text), format, value);
    return text;
}

std::string padded(std::string text, std::size_t width)
{
    text.insert(0, width > text.size() ? width - text.size() : 0, ' ');
    return text;
}

std::string share(std::uint64_t part, std::uint64_t whole)
{
    return padded(
            whole == 0 ? "-"
                       : formatted("%.4f", static_cast<double>(part) / static_cast<double>(whole)),
            9);
}

std::string renderGroups(const std::string &title,
                         const std::map<std::string, outcome_counts> &outcomes,
                         const std::map<std::string, wait_times> &waits)
{
    std::string text;
    for (const auto &[name, counts] : outcomes) {
        const auto found = waits.find(name);
        const wait_times wait = found == waits.end() ? wait_times{} : found->second;
        std::string label = title;
        label.append(" ").append(name);
        text += padded(label, 22) + padded(std::to_string(counts.asked()), 10)
                + share(counts.inGoal, counts.asked()) + share(counts.late, counts.asked())
                + share(counts.failed, counts.asked())
                + padded(std::to_string(wait.quantile(0.5).count()), 11)
                + padded(std::to_string(wait.quantile(0.99).count()), 8) + "\n";
    }
    return text;
}

std::string renderLoad(const experiment_report &report, const experiment_row &row)
{
    std::string text = "\n" + (row.value.empty() ? "" : report.key + "=" + row.value + ": ")
                       + "each day " + formatted("%.1f", row.rejectedByServers())
                       + " requests rejected and " + formatted("%.1f", row.ignoredOpenings())
                       + " opening packets ignored by full servers, "
                       + formatted("%.1f", row.loadShed()) + " flows refused by instances\n"
                       + padded("", 22)
                       + "  requests  in goal     late   failed  median ms  p99 ms\n";
    text += renderGroups("traffic", row.outcomesByTraffic(), row.waitsByTraffic());
    text += renderGroups("callers of", row.outcomesByDomain(), row.waitsByDomain());
    return text;
}

} // namespace

double experiment_row::meanInGoal() const
{
    return mean(days, [](const emulation_report &day) { return day.all.inGoalShare(); });
}

double experiment_row::meanServed() const
{
    return mean(days, [](const emulation_report &day) { return day.all.servedShare(); });
}

double experiment_row::leastInGoal() const
{
    double least = 1;
    for (const emulation_report &day : days) {
        least = std::min(least, day.all.inGoalShare());
    }
    return least;
}

double experiment_row::worstSecond() const
{
    double worst = 1;
    for (const emulation_report &day : days) {
        for (const auto &[second, counts] : day.bySecond) {
            worst = std::min(worst, counts.inGoalShare());
        }
    }
    return worst;
}

double experiment_row::storeCallsPerSecond() const
{
    return mean(days,
                [](const emulation_report &day) { return static_cast<double>(day.storeCalls); })
           / loadSeconds;
}

double experiment_row::peerMessagesPerSecond() const
{
    return mean(days,
                [](const emulation_report &day) { return static_cast<double>(day.peerMessages); })
           / loadSeconds;
}

double experiment_row::loadShed() const
{
    return mean(days,
                [](const emulation_report &day) { return static_cast<double>(day.loadShed); });
}

double experiment_row::rejectedByServers() const
{
    return mean(days, [](const emulation_report &day) {
        return static_cast<double>(day.rejectedByServers);
    });
}

double experiment_row::ignoredOpenings() const
{
    return mean(days, [](const emulation_report &day) {
        return static_cast<double>(day.ignoredOpenings);
    });
}

std::map<std::string, outcome_counts> experiment_row::outcomesByTraffic() const
{
    return totals(days, &emulation_report::byTraffic);
}

std::map<std::string, outcome_counts> experiment_row::outcomesByDomain() const
{
    return totals(days, &emulation_report::byDomain);
}

std::map<std::string, wait_times> experiment_row::waitsByTraffic() const
{
    return totals(days, &emulation_report::waitsByTraffic);
}

std::map<std::string, wait_times> experiment_row::waitsByDomain() const
{
    return totals(days, &emulation_report::waitsByDomain);
}

std::uint64_t experiment_row::brokenRules() const
{
    std::uint64_t count = 0;
    for (const emulation_report &day : days) {
        count += day.broken.size();
    }
    return count;
}

result<varied_parameter> parseVariedParameter(const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
        return wrongParameter("'" + text + "' is not a parameter with values");
    }
    varied_parameter parameter{text.substr(0, equals), {}};
    for (const std::string &part : split(text.substr(equals + 1), ',')) {
        parameter.values.push_back(valueFrom(part));
    }
    if (parameter.values.empty()) {
        return wrongParameter("'" + text + "' names no value");
    }
    return parameter;
}

result<experiment_report> runExperiment(const experiment_plan &plan)
{
    experiment_report report;
    report.firstSeed = plan.firstSeed;
    if (!plan.varied) {
        const result<experiment_row> row = playRow(plan, plan.scenario);
        if (!isOk(row)) {
            return errorOf(row);
        }
        report.rows.push_back(valueOf(row));
        return report;
    }
    report.key = plan.varied->key;
    for (const Json::Value &value : plan.varied->values) {
        Json::Value root = plan.scenario;
        const status set = setValue(root, plan.varied->key, value);
        if (!isOk(set)) {
            return errorOf(set);
        }
        result<experiment_row> row = playRow(plan, root);
        if (!isOk(row)) {
            return errorOf(row);
        }
        valueOf(row).value = value.asString();
        report.rows.push_back(valueOf(row));
    }
    return report;
}

std::string renderTable(const experiment_report &report)
{
    std::string text = padded(report.key.empty() ? "scenario" : report.key, 22)
                       + "  days in goal   least  served  worst second  store calls/s  "
                         "peer messages/s  broken\n";
    for (const experiment_row &row : report.rows) {
        const auto bar = static_cast<std::size_t>(row.meanInGoal() * BarCharacters);
        text += padded(row.value.empty() ? "as written" : row.value, 22)
                + padded(std::to_string(row.days.size()), 6)
                + padded(formatted("%.4f", row.meanInGoal()), 8)
                + padded(formatted("%.4f", row.leastInGoal()), 8)
                + padded(formatted("%.4f", row.meanServed()), 8)
                + padded(formatted("%.3f", row.worstSecond()), 14)
                + padded(formatted("%.1f", row.storeCallsPerSecond()), 15)
                + padded(formatted("%.1f", row.peerMessagesPerSecond()), 17)
                + padded(std::to_string(row.brokenRules()), 8) + "  " + std::string(bar, '#')
                + "\n";
    }
    for (const experiment_row &row : report.rows) {
        text += renderLoad(report, row);
    }
    std::size_t listed = 0;
    for (const experiment_row &row : report.rows) {
        for (std::size_t i = 0; i < row.days.size(); ++i) {
            const std::string seed = std::to_string(report.firstSeed + i);
            for (const broken_rule &one : row.days[i].broken) {
                if (++listed > MostRulesListed) {
                    continue;
                }
                text += "broken: " + one.rule + " " + one.detail + " at "
                        + std::to_string(millisOf(one.when)) + " ms, seed " + seed
                        + (row.value.empty() ? "" : ", " + report.key + "=" + row.value) + "\n";
            }
            if (!row.days[i].broken.empty() && !row.drawnEvents[i].empty()) {
                text += "  seed " + seed + " draws: " + row.drawnEvents[i] + "\n";
            }
        }
    }
    return text;
}

} // namespace ebonyway
