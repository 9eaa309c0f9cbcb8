#include "connection/admission_policy.h"
#include "connection/flow_engine.h"
#include "version/route_plan.h"

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Time after a change of homes during which a slot's former home may not know of it yet. */
constexpr duration HandoverPeriod = 5s;
/** Time for which the target must have been able to take all new flows before a slot settles. */
constexpr duration DeviationHoldTime = 3s;
constexpr duration DeviationCheckInterval = 500ms;
constexpr duration HandoverRequestInterval = 300ms;
/** Interval for opening slots as acting home during a partition. */
constexpr duration ActingCheckInterval = 5s;
/** Interval for dropping copies that arrived after their slot had settled or moved. */
constexpr duration StaleCopyInterval = 5s;
/** Idle timeout of a flow whose caller has sent FIN, as for half-closed connections. */
constexpr duration ClosingTimeout = 120s;
/** Idle timeout of flows on probation; covers the first four SYN retransmissions. */
constexpr duration ProbationTimeout = 15s;
/**
 * Number of table entries checked for expiry per tick. The table of the default options has
 * 1,048,576 entries, so that a full pass takes 256 ticks: 12.8 s at a tick of 50 ms.
 */
constexpr std::size_t SweepEntriesPerTick = 4096;

duration idleTimeoutOf(const route_plan &plan, service_id id)
{
    const service *known = findService(plan.currentIntent(), id);
    return known == nullptr ? duration{} : duration{known->idleTimeout};
}

} // namespace

void flow_engine::adoptPlan(std::shared_ptr<const route_plan> plan, time_point now)
{
    const intent &next = plan->currentIntent();
    if (m_plan && next.number <= m_plan->currentIntent().number) {
        return;
    }
    const std::shared_ptr<const route_plan> previousPlan = std::move(m_plan);
    m_plan = std::move(plan);
    if (m_synchronised) {
        for (const service &current : next.services) {
            if (!previousPlan || previousPlan->slotTable(current.id) == nullptr) {
                m_marks.setBase(current.id, next.number);
            }
        }
    }
    std::erase_if(m_drainingSince, [&](const auto &entry) {
        const backend_server *server = findBackendServer(next, entry.first);
        return server == nullptr || !server->draining;
    });
    for (const backend_server &server : next.backendServers) {
        if (server.draining) {
            m_drainingSince.try_emplace(server.id, now);
        }
    }
    m_admission.adoptIntent(next, now);
    m_settledRoute.setPlan(*m_plan);
    refreshUsableServers();
    retargetHomes(now);
    refreshAllSlots();
    m_homeSharesOutdated = true;
}

void flow_engine::retargetHomes(time_point now)
{
    std::unordered_set<slot_id> withdrawn;
    std::unordered_set<slot_id> changed;
    for (auto &[slot, home] : m_store.homes()) {
        if (!hasSlot(slot)) {
            withdrawn.insert(slot);
            continue;
        }
        const slot_table &table = *m_plan->slotTable(slot.service);
        if (home.isActive()
            && home.retarget(table.targets[slot.index], table.changedAt[slot.index], now)) {
            changed.insert(slot);
        }
    }
    m_store.drop(withdrawn);
    for (const slot_id slot : withdrawn) {
        m_marks.eraseService(slot.service);
    }
    m_store.recountDiffering(changed);
    for (const slot_id slot : changed) {
        sendState(*m_store.find(slot));
    }
}

void flow_engine::sendState(const slot_home &home)
{
    for (const instance_id holder : copyHolders(home)) {
        m_exchange.send(holder, state_record{state_purpose::Copy, home.state()});
    }
}

bool flow_engine::hasSlot(slot_id slot) const
{
    const slot_table *table = m_plan ? m_plan->slotTable(slot.service) : nullptr;
    return table != nullptr && slot.index < table->targets.size();
}

bool flow_engine::isSettled(slot_id slot) const
{
    const std::optional<slot_mark> mark = m_marks.find(slot);
    if (!mark || mark->isDeviating() || mark->note > m_plan->currentIntent().number) {
        return false;
    }
    return m_plan->slotTable(slot.service)->changedAt[slot.index] <= mark->note;
}

