#include "emulator/rule_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// A cold server may get this much more than its rate in any second.
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;

// An open flow whose packets go astray for this long, this many of them.
constexpr duration StrayTime = 2s;
constexpr std::uint32_t StrayPackets = 3;

// Less than this share of requests served after a recovery breaks the promise.
constexpr double RecoveredShare = 0.25;

} // namespace

rule_monitor::rule_monitor(const scenario &plan, const time_point &now)
    : m_plan(plan)
    , m_now(now)
{ }

void rule_monitor::noteInstanceDisturbed(std::uint64_t instance, time_point until)
{
    m_instanceDisturbed[instance] = std::max(m_instanceDisturbed[instance], until);
}

void rule_monitor::noteServerDisturbed(server_key server, time_point until)
{
    m_serverDisturbed[server] = std::max(m_serverDisturbed[server], until);
}

void rule_monitor::noteStoreDisturbed(time_point until)
{
    m_storeDisturbed = std::max(m_storeDisturbed, until);
}

bool rule_monitor::isInTouch(std::uint64_t instance) const
{
    const auto found = m_instanceDisturbed.find(instance);
    const time_point last = found == m_instanceDisturbed.end()
                                    ? m_storeDisturbed
                                    : std::max(found->second, m_storeDisturbed);
    return last == time_point{} || m_now > last + m_plan.bounds.contact;
}

bool rule_monitor::isCalm(server_key server) const
{
    const auto found = m_serverDisturbed.find(server);
    return found == m_serverDisturbed.end() || m_now > found->second + m_plan.bounds.contact;
}

void rule_monitor::noteRoute(const endpoint &address, bool exists)
{
    (exists ? m_routeAdded : m_routeRemoved)[address] = m_now;
    (exists ? m_routeRemoved : m_routeAdded).erase(address);
}

void rule_monitor::noteDraining(server_key server)
{
    m_drainingSince.emplace(server, m_now);
}

void rule_monitor::noteEvacuation(const std::string &failureDomain, bool begins)
{
    m_evacuatedSince.erase(failureDomain);
    if (begins) {
        m_evacuatedSince[failureDomain] = m_now;
    }
}

void rule_monitor::report(const std::string &rule, const std::string &detail)
{
    m_broken.push_back({rule, detail, m_now});
}

bool rule_monitor::isBroken(const std::string &rule) const
{
    return std::any_of(m_broken.begin(), m_broken.end(),
                       [&](const broken_rule &one) { return one.rule == rule; });
}

void rule_monitor::onOpeningArrived(const caller_packet &packet, const registered_server &server,
                                    std::uint64_t instance)
{
    m_openings[{packet.header.flow, server.key}] = {packet.sentAt, m_now, instance};
}

void rule_monitor::onOpened(const caller_packet &packet, const registered_server &server,
                            bool isCold)
{
    const flow_id &flow = packet.header.flow;
    const auto found = m_openings.find({flow, server.key});
    if (found == m_openings.end()) {
        return;
    }
    const opening taken = found->second;
    m_openings.erase(found);
    const std::string detail = flow.caller.toString() + " at " + server.address.toString();
    for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
        if (trafficAddress(i) == flow.service && m_plan.traffic[i].service != server.service) {
            report("ROUTE", detail + " of the service " + server.service);
        }
    }
    if (isCold) {
        countColdFlow(server);
    }
    if (!isInTouch(taken.instance)) {
        return;
    }
    const auto removed = m_routeRemoved.find(flow.service);
    if (removed != m_routeRemoved.end() && taken.sentAt > removed->second + m_plan.bounds.apply) {
        report("CONFIG", detail + " on a route that was removed");
    }
    const auto draining = m_drainingSince.find(server.key);
    if (draining != m_drainingSince.end()
        && taken.arrivedAt > draining->second + m_plan.bounds.drain) {
        report("DRAIN", detail);
    }
    const auto evacuated = m_evacuatedSince.find(server.failureDomain);
    if (evacuated != m_evacuatedSince.end()
        && taken.arrivedAt > evacuated->second + m_plan.bounds.evacuate) {
        report("EVAC", detail);
    }
}

void rule_monitor::onPacketArrived(const caller_packet &packet, server_key server,
                                   bool holderServes, std::uint64_t instance)
{
    const flow_id &flow = packet.header.flow;
    if (server == packet.chosen || !holderServes || !isInTouch(instance)
        || !isCalm(packet.chosen)) {
        m_strays.erase(flow);
        return;
    }
    stray &lost = m_strays[flow];
    if (lost.packets == 0 || m_now - lost.since > StrayTime) {
        lost = {0, m_now};
    }
    if (++lost.packets == StrayPackets) {
        report("FLOW", flow.caller.toString() + " went to another backend server");
    }
}

void rule_monitor::countColdFlow(const registered_server &server)
{
    auto &times = m_coldFlows[server.key];
    times.push_back(m_now);
    while (m_now - times.front() > 1s) {
        times.pop_front();
    }
    for (const scenario_service &service : m_plan.services) {
        if (service.name != server.service
            || static_cast<double>(times.size()) <= service.coldRate * ColdFactor + ColdSlack) {
            continue;
        }
        report("FAILBACK", server.address.toString() + " got " + std::to_string(times.size())
                                   + " flows in a second");
        times.clear();
    }
}

void rule_monitor::onResetOfServedFlow(const flow_id &flow, server_key server,
                                       std::uint64_t instance, forwarding_refusal reason)
{
    if (!isCalm(server) || !isInTouch(instance) || m_routeRemoved.contains(flow.service)) {
        return;
    }
    report("FLOW", flow.caller.toString() + " was reset, " + forwardingRefusalName(reason));
}

void rule_monitor::onRouteRefused(const flow_id &flow, time_point sentAt, std::uint64_t instance)
{
    const auto added = m_routeAdded.find(flow.service);
    if (added != m_routeAdded.end() && sentAt > added->second + m_plan.bounds.apply
        && isInTouch(instance)) {
        report("CONFIG", flow.caller.toString() + " was refused though its route exists");
    }
}

void rule_monitor::onRecovery(double servedBefore, double servedAfter)
{
    if (servedBefore >= RecoveredShare && servedAfter < RecoveredShare) {
        report("RECOVER", "served " + std::to_string(servedAfter) + " of the requests");
    }
}

} // namespace ebonyway
