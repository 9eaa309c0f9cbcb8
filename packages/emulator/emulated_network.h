#pragma once

#include "core/seeded_random.h"
#include "emulator/event_queue.h"

#include <map>
#include <set>
#include <string>

namespace ebonyway {

/** What takes part in the traffic of the emulation. */
enum class place_kind : std::uint8_t {
    Callers,
    Instance,
    Server,
    Store,
};

/** Where a packet starts or ends. */
struct place
{
    place_kind kind = place_kind::Callers;
    std::uint64_t id = 0;
    std::string failureDomain; ///< Empty for the callers and the store.

    auto operator<=>(const place &) const = default; // NOLINT(modernize-use-nullptr): see ids.h
};

/** One-way delays of the network. */
struct network_delays
{
    duration toCallers = std::chrono::milliseconds(3);
    duration betweenDomains = std::chrono::microseconds(900);
    duration toStore = std::chrono::milliseconds(2);
};

/** Carries messages between places with delays, and loses those that a cut or a bad link stops. */
class emulated_network
{
public:
    emulated_network(event_queue &queue, seeded_random &random, network_delays delays);

    /** Delivers later, or never. */
    void send(const place &from, const place &to, event_queue::action deliver);
    bool passes(const place &from, const place &to) const;

    /** Separates the domain from all others and from the store; callers still reach it. */
    void setDomainCut(const std::string &domain, bool cut);
    /** Separates an instance from all but the callers. */
    void setInstanceCut(std::uint64_t instance, bool cut);
    /** Separates an instance from the store only. */
    void setStoreCut(std::uint64_t instance, bool cut);
    /** Loses packets of callers at an instance. `share` is between 0 and 1. */
    void setLoss(std::uint64_t instance, double share);

private:
    duration delayBetween(const place &from, const place &to) const;
    bool isLost(const place &at);

    event_queue &m_queue;
    seeded_random &m_random;
    network_delays m_delays;
    std::set<std::string> m_cutDomains;
    std::set<std::uint64_t> m_cutInstances;
    std::set<std::uint64_t> m_storeCuts;
    std::map<std::uint64_t, double> m_loss; ///< By instance.
};

} // namespace ebonyway
