#pragma once

#include "connection/routing_strategy.h"
#include "core/keyed_hash.h"
#include "version/route_plan.h"

#include <memory>
#include <unordered_map>

namespace ebonyway {

/** Baseline: sends every packet to the target of its slot. */
class table_strategy : public routing_strategy
{
public:
    explicit table_strategy(const keyed_hash &hash)
        : m_hash(hash)
    { }

    void adoptPlan(std::shared_ptr<const route_plan> plan, time_point) override
    {
        if (!m_plan || m_plan->currentIntent().number < plan->currentIntent().number) {
            m_plan = std::move(plan);
        }
    }
    void updateCluster(const cluster_view &, time_point) override { }
    route_decision route(const packet_view &packet, const packet_origin &, time_point) override
    {
        const auto service = m_plan->serviceFor(packet.key);
        const slot_id slot = m_plan->slotOf(*service, hashFlow(packet.key, m_hash));
        const backend_server_id target = m_plan->slotTable(*service)->targets[slot.index];
        return forward_action{keep(packet, target), packet.kind == packet_kind::TcpSyn};
    }

protected:
    virtual backend_server_id keep(const packet_view &, backend_server_id target) { return target; }

    keyed_hash m_hash;
    std::shared_ptr<const route_plan> m_plan;
};

/** Baseline: like table_strategy, but each instance keeps a table of the flows it has seen. */
class flow_table_strategy : public table_strategy
{
public:
    using table_strategy::table_strategy;

private:
    backend_server_id keep(const packet_view &packet, backend_server_id target) override
    {
        return m_flows.try_emplace(hashFlow(packet.key, m_hash), target).first->second;
    }

    std::unordered_map<flow_hash, backend_server_id> m_flows;
};

} // namespace ebonyway
