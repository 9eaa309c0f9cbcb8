#pragma once

#include "connection/slot_home.h"
#include "connection/tracked_flow_table.h"

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ebonyway {

/** Receives notifications about flows that are no longer tracked. */
class flow_end_listener
{
public:
    virtual ~flow_end_listener() = default;

    /** Called before a flow leaves the store because it ended or was evicted. */
    virtual void onFlowEnd(const tracked_flow &flow) = 0;
    /** Called before a flow leaves the store for any reason, after onFlowEnd if it ended. */
    virtual void onFlowForgotten(const tracked_flow &flow) = 0;
};

/**
 * The slots that this instance holds as home or backup, with their tracked flows. Keeps the flow
 * counts per slot and per backend server consistent with the flows.
 */
class home_store
{
public:
    home_store(std::size_t establishedCapacity, std::size_t probationCapacity,
               flow_end_listener &listener);

    slot_home *find(slot_id slot);
    const slot_home *find(slot_id slot) const;
    /** Adds a slot that is not held yet. */
    slot_home &open(const slot_state &state, home_role role, time_point now);
    /** Removes the slots and stops tracking their flows. */
    void drop(const std::unordered_set<slot_id> &slots);
    void clear();

    std::unordered_map<slot_id, slot_home> &homes() { return m_homes; }
    const std::unordered_map<slot_id, slot_home> &homes() const { return m_homes; }

    tracked_flow *findFlow(flow_hash hash) { return m_flows.find(hash); }
    tracked_flow_table &flows() { return m_flows; }
    const tracked_flow_table &flows() const { return m_flows; }

    /** Tracks a flow that is not in the table. Returns nullptr if the table is full. */
    tracked_flow *trackEstablished(slot_home &home, tracked_flow flow);
    tracked_flow *trackOnProbation(slot_home &home, tracked_flow flow);
    /** Removes a flow that has ended and notifies the listener. */
    void end(tracked_flow &flow);
    /** Stops tracking a flow without notifying the listener of an end. */
    void forget(tracked_flow &flow);

    /** Recounts the flows that differ from the target after the target changed. */
    void recountDiffering(const std::unordered_set<slot_id> &slots);
    /** Stops tracking the established flows of the slots that are at their slot's target. */
    void forgetFlowsAtTarget(const std::unordered_set<slot_id> &slots);
    /** Sets the last-seen time of all flows of the slots. */
    void touch(const std::unordered_set<slot_id> &slots, time_point now);

    /** Counts the tracked flows per backend server in slots that are active here. */
    std::map<backend_server_id, std::uint32_t> flowsPerServer() const;

private:
    void count(const tracked_flow &flow, int change);

    flow_end_listener &m_listener;
    std::unordered_map<slot_id, slot_home> m_homes;
    tracked_flow_table m_flows;
};

} // namespace ebonyway
