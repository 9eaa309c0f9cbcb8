#include "process/load_gossip.h"

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace ebonyway {

namespace {

/** A report that has not changed is spread again after this many rounds, as a sign of life. */
constexpr std::uint64_t RepeatRounds = 30;
constexpr std::size_t ExtraRumors = 3;
/** Load changes below this share of the earlier value are not spread. */
constexpr std::uint64_t LoadChangeDivisor = 4;
constexpr std::uint64_t MinLoadChange = 8;

bool differsMuch(std::uint32_t before, std::uint32_t after)
{
    const std::uint64_t change = before > after ? before - after : after - before;
    return change >= std::max<std::uint64_t>(MinLoadChange, before / LoadChangeDivisor);
}

std::uint8_t rumorsFor(std::size_t memberCount)
{
    return static_cast<std::uint8_t>(ExtraRumors + std::bit_width(memberCount));
}

load_report reportOf(const load_summary &summary)
{
    return {summary.backendServer,   summary.reachable, summary.ready,
            summary.openConnections, summary.busySlots, summary.startCount};
}

} // namespace

load_gossip::load_gossip(instance_id self)
    : m_self(self)
{ }

bool load_gossip::hasHealthChanged(const load_summary &before, const load_summary &after)
{
    return before.reachable != after.reachable || before.ready != after.ready
           || before.startCount != after.startCount;
}

bool load_gossip::isWorthTelling(const load_summary &before, const load_summary &after)
{
    return hasHealthChanged(before, after) || before.busySlots != after.busySlots
           || differsMuch(before.openConnections, after.openConnections);
}

void load_gossip::onProbe(const load_report &report, std::uint64_t round, std::size_t memberCount)
{
    load_summary summary;
    summary.backendServer = report.backendServer;
    summary.prober = m_self;
    summary.reachable = report.reachable;
    summary.ready = report.ready;
    summary.openConnections = report.openConnections;
    summary.busySlots = report.busySlots;
    summary.startCount = report.startCount;
    known_report &known = m_reports[report.backendServer];
    known.summary = summary;
    known.round = std::max(known.round, round);
    const auto told = m_told.find(report.backendServer);
    const bool isDue = told == m_told.end() || isWorthTelling(told->second.summary, summary)
                       || round >= told->second.round + RepeatRounds;
    if (isDue) {
        known.isUrgent = told == m_told.end() || hasHealthChanged(told->second.summary, summary);
        m_told[report.backendServer] = {summary, round};
        known.rumorsLeft = rumorsFor(memberCount);
    }
}

std::vector<load_report> load_gossip::merge(const gossip_message &message, std::size_t memberCount)
{
    std::vector<load_report> news;
    for (const load_summary &summary : message.loads) {
        if (summary.age > message.round || summary.prober == m_self) {
            continue;
        }
        const std::uint64_t round = message.round - summary.age;
        known_report &known = m_reports[summary.backendServer];
        const bool isFirst = known.summary.backendServer != summary.backendServer
                             || known.summary.prober == instance_id{};
        const bool isNewer = round > known.round
                             || (round == known.round && summary.prober > known.summary.prober);
        if (!isFirst && !isNewer) {
            continue;
        }
        known.isUrgent = isFirst || hasHealthChanged(known.summary, summary);
        known.summary = summary;
        known.round = round;
        known.rumorsLeft = rumorsFor(memberCount);
        news.push_back(reportOf(summary));
    }
    return news;
}

void load_gossip::fill(gossip_message &message, std::size_t budget)
{
    std::vector<known_report *> rumors;
    for (auto &[id, known] : m_reports) {
        // A report too old for the age field is no longer news.
        if (known.rumorsLeft > 0 && message.round - known.round <= UINT8_MAX) {
            rumors.push_back(&known);
        }
    }
    std::sort(rumors.begin(), rumors.end(),
              [](const known_report *left, const known_report *right) {
                  if (left->isUrgent != right->isUrgent) {
                      return left->isUrgent;
                  }
                  return left->rumorsLeft != right->rumorsLeft
                                 ? left->rumorsLeft > right->rumorsLeft
                                 : left->summary.backendServer < right->summary.backendServer;
              });
    for (known_report *known : rumors) {
        load_summary summary = known->summary;
        summary.age = static_cast<std::uint8_t>(message.round - known->round);
        const std::size_t size = encodeBounded(summary).size();
        if (size > budget) {
            return;
        }
        budget -= size;
        known->rumorsLeft--;
        message.loads.push_back(summary);
    }
}

void load_gossip::keepOnly(const std::vector<backend_server_id> &backendServers)
{
    const auto isGone = [&](const auto &entry) {
        return std::find(backendServers.begin(), backendServers.end(), entry.first)
               == backendServers.end();
    };
    std::erase_if(m_reports, isGone);
    std::erase_if(m_told, isGone);
}

std::size_t load_gossip::stateBytes() const
{
    constexpr std::size_t LinkBytes = 2 * sizeof(void *);
    return m_reports.size() * (sizeof(known_report) + LinkBytes)
           + m_told.size() * (sizeof(told_report) + LinkBytes);
}

} // namespace ebonyway