bool flow_engine::lacksMarks(slot_id slot) const
{
    if (m_membersWithUnknownMarks.empty()) {
        return false;
    }
    const std::optional<instance_id> home = m_assignment.owners(slot).home;
    return !home || *home == m_options.self || m_membersWithUnknownMarks.contains(*home);
}

void flow_engine::refreshSlot(slot_id slot)
{
    if (!hasSlot(slot)) {
        return;
    }
    const slot_home *home = m_store.find(slot);
    const bool active = home != nullptr && home->isActive();
    if (isSettled(slot)) {
        m_unsettledSlots.erase(slot);
    } else {
        m_unsettledSlots.insert(slot);
    }
    const std::optional<instance_id> assignedHome = m_assignment.owners(slot).home;
    const bool settled = isSettled(slot) && !lacksMarks(slot);
    settled_route::slot_entry entry;
    entry.target = m_plan->slotTable(slot.service)->targets[slot.index];
    entry.home = assignedHome ? memberIndex(*assignedHome) : settled_route::NoHome;
    const bool relays = assignedHome && *assignedHome != m_options.self;
    if (m_synchronised && !active && settled) {
        entry.flags = settled_route::slot_entry::Settled;
    } else if (m_synchronised && !active && relays) {
        entry.flags = settled_route::slot_entry::RelayHome;
    }
    m_settledRoute.setSlot(slot, entry);
}

std::uint16_t flow_engine::memberIndex(instance_id id) const
{
    const auto &members = m_cluster.members;
    const auto found = std::lower_bound(
            members.begin(), members.end(), id,
            [](const member &other, instance_id wanted) { return other.id < wanted; });
    if (found == members.end() || found->id != id) {
        return settled_route::NoHome;
    }
    return static_cast<std::uint16_t>(found - members.begin());
}

void flow_engine::refreshAllSlots()
{
    if (!m_plan) {
        return;
    }
    m_unsettledSlots.clear();
    for (const service &current : m_plan->currentIntent().services) {
        const slot_table *table = m_plan->slotTable(current.id);
        if (table == nullptr) {
            continue;
        }
        for (std::size_t index = 0; index < table->targets.size(); ++index) {
            refreshSlot({current.id, static_cast<std::uint16_t>(index)});
        }
    }
}

std::optional<slot_state> flow_engine::initialState(slot_id slot) const
{
    const slot_table &table = *m_plan->slotTable(slot.service);
    slot_state state;
    state.slot = slot;
    state.note = table.changedAt[slot.index];
    state.target = table.targets[slot.index];
    state.defaultServer = state.target;
    if (const std::optional<slot_mark> mark = m_marks.find(slot)) {
        if (mark->note > m_plan->currentIntent().number) {
            return std::nullopt;
        }
        state.mark = *mark;
        // If the target at the mark's note is unknown, there is no default server, and untracked
        // flows are given up: sending them to another server could run a request twice.
        state.defaultServer = table.targetAt(slot.index, mark->note).value_or(NoBackendServer);
    }
    return state;
}

slot_home *flow_engine::openHome(slot_id slot, time_point now)
{
    slot_home *held = m_store.find(slot);
    if (held != nullptr) {
        takeOver(*held, now);
        return held;
    }
    const std::optional<slot_state> state = initialState(slot);
    if (!state) {
        return nullptr;
    }
    slot_home &home = m_store.open(*state, home_role::Active, now);
    refreshSlot(slot);
    return &home;
}

void flow_engine::takeOver(slot_home &home, time_point now)
{
    const slot_id slot = home.state().slot;
    home.activate(now);
    m_pendingHandovers.erase(slot);
    if (const std::optional<slot_mark> mark = m_marks.find(slot);
        mark && *mark > home.state().mark) {
        home.setMark(*mark);
    }
    if (hasSlot(slot)) {
        const slot_table &table = *m_plan->slotTable(slot.service);
        home.retarget(table.targets[slot.index], table.changedAt[slot.index], now);
    }
    m_takenOverSlots.insert(slot);
    refreshSlot(slot);
}

