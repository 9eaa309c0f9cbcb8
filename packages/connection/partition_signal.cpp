#include "connection/partition_signal.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Window of the ratio; includes the first two SYN retransmissions, at 1 s and 3 s. */
constexpr duration Window = 10s;
/** Younger flows may still retransmit their SYN and are not counted. */
constexpr duration RetransmissionTime = 1500ms;
/** Copies that are closer together are network duplicates, not retransmissions. */
constexpr duration DuplicateSynWindow = 500ms;
constexpr double OwnCallerRatio = 0.9;
constexpr std::size_t MinimumFlows = 20;
/** Limits memory during a SYN flood; the ratio of the recorded flows stays valid. */
constexpr std::size_t MaximumFlows = 4096;

} // namespace

void partition_signal::onHeld(flow_hash hash, time_point now)
{
    expire(now);
    const auto found = m_held.find(hash);
    if (found != m_held.end()) {
        // Only the retransmission after 1 s counts: with a shared fabric, one of the later copies
        // arrives here anyway.
        const duration gap = now - found->second.firstCopy;
        found->second.retransmitted |= gap >= DuplicateSynWindow && gap < RetransmissionTime;
        return;
    }
    if (m_held.size() >= MaximumFlows) {
        return;
    }
    m_held.emplace(hash, held_flow{now, false});
    m_order.emplace_back(now, hash);
}

bool partition_signal::hasOwnCallers(time_point now)
{
    expire(now);
    std::size_t first = 0;
    std::size_t second = 0;
    for (const auto &[hash, flow] : m_held) {
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
    m_held.clear();
    m_order.clear();
}

void partition_signal::expire(time_point now)
{
    while (!m_order.empty() && now - m_order.front().first > Window) {
        m_held.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace ebonyway
