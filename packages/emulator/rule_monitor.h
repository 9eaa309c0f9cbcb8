#pragma once

#include "emulator/emulated_packet.h"
#include "emulator/scenario.h"
#include "forwarding/request/forwarding_decision.h"
#include "forwarding/version/store_objects.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** A promise to callers or operators that was broken. */
struct broken_rule
{
    std::string rule; ///< Stable name.
    std::string detail;
    time_point when;
};

/** Checks from what callers and backend servers see whether the promises hold. */
class rule_monitor
{
public:
    rule_monitor(const scenario &plan, const time_point &now);

    /** Rules with a time limit do not bind an instance until the contact time after `until`. */
    void noteInstanceDisturbed(std::uint64_t instance, time_point until);
    void noteServerDisturbed(server_key server, time_point until);
    void noteStoreDisturbed(time_point until);

    /** The operator's store has accepted these. */
    void noteRoute(const endpoint &address, bool exists);
    void noteDraining(server_key server);
    void noteEvacuation(const std::string &failureDomain, bool begins);

    /** An opening packet has reached a server. */
    void onOpeningArrived(const caller_packet &packet, const registered_server &server,
                          std::uint64_t instance);
    /** The flow has opened at the server. */
    void onOpened(const caller_packet &packet, const registered_server &server, bool isCold);
    /** A packet of an open flow has reached a server. */
    void onPacketArrived(const caller_packet &packet, server_key server, bool holderServes,
                         std::uint64_t instance);
    /** An instance has reset a flow that is open at a server that serves. */
    void onResetOfServedFlow(const flow_id &flow, server_key server, std::uint64_t instance,
                             forwarding_refusal reason);
    /** An instance has said that there is no route. */
    void onRouteRefused(const flow_id &flow, time_point sentAt, std::uint64_t instance);
    /** Shares of requests that were served before a loss of all instances and after the recovery.
     */
    void onRecovery(double servedBefore, double servedAfter);

    const std::vector<broken_rule> &broken() const { return m_broken; }
    /** Returns whether a rule of this name was broken. */
    bool isBroken(const std::string &rule) const;

private:
    struct opening
    {
        time_point sentAt;
        time_point arrivedAt;
        std::uint64_t instance = 0;
    };
    struct stray
    {
        std::uint32_t packets = 0;
        time_point since;
    };

    void countColdFlow(const registered_server &server);
    bool isInTouch(std::uint64_t instance) const;
    bool isCalm(server_key server) const;
    void report(const std::string &rule, const std::string &detail);

    const scenario &m_plan;
    const time_point &m_now;
    std::map<std::uint64_t, time_point> m_instanceDisturbed;
    std::map<server_key, time_point> m_serverDisturbed;
    time_point m_storeDisturbed;
    std::map<endpoint, time_point> m_routeRemoved;
    std::map<endpoint, time_point> m_routeAdded;
    std::map<server_key, time_point> m_drainingSince;
    std::map<std::string, time_point> m_evacuatedSince;
    std::map<std::pair<flow_id, server_key>, opening> m_openings;
    std::map<flow_id, stray> m_strays;
    std::map<server_key, std::deque<time_point>> m_coldFlows;
    std::vector<broken_rule> m_broken;
};

} // namespace ebonyway
