#include "connection/home_store.h"

namespace ebonyway {

home_store::home_store(std::size_t establishedCapacity, std::size_t probationCapacity,
                       flow_end_listener &listener)
    : m_listener(listener)
    , m_flows(establishedCapacity, probationCapacity)
{ }

slot_home *home_store::find(slot_id slot)
{
    const auto found = m_homes.find(slot);
    return found == m_homes.end() ? nullptr : &found->second;
}

const slot_home *home_store::find(slot_id slot) const
{
    const auto found = m_homes.find(slot);
    return found == m_homes.end() ? nullptr : &found->second;
}

slot_home &home_store::open(const slot_state &state, home_role role, time_point now)
{
    return m_homes.try_emplace(state.slot, state, role, now).first->second;
}

void home_store::drop(const std::unordered_set<slot_id> &slots)
{
    if (slots.empty()) {
        return;
    }
    std::vector<flow_hash> dropped;
    m_flows.forEach([&](tracked_flow &flow) {
        if (slots.contains(flow.slot)) {
            dropped.push_back(flow.hash);
        }
    });
    for (const flow_hash hash : dropped) {
        forget(*m_flows.find(hash));
    }
    for (const slot_id slot : slots) {
        m_homes.erase(slot);
    }
}

void home_store::clear()
{
    std::unordered_set<slot_id> slots;
    for (const auto &[slot, home] : m_homes) {
        slots.insert(slot);
    }
    drop(slots);
}

tracked_flow *home_store::trackEstablished(slot_home &home, tracked_flow flow)
{
    flow.slot = home.state().slot;
    tracked_flow *added = m_flows.insertEstablished(flow);
    if (added != nullptr) {
        count(*added, 1);
    }
    return added;
}

tracked_flow *home_store::trackOnProbation(slot_home &home, tracked_flow flow)
{
    flow.slot = home.state().slot;
    tracked_flow evicted;
    tracked_flow *added = m_flows.insertProbation(flow, &evicted);
    if (evicted.has(tracked_flow::Used)) {
        count(evicted, -1);
        m_listener.onFlowEnd(evicted);
        m_listener.onFlowForgotten(evicted);
    }
    if (added != nullptr) {
        count(*added, 1);
    }
    return added;
}

void home_store::end(tracked_flow &flow)
{
    m_listener.onFlowEnd(flow);
    forget(flow);
}

void home_store::forget(tracked_flow &flow)
{
    m_listener.onFlowForgotten(flow);
    count(flow, -1);
    m_flows.erase(flow);
}

void home_store::count(const tracked_flow &flow, int change)
{
    slot_home *home = find(flow.slot);
    if (home == nullptr) {
        return;
    }
    home->trackedFlows += static_cast<std::uint32_t>(change);
    if (flow.backendServer != home->state().target) {
        home->differingFlows += static_cast<std::uint32_t>(change);
    }
}

void home_store::recountDiffering(const std::unordered_set<slot_id> &slots)
{
    if (slots.empty()) {
        return;
    }
    for (const slot_id slot : slots) {
        if (slot_home *home = find(slot); home != nullptr) {
            home->differingFlows = 0;
        }
    }
    m_flows.forEach([&](tracked_flow &flow) {
        if (!slots.contains(flow.slot)) {
            return;
        }
        slot_home *home = find(flow.slot);
        if (home != nullptr && flow.backendServer != home->state().target) {
            ++home->differingFlows;
        }
    });
}

void home_store::forgetFlowsAtTarget(const std::unordered_set<slot_id> &slots)
{
    if (slots.empty()) {
        return;
    }
    std::vector<flow_hash> covered;
    m_flows.forEach([&](tracked_flow &flow) {
        if (!slots.contains(flow.slot) || flow.has(tracked_flow::Probation)) {
            return;
        }
        const slot_home *home = find(flow.slot);
        if (home != nullptr && flow.backendServer == home->state().target) {
            covered.push_back(flow.hash);
        }
    });
    for (const flow_hash hash : covered) {
        forget(*m_flows.find(hash));
    }
}

void home_store::touch(const std::unordered_set<slot_id> &slots, time_point now)
{
    const flow_time time = toFlowTime(now);
    m_flows.forEach([&](tracked_flow &flow) {
        if (slots.contains(flow.slot)) {
            flow.lastSeen = time;
        }
    });
}

std::map<backend_server_id, std::uint32_t> home_store::flowsPerServer() const
{
    std::map<backend_server_id, std::uint32_t> counts;
    m_flows.forEach([&](const tracked_flow &flow) {
        const slot_home *home = find(flow.slot);
        if (home != nullptr && home->isActive()) {
            ++counts[flow.backendServer];
        }
    });
    return counts;
}

} // namespace ebonyway
