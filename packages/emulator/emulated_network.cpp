#include "emulator/emulated_network.h"

#include <utility>

namespace ebonyway {

namespace {

// Within a failure domain.
constexpr duration LocalDelay = std::chrono::microseconds(200);

template <typename Key>
void setMember(std::set<Key> &members, const Key &key, bool isMember)
{
    if (isMember) {
        members.insert(key);
    } else {
        members.erase(key);
    }
}

} // namespace

emulated_network::emulated_network(event_queue &queue, seeded_random &random, network_delays delays)
    : m_queue(queue)
    , m_random(random)
    , m_delays(delays)
{ }

void emulated_network::send(const place &from, const place &to, event_queue::action deliver)
{
    if (!passes(from, to) || isLost(from) || isLost(to)) {
        return;
    }
    m_queue.after(delayBetween(from, to), std::move(deliver));
}

bool emulated_network::passes(const place &from, const place &to) const
{
    if (from.kind == place_kind::Callers || to.kind == place_kind::Callers) {
        return true;
    }
    for (const place *end : {&from, &to}) {
        const place &other = end == &from ? to : from;
        if (m_cutDomains.contains(end->failureDomain)
            && other.failureDomain != end->failureDomain) {
            return false;
        }
        if (end->kind != place_kind::Instance) {
            continue;
        }
        if (m_cutInstances.contains(end->id)
            || (other.kind == place_kind::Store && m_storeCuts.contains(end->id))) {
            return false;
        }
    }
    return true;
}

bool emulated_network::isLost(const place &at)
{
    const auto loss = at.kind == place_kind::Instance ? m_loss.find(at.id) : m_loss.end();
    return loss != m_loss.end() && m_random.unit() < loss->second;
}

duration emulated_network::delayBetween(const place &from, const place &to) const
{
    if (from.kind == place_kind::Callers || to.kind == place_kind::Callers) {
        return m_delays.toCallers;
    }
    if (from.kind == place_kind::Store || to.kind == place_kind::Store) {
        return m_delays.toStore;
    }
    return from.failureDomain == to.failureDomain ? LocalDelay : m_delays.betweenDomains;
}

void emulated_network::setDomainCut(const std::string &domain, bool cut)
{
    setMember(m_cutDomains, domain, cut);
}

void emulated_network::setInstanceCut(std::uint64_t instance, bool cut)
{
    setMember(m_cutInstances, instance, cut);
}

void emulated_network::setStoreCut(std::uint64_t instance, bool cut)
{
    setMember(m_storeCuts, instance, cut);
}

void emulated_network::setLoss(std::uint64_t instance, double share)
{
    m_loss[instance] = share;
}

} // namespace ebonyway
