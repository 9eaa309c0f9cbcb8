#include "connection/slot_home.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/**
 * Delay between the moment when all instances relay to the home and the first new flow on the new
 * target. A SYN that an instance forwarded directly before is retransmitted after 1 s (RFC 6298);
 * the retransmission must still reach the old target.
 */
constexpr duration SynRetransmissionGuard = 1200ms;
/** Margin added to the idle timeout for relay latency and the coarse resolution of flow times. */
constexpr duration IdleTimeoutMargin = 2s;
/**
 * Time for which all instances must have relayed to the home before an untracked SYN is taken as
 * the first of its flow. Longer than the 3 s after which a caller sends its second SYN
 * retransmission.
 */
constexpr duration FirstPacketObservationTime = 3500ms;

} // namespace

slot_home::slot_home(const slot_state &state, home_role role, time_point now)
    : m_state(state)
    , m_role(role)
    , m_openedAt(now)
    , m_phaseSince(now)
{
    if (state.phase != slot_phase::Announced) {
        m_allInstancesRelaySince = now;
    }
}

void slot_home::replaceState(const slot_state &state)
{
    m_state = state;
}

void slot_home::activate(time_point now)
{
    m_role = home_role::Active;
    m_phaseSince = now;
    m_allInstancesRelaySince.reset();
    if (m_state.phase != slot_phase::Announced) {
        m_allInstancesRelaySince = now;
    }
    udpRequested = false;
    udpReportsMissing.clear();
    backup.reset();
    nextHome.reset();
}

bool slot_home::retarget(backend_server_id target, note_number note, time_point now)
{
    if (note <= m_state.note) {
        return false;
    }
    m_state.note = note;
    if (target == m_state.target) {
        return true;
    }
    m_state.target = target;
    m_phaseSince = now;
    if (m_state.phase == slot_phase::Switched) {
        m_state.phase = slot_phase::Diverting;
    }
    return true;
}

void slot_home::setAllInstancesRelay(bool allInstances, time_point now)
{
    if (m_state.phase != slot_phase::Announced) {
        return;
    }
    if (!allInstances) {
        m_allInstancesRelaySince.reset();
    } else if (!m_allInstancesRelaySince) {
        m_allInstancesRelaySince = now;
    }
}

bool slot_home::advance(duration idleTimeout, time_point now)
{
    switch (m_state.phase) {
    case slot_phase::Announced:
        if (!m_allInstancesRelaySince || now - *m_allInstancesRelaySince < SynRetransmissionGuard) {
            return false;
        }
        m_state.phase = m_state.defaultServer == m_state.target ? slot_phase::Switched
                                                                : slot_phase::Diverting;
        m_phaseSince = now;
        return true;
    case slot_phase::Diverting:
        if (now - m_phaseSince < idleTimeout + IdleTimeoutMargin) {
            return false;
        }
        m_state.defaultServer = m_state.target;
        m_state.phase = slot_phase::Switched;
        m_phaseSince = now;
        return true;
    case slot_phase::Switched:
        return false;
    }
    return false;
}

bool slot_home::hasSeenAllFirstPackets(time_point now) const
{
    return m_allInstancesRelaySince
           && now - *m_allInstancesRelaySince >= FirstPacketObservationTime;
}

} // namespace ebonyway
