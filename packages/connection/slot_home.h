#pragma once

#include "connection/slot_mark.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebonyway {

/** Phase of a slot's transition from one target to the next. */
enum class slot_phase : std::uint8_t {
    Announced, ///< Some instance may still route directly: all packets go to the default.
    Diverting, ///< First packets go to the target; unknown flows go to the default.
    Switched, ///< The default is the target; only flows on other servers stay tracked.
};

/** Role of an instance for a slot whose state it holds. */
enum class home_role : std::uint8_t {
    Active, ///< Makes the routing decisions for the slot.
    Backup, ///< Holds copies of the slot's flows; takes over when the home dies.
};

/** The part of a slot's home state that the home copies to its backup. */
struct slot_state
{
    slot_id slot;
    note_number note; ///< The note that chose the target.
    slot_mark mark; ///< The newest mark known to the home.
    backend_server_id defaultServer = NoBackendServer; ///< Where unknown flows go.
    backend_server_id target = NoBackendServer; ///< Where new flows go.
    slot_phase phase = slot_phase::Announced;

    bool operator==(const slot_state &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(slot, note, mark, defaultServer, target, phase);
    }
};

/**
 * State of one unsettled slot at its home or backup: phase, default server, target and the timers
 * between phases. Tracked flows are stored separately, in home_store.
 */
class slot_home
{
public:
    /** Holds a slot, new or received from another instance; the phase timers start at `now`. */
    slot_home(const slot_state &state, home_role role, time_point now);

    const slot_state &state() const { return m_state; }
    home_role role() const { return m_role; }
    bool isActive() const { return m_role == home_role::Active; }
    time_point openedAt() const { return m_openedAt; }

    /** Replaces the state with a newer copy from the home. */
    void replaceState(const slot_state &state);
    /** Makes this instance the home; the timers of the current phase restart. */
    void activate(time_point now);
    void becomeBackup() { m_role = home_role::Backup; }
    void setMark(slot_mark mark) { m_state.mark = mark; }

    /** Sets the target of a newer note. Returns whether the note was newer. */
    bool retarget(backend_server_id target, note_number note, time_point now);

    /** Sets whether every live instance relays the slot's packets to this home. */
    void setAllInstancesRelay(bool allInstances, time_point now);
    /** Restarts the timer of the phase. Called if a flow to the default server was not tracked. */
    void restartPhaseTimer(time_point now) { m_phaseSince = now; }
    /** Moves to the next phase if the timer has expired. Returns whether the phase changed. */
    bool advance(duration idleTimeout, time_point now);

    /**
     * Returns whether all first packets have passed through this home for longer than a caller
     * waits before its second SYN retransmission, so that an untracked SYN is the flow's first.
     */
    bool hasSeenAllFirstPackets(time_point now) const;

    /** Members whose reports of UDP flows have not arrived yet. */
    std::vector<instance_id> udpReportsMissing;
    bool udpRequested = false;
    bool udpComplete() const { return udpRequested && udpReportsMissing.empty(); }

    /** Instances that hold copies: the backup and, before a handover, the next home. */
    std::optional<instance_id> backup;
    std::optional<instance_id> nextHome;

    std::uint32_t trackedFlows = 0; ///< Tracked flows of the slot, including those on probation.
    std::uint32_t differingFlows = 0; ///< Tracked flows whose backend server is not the target.
    time_point deviationNeededAt{}; ///< When the target was last unable to take all new flows.

private:
    slot_state m_state;
    home_role m_role;
    time_point m_openedAt;
    time_point m_phaseSince;
    std::optional<time_point> m_allInstancesRelaySince;
};

} // namespace ebonyway