void flow_engine::setMark(slot_home &home, slot_mark mark)
{
    const slot_id slot = home.state().slot;
    home.setMark(mark);
    m_marks.merge(slot, mark);
    std::vector<mark_delivery> deliveries;
    const auto announce = [&](instance_id peer) {
        m_exchange.send(peer, mark_record{slot, mark});
        peer_channel &channel = m_exchange.channel(peer);
        deliveries.push_back({peer, channel.lastSequence(), channel.resetCount()});
    };
    for (const member &other : m_cluster.members) {
        if (other.id != m_options.self && other.state != member_state::Dead) {
            announce(other.id);
        }
    }
    for (const instance_id peer : m_unlistedPeers) {
        announce(peer);
    }
    if (mark.isDeviating()) {
        m_markDeliveries[slot] = std::move(deliveries);
    } else {
        m_markDeliveries.erase(slot);
    }
}

void flow_engine::settle(slot_home &home)
{
    const slot_state &state = home.state();
    slot_mark next{state.note, 0};
    if (next <= state.mark) {
        next = {state.mark.note, (state.mark.epoch + 1) & ~1U};
    }
    if (next != state.mark) {
        setMark(home, next);
    }
}

bool flow_engine::allInstancesRelay(const slot_home &home, time_point now)
{
    const bool adopted = std::all_of(
            m_cluster.members.begin(), m_cluster.members.end(), [&](const member &other) {
                return other.id == m_options.self || other.adoptedNote >= home.state().note
                       || !isFresh(other, now, m_options.freshnessLimit);
            });
    return adopted && (!home.state().mark.isDeviating() || isMarkDelivered(home, now));
}

bool flow_engine::isMarkDelivered(const slot_home &home, time_point now)
{
    const auto found = m_markDeliveries.find(home.state().slot);
    if (found == m_markDeliveries.end()) {
        return true;
    }
    std::erase_if(found->second, [&](mark_delivery &delivery) {
        const member *peer = findMember(delivery.peer);
        if (peer != nullptr && !isFresh(*peer, now, m_options.freshnessLimit)) {
            return true;
        }
        peer_channel &channel = m_exchange.channel(delivery.peer);
        if (channel.resetCount() != delivery.resetCount) {
            channel.enqueue(mark_record{home.state().slot, home.state().mark});
            delivery = {delivery.peer, channel.lastSequence(), channel.resetCount()};
        }
        return channel.isAcknowledged(delivery.sequence);
    });
    return found->second.empty();
}

void flow_engine::onTick(time_point now)
{
    m_now = now;
    if (m_clock.hasJumped(now)) {
        beginSync(now);
    }
    m_settledRoute.setValidUntil(now + m_options.freshnessLimit);
    refreshAssignment(now);
    updateIsolation(now);
    advanceSync(now);
    if (m_plan) {
        m_udpReporter.advance(*m_plan, now);
    }
    if (!m_plan || !m_synchronised) {
        return;
    }
    dropStaleCopies(now);
    requestHandovers(now);
    openDueHomes(now);
    checkDeviations(now);
    openActingHomes(now);
    advanceHomes(now);
    sendUdpRequests(now);
    expireFlows(now);
    if (now - m_copiedAt >= m_options.copyInterval) {
        m_copiedAt = now;
        m_copier.flush();
    }
    maintainCopies(now);
    streamToJoiners(now);
    moveHomes(now);
    updateHomeShares(now);
}

void flow_engine::openDueHomes(time_point now)
{
    std::vector<slot_id> due;
    for (const slot_id slot : m_unsettledSlots) {
        const slot_home *home = m_store.find(slot);
        const bool active = home != nullptr && home->isActive();
        if (!active && m_membersWithUnknownMarks.empty() && !m_pendingHandovers.contains(slot)
            && m_assignment.owners(slot).home == m_options.self) {
            due.push_back(slot);
        }
    }
    for (const slot_id slot : due) {
        if (!awaitHandover(slot)) {
            openHome(slot, now);
        }
    }
    if (!m_takenOverSlots.empty()) {
        m_store.recountDiffering(m_takenOverSlots);
        m_store.touch(m_takenOverSlots, now);
        m_takenOverSlots.clear();
    }
}

