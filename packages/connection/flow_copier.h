#pragma once

#include "connection/home_store.h"

#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace ebonyway {

class peer_exchange;

/** Sends copies of tracked flows, and their ends, to the backups of their slots. */
class flow_copier
{
public:
    flow_copier(home_store &store, peer_exchange &exchange);

    /** Queues a flow that was just established or must keep its backend server. */
    void queueFlow(flow_hash hash) { m_newFlows.push_back(hash); }
    /** Queues the end of a flow if it was copied. */
    void queueFlowEnd(const tracked_flow &flow);

    /** Sends everything queued, except flows that have ended since. */
    void flush();

    /** Sends each slot's state and its flows on non-default servers to the peer given for it. */
    void copySlots(const std::unordered_map<slot_id, instance_id> &peers);

private:
    using batch_key = std::tuple<instance_id, service_id, backend_server_id>;
    using batches = std::map<batch_key, std::vector<flow_hash>>;

    void flushFlows();
    void flushEnds();
    void sendBatches(const batches &flows);

    home_store &m_store;
    peer_exchange &m_exchange;
    std::vector<flow_hash> m_newFlows;
    std::vector<std::pair<slot_id, std::uint32_t>> m_endedFlows;
};

/** Returns the peers that hold copies of a slot. */
std::vector<instance_id> copyHolders(const slot_home &home);

} // namespace ebonyway
