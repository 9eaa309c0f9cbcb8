#include "forwarding/process/load_reports.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// How long a report counts. An instance of a large deployment hears some 24 random peers a second;
// half of 88 instances, and a tenth of 480, are then known at any time.
constexpr duration ReportLifetime = 2s;

// How long the demands of a report count. A second gives enough reports for a sum over all
// instances, and older ones would let an overload appear and end late.
constexpr duration DemandLifetime = 1s;

// Longest answer time that a report may state. Callers wait for seconds.
constexpr duration MaxAnswerTime = 1min;

bool isAmount(double figure)
{
    return std::isfinite(figure) && figure >= 0;
}

bool isPlausible(const service_demand &demand)
{
    return isAmount(demand.newFlows) && isAmount(demand.laterRequests) && isAmount(demand.refused)
           && isAmount(demand.underWay) && demand.workTime >= 0ns
           && demand.workTime <= MaxAnswerTime;
}

bool isPlausible(const peer_server_load &load)
{
    return isAmount(load.underWay) && load.answerTime >= 0ns && load.answerTime <= MaxAnswerTime;
}

/** Sum of the demand for one service over one route in one failure domain. */
struct demand_sum
{
    service_demand total;
    double workSeconds = 0; ///< Sum of work times, each weighted by the requests.
    double workWeight = 0;
};

/** Sum of the use of one server. */
struct usage_sum
{
    server_usage total;
    double answerSeconds = 0;
};

duration fromSeconds(double length)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
}

double toSeconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

void addScaled(demand_sum &sum, const service_demand &demand, double scale)
{
    sum.total.service = demand.service;
    sum.total.route = demand.route;
    sum.total.newFlows += demand.newFlows * scale;
    sum.total.laterRequests += demand.laterRequests * scale;
    sum.total.refused += demand.refused * scale;
    sum.total.underWay += demand.underWay * scale;
    if (demand.workTime > 0ns) {
        const double weight = demand.newFlows + demand.laterRequests;
        sum.workSeconds += weight * toSeconds(demand.workTime);
        sum.workWeight += weight;
    }
}

void addScaled(usage_sum &sum, const peer_server_load &load, double scale)
{
    sum.total.server = load.server;
    sum.total.flows += load.flowCount * scale;
    sum.total.underWay += load.underWay * scale;
    if (load.answerTime > 0ns) {
        ++sum.total.answerReporters;
        sum.answerSeconds += toSeconds(load.answerTime);
    }
}

/** Returns the number of known instances of a domain for each one that reports. */
double scaleOf(const std::string &domain, const std::map<std::string, std::size_t> &instances,
               const std::map<std::string, std::size_t> &reporters)
{
    const auto known = instances.find(domain);
    const double all = known == instances.end() ? 0.0 : static_cast<double>(known->second);
    return std::max(1.0, all / static_cast<double>(reporters.at(domain)));
}

} // namespace

load_reports::load_reports(std::string self)
    : m_self(std::move(self))
{ }

void load_reports::addLoads(const peer_entry &sender, const std::vector<peer_server_load> &loads,
                            time_point now)
{
    // The own figures change more often than the number of the last heartbeat.
    if (sender.name != m_self && isOutdated(sender)) {
        return;
    }
    report &kept = m_reports[sender.name];
    kept = report{};
    kept.failureDomain = sender.failureDomain;
    kept.boot = sender.boot;
    kept.heartbeat = sender.heartbeat;
    kept.receivedAt = now;
    std::set<server_key> servers;
    for (const peer_server_load &load : loads) {
        if (!isPlausible(load) || !servers.insert(load.server).second) {
            ++m_ignoredEntries;
            continue;
        }
        kept.loads.push_back(load);
    }
}