bool flow_engine::awaitHandover(slot_id slot)
{
    if (m_now - m_assignedAt > HandoverPeriod) {
        return false;
    }
    const std::optional<instance_id> formerHome = m_formerAssignment.owners(slot).home;
    if (!formerHome || *formerHome == m_options.self || !isAlive(*formerHome)
        || m_declinedHandovers.contains({slot, *formerHome})) {
        return false;
    }
    m_pendingHandovers.emplace(slot, pending_handover{*formerHome, {}});
    return true;
}

void flow_engine::requestHandovers(time_point now)
{
    for (auto entry = m_pendingHandovers.begin(); entry != m_pendingHandovers.end();) {
        auto &[slot, awaited] = *entry;
        if (!isAlive(awaited.formerHome) || m_assignment.owners(slot).home != m_options.self) {
            entry = m_pendingHandovers.erase(entry);
            continue;
        }
        if (now - awaited.requestedAt >= HandoverRequestInterval) {
            awaited.requestedAt = now;
            m_exchange.send(awaited.formerHome, handover_request{slot});
        }
        ++entry;
    }
}

void flow_engine::advanceHomes(time_point now)
{
    std::unordered_set<slot_id> switchedSlots;
    std::unordered_set<slot_id> settled;
    std::unordered_map<slot_id, std::vector<instance_id>> flips;
    for (auto &[slot, home] : m_store.homes()) {
        if (!home.isActive() || !hasSlot(slot)) {
            continue;
        }
        home.setAllInstancesRelay(allInstancesRelay(home, now), now);
        requestUdpReports(home, now);
        const slot_phase before = home.state().phase;
        const bool waitsForReports = before == slot_phase::Diverting && !home.udpComplete();
        if (!waitsForReports && home.advance(idleTimeoutOf(*m_plan, slot.service), now)) {
            if (before == slot_phase::Diverting) {
                switchedSlots.insert(slot);
            } else {
                sendState(home);
            }
        }
        const bool deviationHoldExpired = now - home.deviationNeededAt >= DeviationHoldTime;
        if (home.state().phase == slot_phase::Switched && home.differingFlows == 0
            && deviationHoldExpired && m_assignment.owners(slot).home == m_options.self
            && !switchedSlots.contains(slot)) {
            settled.insert(slot);
        }
    }
    switchDefaultServers(switchedSlots);
    for (const slot_id slot : settled) {
        settle(*m_store.find(slot));
    }
    m_store.drop(settled);
    for (const slot_id slot : settled) {
        refreshSlot(slot);
    }
}

void flow_engine::switchDefaultServers(const std::unordered_set<slot_id> &switchedSlots)
{
    if (switchedSlots.empty()) {
        return;
    }
    // Flows on the old default are copied before the new default, so that the backup has them all.
    m_store.flows().forEach([&](tracked_flow &flow) {
        if (switchedSlots.contains(flow.slot) && !flow.has(tracked_flow::Copied)
            && !flow.has(tracked_flow::Probation)
            && flow.backendServer != m_store.find(flow.slot)->state().target) {
            m_copier.queueFlow(flow.hash);
        }
    });
    m_copier.flush();
    for (const slot_id slot : switchedSlots) {
        sendState(*m_store.find(slot));
    }
    m_store.forgetFlowsAtTarget(switchedSlots);
}

void flow_engine::requestUdpReports(slot_home &home, time_point now)
{
    const slot_id slot = home.state().slot;
    if (home.udpRequested) {
        std::erase_if(home.udpReportsMissing, [&](instance_id peer) {
            const member *other = findMember(peer);
            return other == nullptr || !isFresh(*other, now, m_options.freshnessLimit);
        });
        return;
    }
    const service *known = findService(m_plan->currentIntent(), slot.service);
    if (known == nullptr || known->protocol != transport_protocol::Udp) {
        home.udpRequested = true;
        return;
    }
    if (!allInstancesRelay(home, now)) {
        return;
    }
    home.udpRequested = true;
    for (const member &other : m_cluster.members) {
        if (other.id != m_options.self && isFresh(other, now, m_options.freshnessLimit)) {
            home.udpReportsMissing.push_back(other.id);
        }
    }
    m_udpRequestsDue.push_back(slot);
}

