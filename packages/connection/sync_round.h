#pragma once

#include "connection/cluster_view.h"
#include "connection/engine_message.h"

#include <map>
#include <set>

namespace ebonyway {

/**
 * One round in which an instance requests the slot marks of all members, after a start, a process
 * pause or the end of a partition. Until the round is over, the instance does not route by its own
 * state.
 */
class sync_round
{
public:
    /** Starts a round and returns the nonce of its requests. */
    std::uint32_t begin(time_point now);
    bool isRunning() const { return m_running; }
    std::uint32_t nonce() const { return m_nonce; }
    void finish() { m_running = false; }

    /**
     * Returns whether a request must be sent to the member, and records it as sent. A request is
     * lost when the channel to the member is reset, and is then repeated.
     */
    bool needsRequest(instance_id peer, std::uint32_t channelSession);
    /** Records an answer and returns whether it belongs to this round. */
    bool onAnswer(instance_id from, const sync_end &answer);

    /** Returns whether every member that is alive has answered. */
    bool isComplete(const cluster_view &cluster, duration freshnessLimit, time_point now) const;
    /** Returns whether an answering member knew all marks. */
    bool foundMarks() const { return m_foundMarks; }
    /** Returns the highest note that an answering member has adopted. */
    note_number highestNote() const { return m_highestNote; }

private:
    bool m_running = false;
    bool m_foundMarks = false;
    std::uint32_t m_nonce = 0;
    note_number m_highestNote;
    time_point m_startedAt{};
    std::map<instance_id, std::uint32_t> m_requestSessions; ///< Channel session of the request.
    std::set<instance_id> m_answeredMembers;
};

} // namespace ebonyway
