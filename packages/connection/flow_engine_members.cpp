#include "connection/flow_engine.h"
#include "version/route_plan.h"

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** How long a dead member stays in the assignment, so that the backup stays home of its slots. */
constexpr duration TombstoneTime = 60s;

bool isOwnerState(member_state state)
{
    return state == member_state::Ready || state == member_state::Suspect;
}

} // namespace

const member *flow_engine::findMember(instance_id id) const
{
    const std::uint16_t index = memberIndex(id);
    return index == settled_route::NoHome ? nullptr : &m_cluster.members[index];
}

const member *flow_engine::selfMember() const
{
    return findMember(m_options.self);
}

bool flow_engine::isAlive(instance_id id) const
{
    const member *known = findMember(id);
    return known != nullptr && known->state != member_state::Dead;
}

void flow_engine::updateCluster(const cluster_view &cluster, time_point now)
{
    m_now = now;
    const member *selfBefore = selfMember();
    const bool wasOwner = selfBefore != nullptr && isOwnerState(selfBefore->state);
    const std::vector<failure_domain_id> cutBefore = m_cluster.suspectedPartitions;
    m_cluster = cluster;
    for (const member &other : m_cluster.members) {
        if (other.state == member_state::Leaving) {
            m_leavingMembers.insert(other.id);
        } else if (other.state != member_state::Dead) {
            m_leavingMembers.erase(other.id);
        }
        if (other.state == member_state::Dead && other.id != m_options.self) {
            m_exchange.erase(other.id);
            m_handledResetCounts.erase(other.id);
            m_membersStreamedFrom.erase(other.id);
        }
        m_unlistedPeers.erase(other.id);
    }
    const member *self = selfMember();
    if (self != nullptr && self->state == member_state::Leaving && m_leavingSince == time_point{}) {
        m_leavingSince = now;
    }
    if (wasOwner && self != nullptr && self->state == member_state::Joining) {
        // The peers declared this instance dead, and its backups have taken over its slots.
        discardHomes();
        beginSync(now);
    }
    if (isJoinedMember()) {
        m_homesDiscarded = false;
    }
    onDomainsHealed(cutBefore, now);
    if (!m_synchronised && !m_sync.isRunning()) {
        beginSync(now);
    }
    refreshUsableServers();
    refreshAssignment(now);
    refreshFreshness();
}

void flow_engine::onDomainsHealed(const std::vector<failure_domain_id> &cutBefore, time_point now)
{
    bool healed = false;
    for (const member &other : m_cluster.members) {
        const bool wasCut = std::find(cutBefore.begin(), cutBefore.end(), other.failureDomain)
                            != cutBefore.end();
        if (!wasCut || isDomainCutOff(other.failureDomain) || other.state == member_state::Dead) {
            continue;
        }
        // The other side may have changed marks; fetch them before its slots are routed.
        m_membersWithUnknownMarks.insert(other.id);
        healed = true;
    }
    if (!healed) {
        return;
    }
    m_partitionSignal.clear();
    m_hasOwnCallers = false;
    if (m_synchronised) {
        m_sync.begin(now);
        advanceSync(now);
    }
    refreshAllSlots();
}

void flow_engine::refreshAssignment(time_point now)
{
    std::vector<home_candidate> candidates;
    for (const member &other : m_cluster.members) {
        if (isOwnerState(other.state)) {
            candidates.push_back({other.id, other.failureDomain, candidate_role::Eligible});
        } else if (other.state == member_state::Dead && !m_leavingMembers.contains(other.id)
                   && now - other.stateSince < TombstoneTime) {
            candidates.push_back({other.id, other.failureDomain, candidate_role::Tombstone});
        }
    }
    if (candidates == m_assignment.candidates()) {
        return;
    }
    m_formerAssignment = std::move(m_assignment);
    m_assignedAt = now;
    m_declinedHandovers.clear();
    m_assignment = home_assignment(std::move(candidates), m_hash, m_options.placement);
    onAssignmentChanged(now);
}

