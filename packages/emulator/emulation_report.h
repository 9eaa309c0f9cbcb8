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

/** Result of one emulated day. */
struct emulation_report
{
    outcome_counts all;
    std::map<std::string, outcome_counts> byTraffic;
    std::map<std::int64_t, outcome_counts> bySecond; ///< Of the load, by when requests were sent.
    std::uint64_t storeCalls = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t resets = 0; ///< Sent by instances.
    std::uint64_t requestsRunTwice = 0; ///< Of those that may run only once.
    std::vector<broken_rule> broken;

    bool isBroken(const std::string &rule) const;
};

} // namespace ebonyway
