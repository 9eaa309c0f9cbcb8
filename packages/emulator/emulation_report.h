#pragma once

#include "emulator/rule_monitor.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How requests ended. */
struct outcome_counts
{
    std::uint64_t inGoal = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;

    std::uint64_t asked() const { return inGoal + late + failed; }
    /** Share answered within the goal; 1 without requests. */
    double inGoalShare() const;
    /** Share answered at all; 1 without requests. */
    double servedShare() const;
};

/** Times from the first sending of requests to their answers, counted in whole milliseconds. */
class wait_times
{
public:
    void add(duration wait);
    void add(const wait_times &other);
    /** Shortest time that at least this share of the answers took; zero without answers. */
    std::chrono::milliseconds quantile(double share) const;

private:
    std::map<std::chrono::milliseconds, std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

/** Result of one emulated day. */
struct emulation_report
{
    outcome_counts all;
    std::map<std::string, outcome_counts> byTraffic;
    std::map<std::string, outcome_counts> byDomain; ///< Of the callers.
    std::map<std::string, wait_times> waitsByTraffic;
    std::map<std::string, wait_times> waitsByDomain; ///< Of the callers.
    std::map<std::int64_t, outcome_counts> bySecond; ///< Of the load, by when requests were sent.
    std::uint64_t storeCalls = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t resets = 0; ///< Sent by instances.
    std::uint64_t loadShed = 0; ///< Resets because the service is at capacity.
    std::uint64_t rejectedByServers = 0; ///< Requests not run because the server was full.
    std::uint64_t ignoredOpenings = 0; ///< Opening packets that full servers did not answer.
    std::uint64_t requestsRunTwice = 0; ///< Of those that may run only once.
    std::vector<broken_rule> broken;

    bool isBroken(const std::string &rule) const;
};

} // namespace ebonyway
