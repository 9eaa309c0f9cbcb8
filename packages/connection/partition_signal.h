#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <deque>
#include <unordered_map>

namespace ebonyway {

/**
 * Distinguishes a failure domain that is cut off together with its own callers from one that still
 * shares the fabric with the other side. During a suspected partition, this side holds back first
 * packets for slots of the other side. Callers that reach only this side retransmit their SYN here,
 * so that the ratio of second to first copies is near 1. With a shared fabric, the ratio is at most
 * the fraction of instances on this side.
 */
class partition_signal
{
public:
    /** Records a held-back SYN. A copy 0.5 s to 1.5 s after the first is a retransmission. */
    void onHeld(flow_hash hash, time_point now);

    /** Returns whether the held packets come from callers that reach only this side. */
    bool hasOwnCallers(time_point now);

    /** Discards all recorded packets; called when the partition has ended. */
    void clear();

private:
    struct held_flow
    {
        time_point firstCopy;
        bool retransmitted = false;
    };

    void expire(time_point now);

    std::unordered_map<flow_hash, held_flow> m_heldFlows;
    std::deque<std::pair<time_point, flow_hash>> m_flowsByArrival;
};

} // namespace ebonyway