void flow_engine::sendUdpRequests(time_point now)
{
    std::map<service_id, std::vector<std::uint16_t>> services;
    for (const slot_id slot : m_udpRequestsDue) {
        services[slot.service].push_back(slot.index);
    }
    m_udpRequestsDue.clear();
    for (const auto &[service, slots] : services) {
        for (std::size_t begin = 0; begin < slots.size(); begin += RecordListLimit) {
            const std::size_t end = std::min(slots.size(), begin + RecordListLimit);
            udp_request request{m_plan->currentIntent().number, service, {}};
            request.slots.assign(slots.begin() + begin, slots.begin() + end);
            for (const member &other : m_cluster.members) {
                if (other.id != m_options.self && isFresh(other, now, m_options.freshnessLimit)) {
                    m_exchange.send(other.id, request);
                }
            }
        }
        for (const flow_hash hash : seenInSlots(m_seenUdp, *m_plan, service, slots, now)) {
            trackReportedFlow(hash, service, now);
        }
    }
}

void flow_engine::trackReportedFlow(flow_hash hash, service_id service, time_point now)
{
    slot_home *home = m_store.find(m_plan->slotOf(service, hash));
    if (home == nullptr || !home->isActive()) {
        return;
    }
    if (tracked_flow *flow = m_store.findFlow(hash); flow != nullptr) {
        m_store.flows().promote(*flow);
        return;
    }
    const slot_state &state = home->state();
    if (state.phase == slot_phase::Switched && home->deviationNeededAt == time_point{}) {
        return;
    }
    const tracked_flow flow{hash, toFlowTime(now), state.slot, state.defaultServer, 0};
    if (m_store.trackEstablished(*home, flow) == nullptr) {
        home->restartPhaseTimer(now);
    } else {
        // The backup needs a copy, because unknown UDP flows are treated as new from now on.
        m_copier.queueFlow(hash);
    }
}

void flow_engine::checkDeviations(time_point now)
{
    if (now - m_deviationCheckedAt < DeviationCheckInterval) {
        return;
    }
    m_deviationCheckedAt = now;
    const intent &current = m_plan->currentIntent();
    std::set<backend_server_id> needed;
    for (const backend_server &server : current.backendServers) {
        const bool dead = m_admission.health(server.id, now) == backend_health::Dead;
        if (acceptsNewFlows(current, server) && !isDomainCutOff(server.failureDomain)
            && (dead || m_admission.needsDeviation(server.id, now))) {
            needed.insert(server.id);
        }
    }
    if (needed.empty()) {
        return;
    }
    for (auto &[slot, home] : m_store.homes()) {
        if (home.isActive() && needed.contains(home.state().target)) {
            home.deviationNeededAt = now;
        }
    }
    for (const service &known : current.services) {
        const slot_table *table = m_plan->slotTable(known.id);
        for (std::size_t index = 0; table != nullptr && index < table->targets.size(); ++index) {
            const slot_id slot{known.id, static_cast<std::uint16_t>(index)};
            if (needed.contains(table->targets[index]) && isSettled(slot)
                && m_assignment.owners(slot).home == m_options.self) {
                openDeviation(slot, now);
            }
        }
    }
}

void flow_engine::openDeviation(slot_id slot, time_point now)
{
    const slot_home *held = m_store.find(slot);
    if (held != nullptr && held->isActive()) {
        return;
    }
    if (held != nullptr) {
        // The copy is left over from an earlier transition and is invalid for a settled slot.
        m_store.drop({slot});
    }
    const std::optional<slot_state> state = initialState(slot);
    if (!state) {
        return;
    }
    slot_home &home = m_store.open(*state, home_role::Active, now);
    home.deviationNeededAt = now;
    setMark(home, {state->mark.note, state->mark.epoch | 1U});
    refreshSlot(slot);
}

void flow_engine::openActingHome(slot_id slot, time_point now)
{
    slot_home *held = m_store.find(slot);
    if (held == nullptr || isSettled(slot)) {
        openDeviation(slot, now);
        return;
    }
    if (!held->isActive()) {
        // The copies from the home on the other side keep its flows on their backend servers.
        takeOver(*held, now);
        setMark(*held, {held->state().mark.note, held->state().mark.epoch | 1U});
    }
}

