#include "connection/sync_round.h"

#include "connection/freshness.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

std::uint32_t sync_round::begin(time_point now)
{
    m_running = true;
    m_foundMarks = false;
    m_highestNote = {};
    m_startedAt = now;
    m_requestSessions.clear();
    m_answeredMembers.clear();
    return ++m_nonce;
}

bool sync_round::needsRequest(instance_id peer, std::uint32_t channelSession)
{
    const auto [asked, inserted] = m_requestSessions.try_emplace(peer, channelSession);
    if (inserted) {
        return true;
    }
    return !m_answeredMembers.contains(peer)
           && std::exchange(asked->second, channelSession) != channelSession;
}

bool sync_round::onAnswer(instance_id from, const sync_end &answer)
{
    if (!m_running || answer.nonce != m_nonce) {
        return false;
    }
    m_answeredMembers.insert(from);
    m_foundMarks |= answer.synchronised;
    m_highestNote = std::max(m_highestNote, answer.note);
    return true;
}

bool sync_round::isComplete(const cluster_view &cluster, duration freshnessLimit,
                            time_point now) const
{
    const bool waitedOut = now - m_startedAt > freshnessLimit;
    bool othersExist = false;
    for (const member &other : cluster.members) {
        if (other.id == cluster.self || other.state == member_state::Dead) {
            continue;
        }
        othersExist = true;
        const bool silent = waitedOut && !isFresh(other, now, freshnessLimit);
        if (!m_answeredMembers.contains(other.id) && !silent) {
            return false;
        }
    }
    if (othersExist) {
        return !m_answeredMembers.empty();
    }
    // The membership protocol may not have discovered the other members yet.
    return waitedOut;
}

} // namespace ebonyway
