#include "emulator/emulation_report.h"

#include <algorithm>

namespace ebonyway {

double outcome_counts::inGoalShare() const
{
    return asked() == 0 ? 1.0 : static_cast<double>(inGoal) / static_cast<double>(asked());
}

double outcome_counts::servedShare() const
{
    return asked() == 0 ? 1.0 : static_cast<double>(inGoal + late) / static_cast<double>(asked());
}

bool emulation_report::isBroken(const std::string &rule) const
{
    return std::any_of(broken.begin(), broken.end(),
                       [&](const broken_rule &one) { return one.rule == rule; });
}

} // namespace ebonyway
