#pragma once

#include "process/fenced_object.h"
#include "process/intent_snapshots.h"
#include "process/lease.h"
#include "process/membership.h"
#include "process/platform_request.h"
#include "process/retry_policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ebonyway {

/** Notes between two snapshots in the platform. A starting instance folds at most this many. */
constexpr std::uint64_t NotesPerSnapshot = 64;

/**
 * Work that one instance does for the deployment while it holds the lease: it writes the status of
 * each failure domain and a snapshot every NotesPerSnapshot notes. Two holders do no harm: status
 * objects are fenced, and snapshots are created once with bytes that depend only on the note.
 */
class singleton_work
{
public:
    singleton_work(instance_id self, const intent_snapshots &snapshots, std::uint64_t seed,
                   time_point now);

    /** Sets whether this instance should try to hold the lease. */
    void setCandidate(bool isCandidate);

    /** Returns the next platform call, if one is due and none is under way. */
    std::optional<platform_request> nextCall(const membership &members, time_point now);

    /** Takes the outcome of the call under way. */
    void onResult(const result<platform_answer> &outcome, time_point now);

    bool holdsLease(time_point now) const { return m_lease.isHeld(now); }

private:
    enum class call_owner {
        None,
        Lease,
        Status,
        SnapshotList,
        SnapshotWrite,
    };

    void updateStatus(const membership &members, time_point now);
    std::optional<platform_request> nextStatusCall();
    std::optional<platform_request> nextSnapshotCall();
    void restartWrites();
    void onSnapshotResult(const result<platform_answer> &outcome);

    const intent_snapshots &m_snapshots;
    lease m_lease;
    retry_policy m_retry;
    call_owner m_owner = call_owner::None;
    std::map<std::string, fenced_object> m_status; ///< By failure domain.
    std::string m_statusUnderWay;
    time_point m_nextStatus;
    time_point m_nextWork;
    std::uint64_t m_listedEpoch = 0; ///< Epoch in which the snapshots were listed.
    note_number m_snapshotNote; ///< Highest snapshot known to be stored.
    note_number m_snapshotUnderWay;
};

} // namespace ebonyway