void flow_engine::openActingHomes(time_point now)
{
    if (!m_hasOwnCallers || now - m_actingCheckedAt < ActingCheckInterval) {
        return;
    }
    m_actingCheckedAt = now;
    for (const service &known : m_plan->currentIntent().services) {
        const slot_table *table = m_plan->slotTable(known.id);
        for (std::size_t index = 0; table != nullptr && index < table->targets.size(); ++index) {
            const slot_id slot{known.id, static_cast<std::uint16_t>(index)};
            const std::optional<instance_id> home = m_assignment.owners(slot).home;
            const std::optional<instance_id> acting = actingHome(slot);
            const bool needed = home != acting || !isReachable(table->targets[index]);
            if (needed && acting == m_options.self) {
                openActingHome(slot, now);
            }
        }
    }
}

void flow_engine::maintainCopies(time_point now)
{
    std::set<instance_id> lost;
    for (const member &other : m_cluster.members) {
        if (other.id == m_options.self || other.state == member_state::Dead) {
            continue;
        }
        const std::uint32_t resets = m_exchange.channel(other.id).resetCount();
        const auto [seen, inserted] = m_handledResetCounts.try_emplace(other.id, resets);
        if (!inserted && seen->second != resets) {
            seen->second = resets;
            lost.insert(other.id);
            m_membersStreamedTo.erase(other.id);
        }
    }
    std::unordered_map<slot_id, instance_id> copies;
    for (auto &[slot, home] : m_store.homes()) {
        if (!home.isActive()) {
            continue;
        }
        if (home.nextHome && lost.contains(*home.nextHome)) {
            home.nextHome.reset();
        }
        const std::optional<instance_id> backup = m_assignment.owners(slot).backup;
        const bool isLost = home.backup && lost.contains(*home.backup);
        if (home.backup == backup && !isLost) {
            continue;
        }
        home.backup = backup;
        if (backup && *backup != m_options.self) {
            copies.emplace(slot, *backup);
        }
    }
    if (!copies.empty()) {
        m_copier.flush();
        m_copier.copySlots(copies);
    }
    m_now = now;
}

void flow_engine::dropStaleCopies(time_point now)
{
    if (now - m_copiesCheckedAt >= StaleCopyInterval && isJoinedMember()) {
        m_copiesCheckedAt = now;
        for (const auto &[slot, home] : m_store.homes()) {
            const slot_owners owners = m_assignment.owners(slot);
            const bool owned = owners.home == m_options.self || owners.backup == m_options.self;
            if (!home.isActive() && (!owned || (hasSlot(slot) && isSettled(slot)))) {
                m_copiesToDrop.insert(slot);
            }
        }
    }
    m_store.drop(m_copiesToDrop);
    m_copiesToDrop.clear();
}

void flow_engine::streamToJoiners(time_point now)
{
    for (const member &joiner : m_cluster.members) {
        if (joiner.state != member_state::Joining || joiner.id == m_options.self
            || !isFresh(joiner, now, m_options.freshnessLimit)) {
            m_membersStreamedTo.erase(joiner.id);
            continue;
        }
        std::vector<home_candidate> candidates = m_assignment.candidates();
        const home_candidate added{joiner.id, joiner.failureDomain, candidate_role::Eligible};
        std::erase_if(candidates, [&](const auto &other) { return other.id == joiner.id; });
        candidates.push_back(added);
        std::unordered_map<slot_id, instance_id> copies;
        assignWithJoiner(candidates, joiner.id);
        for (auto &[slot, home] : m_store.homes()) {
            if (home.isActive() && home.nextHome != joiner.id
                && m_assignmentWithJoiner.owners(slot).home == joiner.id) {
                home.nextHome = joiner.id;
                copies.emplace(slot, joiner.id);
            }
        }
        m_copier.copySlots(copies);
        if (m_membersStreamedTo.insert(joiner.id).second) {
            m_exchange.send(joiner.id, stream_end{});
        }
    }
}

