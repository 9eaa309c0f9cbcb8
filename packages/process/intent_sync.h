#pragma once

#include "core/seeded_random.h"
#include "process/control_action.h"
#include "process/intent_snapshots.h"
#include "process/log_event.h"
#include "process/membership.h"
#include "process/note_history.h"
#include "process/platform_request.h"
#include "process/retry_policy.h"
#include "process/sync_message.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/** Ask a peer over the sync protocol. */
struct peer_order
{
    instance_id peer;
    sync_request request;
    duration timeout{};
};

/** Call the platform. */
struct platform_order
{
    platform_request request;
    duration timeout{};
};

using intent_order = std::variant<peer_order, platform_order, adopt_note, adopt_snapshot>;

/**
 * Brings this instance to the newest release note and never back. Notes come from a peer that
 * reports a higher number; if this instance is a watcher, also from the platform. At most one peer
 * request and one platform call are under way at a time.
 */
class intent_sync
{
public:
    intent_sync(instance_id self, const intent_snapshots &snapshots, std::uint64_t seed,
                time_point now);

    /** Sets whether this instance watches the platform for its failure domain. */
    void setWatcher(bool isWatcher, time_point now);

    /** Learns the note that a peer reports about itself. Reports forks. */
    void onPeerHead(instance_id peer, note_number number, const digest_prefix &digest);

    /** Starts what is due. */
    void onTick(const membership &members, time_point now);

    /** Takes the outcome of the peer request under way. */
    void onPeerResult(const result<sync_response> &outcome, time_point now);

    /** Takes the outcome of the platform call under way. */
    void onPlatformResult(const result<platform_answer> &outcome, time_point now);

    /** Answers a peer's request. */
    sync_response answer(const sync_request &request) const;

    std::vector<intent_order> takeOrders();
    std::vector<log_event> takeEvents();

    const note_history &history() const { return m_history; }

    /**
     * Why there is no intent: names what the peers and the platform answered. Empty once a note or
     * snapshot has been found.
     */
    std::optional<std::string> noSourceReason(const membership &members) const;

private:
    enum class platform_step {
        ListSnapshots,
        GetSnapshot,
        ListNotes,
        GetNote,
        Watch,
    };
    struct partial_content
    {
        note_number number;
        note_digest digest{};
        std::uint64_t size = 0;
        std::string bytes;
    };

    void askPeer(const membership &members, time_point now);
    std::optional<instance_id> choosePeer(const membership &members, time_point now);
    bool mayAsk(const member_record &record, const membership &members, time_point now) const;
    void giveUpPeer(instance_id peer, const std::string &reason, time_point now);
    status takeNotes(const notes_response &response);
    status takeNotePart(const note_part &part);
    status takeSnapshotPart(const snapshot_response &response);
    status adoptNote(note_number number, const note_digest &digest, std::string text);
    status adoptSnapshotBytes(note_number number, const std::optional<note_digest> &digest,
                              std::string bytes);
    void reportFork(instance_id peer, note_number number);
    notes_response answerNotes(const notes_request &request) const;
    snapshot_response answerSnapshot(const snapshot_request &request) const;

    void callPlatform(time_point now);
    platform_step nextStep() const;
    platform_request requestFor(platform_step step) const;
    status takeAnswer(platform_step step, const platform_answer &answer, time_point now);
    status takeListing(platform_step step, const platform_listing &listing, time_point now);
    status takeObject(platform_step step, const platform_object &object);

    instance_id m_self;
    const intent_snapshots &m_snapshots;
    seeded_random m_random;
    note_history m_history;
    std::vector<intent_order> m_orders;
    std::vector<log_event> m_events;

    std::optional<instance_id> m_askedPeer;
    std::uint64_t m_nonce = 0;
    time_point m_peerDeadline;
    time_point m_nextPeerRequest;
    std::optional<instance_id> m_informer; ///< Peer that last reported a higher note directly.
    std::map<instance_id, time_point> m_avoided; ///< Peers that failed, until when.
    std::map<instance_id, note_number> m_forked; ///< Peers on another chain, and the note.
    bool m_wantsSnapshot = false;
    partial_content m_partNote;
    partial_content m_partSnapshot;

    bool m_isWatcher = false;
    std::optional<platform_step> m_step; ///< Call under way.
    time_point m_callStarted;
    note_number m_requestedNote; ///< Note after the head when the call was started.
    time_point m_nextCall;
    retry_policy m_platformRetry;
    bool m_haveSnapshotsBeenListed = false;
    bool m_haveNotesBeenListed = false;
    note_number m_listedSnapshot;
    note_number m_listedNote; ///< Highest note that the platform has shown.
    std::uint64_t m_revision = 0;
    std::string m_platformProblem = "not asked yet";
};

} // namespace ebonyway