void load_reports::add(const peer_entry &sender, const std::vector<peer_server_load> &loads,
                       const std::vector<service_demand> &demands, time_point now)
{
    if (sender.name != m_self && isOutdated(sender)) {
        return;
    }
    addLoads(sender, loads, now);
    report &kept = m_reports[sender.name];
    kept.hasDemands = true;
    std::set<std::pair<std::uint32_t, std::uint32_t>> keys;
    for (const service_demand &demand : demands) {
        if (!isPlausible(demand) || !keys.insert({demand.service, demand.route}).second
            || kept.demands.size() >= MaxDemandsReported) {
            ++m_ignoredEntries;
            continue;
        }
        kept.demands.push_back(demand);
    }
}

void load_reports::remove(const peer_entry &sender, time_point now)
{
    if (isOutdated(sender)) {
        return;
    }
    // Kept without figures, as datagrams that were sent before this one may still arrive.
    report &kept = m_reports[sender.name];
    kept = report{};
    kept.failureDomain = sender.failureDomain;
    kept.boot = sender.boot;
    kept.heartbeat = sender.heartbeat;
    kept.isLeaving = true;
    kept.receivedAt = now;
}

bool load_reports::isOutdated(const peer_entry &sender) const
{
    const auto known = m_reports.find(sender.name);
    return known != m_reports.end()
           && std::pair(sender.boot, sender.heartbeat)
                      <= std::pair(known->second.boot, known->second.heartbeat);
}

bool load_reports::countsForDemand(const report &one, time_point now)
{
    return !one.isLeaving && one.hasDemands && now - one.receivedAt <= DemandLifetime;
}

shared_load load_reports::estimate(const std::map<std::string, std::size_t> &instances,
                                   time_point now)
{
    std::erase_if(m_reports, [now](const auto &item) {
        return now - item.second.receivedAt > ReportLifetime;
    });
    shared_load shared;
    sumDemands(instances, now, shared);
    sumServers(instances, shared);
    return shared;
}

void load_reports::sumDemands(const std::map<std::string, std::size_t> &instances, time_point now,
                              shared_load &shared) const
{
    using demand_key = std::pair<std::uint32_t, std::uint32_t>;
    std::map<std::string, std::size_t> reporters;
    for (const auto &[name, one] : m_reports) {
        reporters[one.failureDomain] += countsForDemand(one, now) ? 1 : 0;
    }
    std::map<std::string, std::map<demand_key, demand_sum>> sums;
    for (const auto &[name, one] : m_reports) {
        if (!countsForDemand(one, now)) {
            continue;
        }
        const double scale = scaleOf(one.failureDomain, instances, reporters);
        for (const service_demand &demand : one.demands) {
            addScaled(sums[one.failureDomain][{demand.service, demand.route}], demand, scale);
        }
    }
    for (auto &[domain, parts] : sums) {
        for (auto &[key, sum] : parts) {
            if (sum.workWeight > 0) {
                sum.total.workTime = fromSeconds(sum.workSeconds / sum.workWeight);
            }
            shared.demands.push_back({domain, sum.total});
        }
    }
}

void load_reports::sumServers(const std::map<std::string, std::size_t> &instances,
                              shared_load &shared) const
{
    // Without this instance on either side of the ratio, as its use is not in the sums.
    std::map<std::string, std::size_t> others = instances;
    std::map<std::string, std::size_t> reporters;
    for (const auto &[name, one] : m_reports) {
        if (name == m_self) {
            std::size_t &count = others[one.failureDomain];
            count -= std::min<std::size_t>(count, 1);
            continue;
        }
        reporters[one.failureDomain] += one.isLeaving ? 0 : 1;
    }
    std::map<server_key, usage_sum> sums;
    for (const auto &[name, one] : m_reports) {
        if (name == m_self || one.isLeaving) {
            continue;
        }
        ++shared.reporters;
        const double scale = scaleOf(one.failureDomain, others, reporters);
        for (const peer_server_load &load : one.loads) {
            addScaled(sums[load.server], load, scale);
        }
    }
    for (auto &[key, sum] : sums) {
        if (sum.total.answerReporters > 0) {
            sum.total.answerTime = fromSeconds(sum.answerSeconds / sum.total.answerReporters);
        }
        shared.servers.push_back(sum.total);
    }
}

} // namespace ebonyway