void flow_engine::onAssignmentChanged(time_point now)
{
    m_homeSharesOutdated = true;
    if (m_plan) {
        for (const slot_id slot : m_unsettledSlots) {
            const slot_home *home = m_store.find(slot);
            const bool active = home != nullptr && home->isActive();
            if (!active && m_assignment.owners(slot).home == m_options.self) {
                awaitHandover(slot);
            }
        }
        refreshAllSlots();
    }
    m_settledRoute.setValidUntil(now + m_options.freshnessLimit);
}

bool flow_engine::isJoinedMember() const
{
    const member *self = selfMember();
    return self != nullptr && isOwnerState(self->state);
}

void flow_engine::refreshFreshness()
{
    std::vector<settled_route::home_entry> homes;
    homes.reserve(m_cluster.members.size());
    for (const member &other : m_cluster.members) {
        const bool self = other.id == m_options.self;
        const bool cutOff = !self && isDomainCutOff(other.failureDomain);
        const time_point until =
                cutOff ? time_point::min() : other.lastHeard + m_options.freshnessLimit;
        homes.push_back({other.id, self ? time_point::max() : until});
    }
    m_settledRoute.setHomes(std::move(homes));
}

void flow_engine::updateIsolation(time_point now)
{
    bool others = false;
    bool heard = false;
    for (const member &other : m_cluster.members) {
        if (other.id == m_options.self || other.state == member_state::Dead) {
            continue;
        }
        others = true;
        heard |= isFresh(other, now, m_options.freshnessLimit);
    }
    if (m_cluster.suspectedPartitions.empty()) {
        m_hasOwnCallers = false;
    } else if (!m_hasOwnCallers) {
        // Once this side serves, it holds back no packets that the signal could be computed from,
        // so a positive result is kept until the partition ends.
        m_hasOwnCallers = m_partitionSignal.hasOwnCallers(now);
    }
    m_isolated = others && !heard && !m_hasOwnCallers;
}

std::optional<instance_id> flow_engine::actingHome(slot_id slot) const
{
    const std::optional<instance_id> home = m_assignment.owners(slot).home;
    const member *homeMember = home ? findMember(*home) : nullptr;
    if (homeMember != nullptr && !isDomainCutOff(homeMember->failureDomain)) {
        return home;
    }
    return m_assignment.firstOutside(slot, m_cluster.suspectedPartitions);
}

void flow_engine::discardHomes()
{
    if (m_homesDiscarded) {
        // State received since then belongs to the coming rejoin and must be kept.
        return;
    }
    m_homesDiscarded = true;
    m_store.clear();
    m_pendingHandovers.clear();
    m_markDeliveries.clear();
    m_membersStreamedFrom.clear();
    m_copiesToDrop.clear();
}

void flow_engine::beginSync(time_point now)
{
    m_sync.begin(now);
    m_synchronised = false;
    refreshAllSlots();
    advanceSync(now);
}

void flow_engine::advanceSync(time_point now)
{
    if (!m_sync.isRunning()) {
        return;
    }
    for (const member &other : m_cluster.members) {
        if (other.id == m_options.self || other.state == member_state::Dead) {
            continue;
        }
        const peer_channel &channel = m_exchange.channel(other.id);
        if (m_sync.needsRequest(other.id, channel.session() + channel.resetCount())) {
            m_exchange.send(other.id, mark_sync_request{m_sync.nonce()});
        }
    }
    if (m_sync.isComplete(m_cluster, m_options.freshnessLimit, now)) {
        finishSync(now);
    }
}

void flow_engine::finishSync(time_point now)
{
    const note_number note = m_plan ? m_plan->currentIntent().number : note_number{};
    if (note < m_sync.highestNote()) {
        return;
    }
    m_sync.finish();
    if (!m_synchronised) {
        m_synchronisedAt = now;
    }
    m_synchronised = true;
    m_membersWithUnknownMarks.clear();
    if (!m_sync.foundMarks() && m_plan) {
        // The whole deployment has just started, so no instance has any flow.
        for (const service &current : m_plan->currentIntent().services) {
            m_marks.setBase(current.id, note);
        }
    }
    refreshAllSlots();
}

} // namespace ebonyway
