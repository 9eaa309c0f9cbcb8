#include "forwarding/connection/flow_admission.h"

namespace ebonyway {

std::uint64_t refusalRound(std::chrono::system_clock::time_point wallClock)
{
    const auto minutes =
            std::chrono::duration_cast<std::chrono::minutes>(wallClock.time_since_epoch());
    return static_cast<std::uint64_t>(minutes.count());
}

flow_admission::flow_admission(std::string)
{ }
void flow_admission::update(const std::vector<admission_input> &, time_point)
{ }
double flow_admission::share(std::uint32_t, std::uint32_t) const
{
    return 1;
}
bool flow_admission::admits(std::uint32_t, std::uint32_t, const ip_address &, std::uint64_t) const
{
    return true;
}
double flow_admission::pressure(std::uint32_t) const
{
    return 0;
}
duration flow_admission::expectedDelay(std::uint32_t) const
{
    return {};
}
bool flow_admission::isLightlyLoaded(std::uint32_t) const
{
    return true;
}
std::vector<admission_change> flow_admission::takeChanges()
{
    return {};
}

} // namespace ebonyway
