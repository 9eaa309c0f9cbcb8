#include "forwarding/connection/demand_meter.h"

namespace ebonyway {

void demand_meter::onNewFlow(std::uint32_t, std::uint32_t, double)
{ }
void demand_meter::onRefused(std::uint32_t, std::uint32_t)
{ }
void demand_meter::onRequest(std::uint32_t, std::uint32_t, bool)
{ }
void demand_meter::onAnswer(std::uint32_t, std::uint32_t, duration)
{ }
void demand_meter::onAbandoned(std::uint32_t, std::uint32_t)
{ }
void demand_meter::tick(const std::function<bool(std::uint32_t)> &, time_point)
{ }
std::vector<service_demand> demand_meter::demands() const
{
    return {};
}

} // namespace ebonyway