void flow_engine::assignWithJoiner(std::vector<home_candidate> candidates, instance_id joiner)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    if (m_assignedJoiner == joiner && m_assignmentWithJoiner.candidates() == candidates) {
        return;
    }
    m_assignedJoiner = joiner;
    m_assignmentWithJoiner = home_assignment(std::move(candidates), m_hash, m_options.placement);
}

void flow_engine::moveHomes(time_point now)
{
    std::unordered_map<slot_id, instance_id> receivers;
    for (const auto &[slot, home] : m_store.homes()) {
        const std::optional<instance_id> assignedHome = m_assignment.owners(slot).home;
        if (!home.isActive() || !assignedHome || *assignedHome == m_options.self) {
            continue;
        }
        const member *receiver = findMember(*assignedHome);
        if (receiver != nullptr && !isDomainCutOff(receiver->failureDomain)
            && isFresh(*receiver, now, m_options.freshnessLimit)) {
            receivers.emplace(slot, *assignedHome);
        }
    }
    grantSlots(receivers);
}

void flow_engine::grantSlots(const std::unordered_map<slot_id, instance_id> &receivers)
{
    if (receivers.empty()) {
        return;
    }
    m_copier.flush();
    std::unordered_map<slot_id, instance_id> copies;
    for (const auto &[slot, receiver] : receivers) {
        const slot_home &home = *m_store.find(slot);
        if (home.backup != receiver && home.nextHome != receiver) {
            copies.emplace(slot, receiver);
        }
    }
    m_copier.copySlots(copies);
    std::unordered_set<slot_id> dropped;
    for (const auto &[slot, receiver] : receivers) {
        slot_home &home = *m_store.find(slot);
        m_exchange.send(receiver, state_record{state_purpose::Grant, home.state()});
        m_markDeliveries.erase(slot);
        if (m_assignment.owners(slot).backup == m_options.self) {
            home.becomeBackup();
        } else {
            dropped.insert(slot);
        }
    }
    m_store.drop(dropped);
    for (const auto &[slot, receiver] : receivers) {
        refreshSlot(slot);
    }
}

void flow_engine::expireFlows(time_point now)
{
    const flow_time time = toFlowTime(now);
    const auto expired = [&](const tracked_flow &flow) {
        const slot_home *home = m_store.find(flow.slot);
        if (home == nullptr) {
            return true;
        }
        if (!home->isActive()) {
            return false;
        }
        // Flow times are rounded down to 0.1 s.
        const service *known = findService(m_plan->currentIntent(), flow.slot.service);
        const bool tcp = known != nullptr && known->protocol == transport_protocol::Tcp;
        duration limit = idleTimeoutOf(*m_plan, flow.slot.service) + 1s;
        if (tcp && flow.has(tracked_flow::Probation)) {
            limit = std::min(limit, duration{ProbationTimeout});
        } else if (flow.has(tracked_flow::Closing)) {
            limit = std::min(limit, duration{ClosingTimeout});
        }
        return time - flow.lastSeen > toFlowTime(limit);
    };
    for (const flow_hash hash : m_store.flows().sweep(SweepEntriesPerTick, expired)) {
        if (tracked_flow *flow = m_store.findFlow(hash); flow != nullptr) {
            m_store.end(*flow);
        }
    }
}

void flow_engine::updateHomeShares(time_point now)
{
    if (!m_homeSharesOutdated) {
        return;
    }
    m_homeSharesOutdated = false;
    std::map<backend_server_id, std::pair<std::uint32_t, std::uint32_t>> counts;
    for (const service &known : m_plan->currentIntent().services) {
        const slot_table *table = m_plan->slotTable(known.id);
        for (std::size_t index = 0; table != nullptr && index < table->targets.size(); ++index) {
            auto &[own, all] = counts[table->targets[index]];
            const slot_id slot{known.id, static_cast<std::uint16_t>(index)};
            own += m_assignment.owners(slot).home == m_options.self ? 1 : 0;
            ++all;
        }
    }
    for (const auto &[server, count] : counts) {
        if (server != NoBackendServer) {
            const double share = static_cast<double>(count.first) / count.second;
            m_admission.setHomeShare(server, share, now);
        }
    }
}

} // namespace ebonyway
