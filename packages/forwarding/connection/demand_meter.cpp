#include "forwarding/connection/demand_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Time over which rates are smoothed. Reports of many instances are averaged, so half a second
// gives steady sums, and an overload shows in them after about as long.
constexpr std::chrono::duration<double> SmoothingTime = 500ms;

// Reciprocal of the gain of the work time; a mean over some 16 requests.
constexpr int WorkTimeGain = 16;

// Requests per second, and requests under way, below which a demand counts as ceased.
constexpr double CeasedDemand = 0.05;

void approach(double &smoothed, double value, double gain)
{
    smoothed += (value - smoothed) * gain;
}

} // namespace

demand_meter::meter *demand_meter::find(std::uint32_t service, std::uint32_t route)
{
    if (service == 0) {
        // The server of the flow was not known when it opened.
        return nullptr;
    }
    meter &found = m_meters[{service, route}];
    found.smoothed.service = service;
    found.smoothed.route = route;
    return &found;
}

void demand_meter::onNewFlow(std::uint32_t service, std::uint32_t route, double weight)
{
    if (meter *found = find(service, route)) {
        found->newFlows += weight;
    }
}

void demand_meter::onRefused(std::uint32_t service, std::uint32_t route)
{
    if (meter *found = find(service, route)) {
        ++found->refused;
    }
}

void demand_meter::onRequest(std::uint32_t service, std::uint32_t route, bool first)
{
    if (meter *found = find(service, route)) {
        ++found->pending;
        found->laterRequests += first ? 0 : 1;
    }
}

void demand_meter::onAnswer(std::uint32_t service, std::uint32_t route, duration time)
{
    meter *found = find(service, route);
    if (!found) {
        return;
    }
    found->pending -= std::min(found->pending, 1U);
    duration &workTime = found->smoothed.workTime;
    if (workTime == duration::zero()) {
        // Waits of a loaded service would pass for work, and callers would be refused with room.
        workTime = m_lightlyLoaded.contains(service) ? time : duration::zero();
    } else if (m_lightlyLoaded.contains(service)) {
        workTime += (time - workTime) / WorkTimeGain;
        found->loadedAnswerTime = duration::zero();
    } else {
        // Answers under load contain a wait in the queue, so only a mean below the work time shows
        // that the work takes less time. Single answers do not: requests differ in their work.
        duration &mean = found->loadedAnswerTime;
        mean = mean == duration::zero() ? workTime : mean;
        mean += (time - mean) / WorkTimeGain;
        workTime = std::min(workTime, mean);
    }
}

void demand_meter::onAbandoned(std::uint32_t service, std::uint32_t route)
{
    if (meter *found = find(service, route)) {
        found->pending -= std::min(found->pending, 1U);
    }
}

void demand_meter::tick(const std::function<bool(std::uint32_t service)> &isLightlyLoaded,
                        time_point now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(m_lastTick, now);
    if (elapsed.count() <= 0) {
        return;
    }
    const double gain = 1 - std::exp(-elapsed / SmoothingTime);
    m_lightlyLoaded.clear();
    for (auto &[key, one] : m_meters) {
        service_demand &smoothed = one.smoothed;
        approach(smoothed.newFlows, std::exchange(one.newFlows, 0) / elapsed.count(), gain);
        approach(smoothed.laterRequests, std::exchange(one.laterRequests, 0) / elapsed.count(),
                 gain);
        approach(smoothed.refused, std::exchange(one.refused, 0) / elapsed.count(), gain);
        approach(smoothed.underWay, one.pending, gain);
        if (isLightlyLoaded(key.first)) {
            m_lightlyLoaded.insert(key.first);
        }
    }
    std::erase_if(m_meters, [](const auto &item) {
        const service_demand &smoothed = item.second.smoothed;
        return item.second.pending == 0
               && smoothed.newFlows + smoothed.laterRequests + smoothed.refused + smoothed.underWay
                          < CeasedDemand;
    });
}

std::vector<service_demand> demand_meter::demands() const
{
    std::vector<service_demand> demands;
    demands.reserve(m_meters.size());
    for (const auto &[key, one] : m_meters) {
        demands.push_back(one.smoothed);
    }
    std::sort(demands.begin(), demands.end(),
              [](const service_demand &left, const service_demand &right) {
                  return left.underWay > right.underWay;
              });
    return demands;
}

} // namespace ebonyway
