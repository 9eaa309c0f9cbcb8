#include "connection/partition_signal.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Time for which a flow is recorded; covers the first two SYN retransmissions, at 1 s and 3 s. */
constexpr duration Window = 10s;
/**
 * Time after the first copy of a SYN within which its first retransmission arrives. Flows that are
 * younger than this are not counted.
 */
constexpr duration RetransmissionTime = 1500ms;
/** Copies of a SYN that are closer together are network duplicates, not retransmissions. */
constexpr duration DuplicateSynWindow = 500ms;
/** Minimum ratio of retransmitted flows that shows callers that reach only this side. */
constexpr double OwnCallerRatio = 0.9;
/** Minimum number of flows for the ratio to be used. */
constexpr std::size_t MinimumFlows = 20;
/**
 * Maximum number of recorded flows. Limits memory during a SYN flood; the ratio of the recorded
 * flows stays valid.
 */
constexpr std::size_t MaximumFlows = 4096;

} // namespace

void partition_signal::onHeld(flow_hash hash, time_point now)
{
    expire(now);
    const auto found = m_heldFlows.find(hash);
    if (found != m_heldFlows.end()) {
        // Only the retransmission after 1 s counts: with a shared fabric, one of the later copies
        // arrives here anyway.
        const duration gap = now - found->second.firstCopy;
        found->second.retransmitted |= gap >= DuplicateSynWindow && gap < RetransmissionTime;
        return;
    }
    if (m_heldFlows.size() >= MaximumFlows) {
        return;
    }
    m_heldFlows.emplace(hash, held_flow{now, false});
    m_flowsByArrival.emplace_back(now, hash);
}

bool partition_signal::hasOwnCallers(time_point now)
{
    expire(now);
    std::size_t first = 0;
    std::size_t second = 0;
    for (const auto &[hash, flow] : m_heldFlows) {
        if (now - flow.firstCopy < RetransmissionTime) {
            continue;
        }
        ++first;
        second += flow.retransmitted ? 1 : 0;
    }
    const double needed = OwnCallerRatio * static_cast<double>(first);
    return first >= MinimumFlows && static_cast<double>(second) >= needed;
}

void partition_signal::clear()
{
    m_heldFlows.clear();
    m_flowsByArrival.clear();
}

void partition_signal::expire(time_point now)
{
    while (!m_flowsByArrival.empty() && now - m_flowsByArrival.front().first > Window) {
        m_heldFlows.erase(m_flowsByArrival.front().second);
        m_flowsByArrival.pop_front();
    }
}

} // namespace ebonyway
