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

void wait_times::add(duration wait)
{
    ++m_counts[std::chrono::duration_cast<std::chrono::milliseconds>(wait)];
    ++m_total;
}

void wait_times::add(const wait_times &other)
{
    for (const auto &[time, count] : other.m_counts) {
        m_counts[time] += count;
    }
    m_total += other.m_total;
}

std::chrono::milliseconds wait_times::quantile(double share) const
{
    const double wanted = share * static_cast<double>(m_total);
    std::uint64_t sum = 0;
    for (const auto &[time, count] : m_counts) {
        sum += count;
        if (static_cast<double>(sum) >= wanted) {
            return time;
        }
    }
    return {};
}

bool emulation_report::isBroken(const std::string &rule) const
{
    return std::any_of(broken.begin(), broken.end(),
                       [&](const broken_rule &one) { return one.rule == rule; });
}

} // namespace ebonyway
