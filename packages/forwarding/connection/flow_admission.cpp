#include "forwarding/connection/flow_admission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Requests under way per slot above which shedding begins: on average each request then waits for
// one other. The work times, and so the demand, are only known up to the waits of a lightly loaded
// service; with a limit of one request per slot, new flows were refused at nine tenths of the
// capacity.
constexpr double OverloadPressure = 2.0;

// Requests per slot at which there is work for all slots.
constexpr double BusyPressure = 1.0;

// Requests per slot below which some slots are idle, so that nothing is refused. Between this and
// OverloadPressure, shedding continues once it has begun.
constexpr double RoomPressure = 0.8;

// Requests per slot above which the servers' queues are long and servers are likely to reject
// requests, so more has to be refused than the model says.
constexpr double QueuePressure = 3.0;

// Requests per slot up to which answer times show the work time: some slots are idle, and waits
// add less than half to the work.
constexpr double LightPressure = 0.8;

// Bounds of the factor that corrects the capacity, and its change per second. It falls slowly
// compared with the age of the reports, about a second: at 0.1 a second it went on falling after
// the queues had emptied, slots stayed idle, and the share swung every few seconds.
constexpr double MinCapacityFactor = 0.5;
constexpr double MaxCapacityFactor = 1.5;
constexpr double CapacityDecrease = 0.02;
constexpr double CapacityIncrease = 0.2;

// Interval of the reports while load shedding continues, which bounds the volume of the log.
constexpr duration ReportInterval = 1s;

// Longest time between two updates to reckon with; after a longer one the instance was paused.
constexpr std::chrono::duration<double> MaxElapsed = 1s;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

/** Returns the mean work time of the demands that have one, weighted by their requests. */
duration meanWorkTime(const admission_input &input)
{
    double sum = 0;
    double weight = 0;
    for (const admission_demand &one : input.demands) {
        if (one.demand.workTime == duration::zero()) {
            continue;
        }
        const double requests = one.demand.newFlows + one.demand.laterRequests;
        sum += requests * seconds(one.demand.workTime);
        weight += requests;
    }
    return weight > 0 ? std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(sum / weight))
                      : duration::zero();
}

} // namespace

std::uint64_t refusalRound(std::chrono::system_clock::time_point wallClock)
{
    const auto minutes =
            std::chrono::duration_cast<std::chrono::minutes>(wallClock.time_since_epoch());
    return static_cast<std::uint64_t>(minutes.count());
}

flow_admission::flow_admission(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{ }

void flow_admission::update(const std::vector<admission_input> &services, time_point now)
{
    const duration elapsed = now - std::exchange(m_lastUpdate, now);
    std::unordered_map<std::uint32_t, service_state> before = std::exchange(m_services, {});
    for (const admission_input &input : services) {
        m_services[input.service] = std::move(before[input.service]);
        updateService(input, elapsed, now);
    }
}

void flow_admission::updateCapacity(service_state &state, duration elapsed) const
{
    const double time = std::min(std::chrono::duration<double>(elapsed), MaxElapsed).count();
    double &factor = state.capacityFactor;
    if (!state.shedding) {
        factor += std::clamp(1 - factor, -CapacityDecrease * time, CapacityDecrease * time);
        return;
    }
    if (state.pressure > QueuePressure) {
        factor -= CapacityDecrease * time;
    } else if (state.pressure < BusyPressure) {
        factor += CapacityIncrease * time;
    }
    factor = std::clamp(factor, MinCapacityFactor, MaxCapacityFactor);
}

void flow_admission::updateService(const admission_input &input, duration elapsed, time_point now)
{
    service_state &state = m_services[input.service];
    double underWay = 0;
    for (const admission_demand &one : input.demands) {
        underWay += one.demand.underWay;
    }
    state.hasSlots = input.slots > 0;
    state.pressure = state.hasSlots ? underWay / input.slots : 0;
    state.workTime = meanWorkTime(input);
    updateCapacity(state, elapsed);
    std::vector<admission_group> groups;
    double demand = 0;
    for (const admission_demand &one : input.demands) {
        const duration known = one.demand.workTime;
        const double work = seconds(known > duration::zero() ? known : state.workTime);
        groups.push_back(
                {one.priority, one.demand.newFlows * work, one.demand.laterRequests * work});
        demand += groups.back().newFlows + groups.back().openFlows;
    }
    const double capacity = input.slots * state.capacityFactor;
    const double threshold = state.shedding ? RoomPressure : OverloadPressure;
    const bool sheds = input.slots > 0 && demand > capacity && state.pressure > threshold;
    state.shares.clear();
    if (sheds) {
        const std::vector<double> shares = admissionShares(groups, capacity);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (input.demands[i].failureDomain == m_failureDomain) {
                state.shares[input.demands[i].demand.route] = shares[i];
            }
        }
    }
    reportChange(input, state, groups, sheds, now);
}

void flow_admission::reportChange(const admission_input &input, service_state &state,
                                  const std::vector<admission_group> &groups, bool sheds,
                                  time_point now)
{
    const bool before = std::exchange(state.shedding, sheds);
    if (before == sheds && (!sheds || now - state.reportedAt < ReportInterval)) {
        return;
    }
    state.reportedAt = now;
    admission_change change;
    change.service = input.service;
    if (before == sheds) {
        change.state = admission_change::phase::Continues;
    } else {
        change.state = sheds ? admission_change::phase::Started : admission_change::phase::Ended;
    }
    for (const admission_group &group : groups) {
        change.demand += group.newFlows + group.openFlows;
        change.openFlowDemand += group.openFlows;
    }
    change.slots = input.slots;
    change.pressure = state.pressure;
    change.capacityFactor = state.capacityFactor;
    for (const auto &[route, share] : state.shares) {
        change.leastShare = std::min(change.leastShare, share);
    }
    m_changes.push_back(change);
}

const flow_admission::service_state *flow_admission::find(std::uint32_t service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

double flow_admission::share(std::uint32_t service, std::uint32_t route) const
{
    const service_state *state = find(service);
    if (!state) {
        return 1;
    }
    const auto found = state->shares.find(route);
    return found == state->shares.end() ? 1 : found->second;
}

bool flow_admission::admits(std::uint32_t service, std::uint32_t route, const ip_address &caller,
                            std::uint64_t round, duration timeout) const
{
    double admitted = share(service, route);
    const duration delay = expectedDelay(service);
    if (timeout > duration::zero() && delay > timeout) {
        const double inTime = seconds(timeout) / seconds(delay);
        admitted = std::max(MinAdmissionShare, std::min(admitted, inTime));
    }
    if (admitted >= 1) {
        return true;
    }
    // The port is left out: a caller that tries again uses another one.
    const std::uint64_t hash =
            XXH3_64bits_withSeed(caller.bytes.data(), caller.bytes.size(), (round << 32) ^ route);
    return static_cast<double>(hash >> 11) * 0x1p-53 < admitted;
}

double flow_admission::pressure(std::uint32_t service) const
{
    const service_state *state = find(service);
    return state ? state->pressure : 0;
}

duration flow_admission::expectedDelay(std::uint32_t service) const
{
    const service_state *state = find(service);
    if (!state || state->shedding || state->pressure <= BusyPressure) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(state->workTime)
                                                * (state->pressure - BusyPressure));
}

bool flow_admission::isLightlyLoaded(std::uint32_t service) const
{
    const service_state *state = find(service);
    return state && state->hasSlots && state->pressure < LightPressure;
}

std::vector<admission_change> flow_admission::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ebonyway
