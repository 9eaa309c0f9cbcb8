#include "connection/flow_engine.h"
#include "version/route_plan.h"

#include <algorithm>

namespace ebonyway {

void flow_engine::onMessage(instance_id from, std::span<const std::byte> bytes, time_point now)
{
    m_now = now;
    if (m_clock.hasJumped(now)) {
        beginSync(now);
    }
    for (const engine_record &record : m_exchange.receive(from, bytes, now)) {
        std::visit([&](const auto &known) { onRecord(from, known, now); }, record);
    }
}

std::vector<outgoing_message> flow_engine::takeMessages(time_point now)
{
    return m_exchange.takeMessages(now);
}

void flow_engine::onRecord(instance_id, const mark_record &record, time_point)
{
    if (!m_marks.merge(record.slot, record.mark) || !hasSlot(record.slot)) {
        return;
    }
    slot_home *home = m_store.find(record.slot);
    if (home != nullptr && home->isActive()) {
        if (record.mark > home->state().mark) {
            home->setMark(record.mark);
        }
    } else if (home != nullptr && isSettled(record.slot)) {
        m_copiesToDrop.insert(record.slot);
    }
    refreshSlot(record.slot);
}

void flow_engine::onRecord(instance_id, const state_record &record, time_point now)
{
    const slot_id slot = record.state.slot;
    slot_home *home = m_store.find(slot);
    if (home != nullptr && home->isActive()) {
        // Two instances were home during a partition; the flows sent before are already merged.
        return;
    }
    m_copiesToDrop.erase(slot);
    if (home == nullptr) {
        home = &m_store.open(record.state, home_role::Backup, now);
    } else {
        const bool becomesSwitched = home->state().phase != record.state.phase
                                     && record.state.phase == slot_phase::Switched;
        home->replaceState(record.state);
        m_store.recountDiffering({slot});
        if (becomesSwitched) {
            m_store.forgetFlowsAtTarget({slot});
        }
    }
    if (record.purpose == state_purpose::Grant) {
        takeOver(*home, now);
    }
}

void flow_engine::onRecord(instance_id, const flow_record &record, time_point now)
{
    if (!m_plan || m_plan->slotTable(record.service) == nullptr) {
        return;
    }
    for (const flow_hash hash : record.flows) {
        slot_home *home = m_store.find(m_plan->slotOf(record.service, hash));
        if (home == nullptr) {
            continue;
        }
        if (tracked_flow *flow = m_store.findFlow(hash); flow != nullptr) {
            if (home->isActive() || flow->backendServer == record.backendServer) {
                continue;
            }
            m_store.forget(*flow);
        }
        tracked_flow flow{hash, toFlowTime(now), home->state().slot, record.backendServer, 0};
        if (home->isActive()) {
            m_copier.queueFlow(hash);
        }
        m_store.trackEstablished(*home, flow);
    }
}

void flow_engine::onRecord(instance_id, const flow_end_record &record, time_point)
{
    for (const std::uint32_t tag : record.tags) {
        tracked_flow *flow = m_store.flows().findByTag(record.service, tag);
        const slot_home *home = flow == nullptr ? nullptr : m_store.find(flow->slot);
        if (home != nullptr && !home->isActive()) {
            m_store.forget(*flow);
        }
    }
}

void flow_engine::onRecord(instance_id from, const handover_request &record, time_point)
{
    // The requester repeats the request until this instance has the same assignment.
    const bool agrees = m_synchronised && m_assignment.owners(record.slot).home == from;
    if (!agrees || m_pendingHandovers.contains(record.slot)) {
        return;
    }
    const slot_home *home = m_store.find(record.slot);
    if (home != nullptr && home->isActive()) {
        grantSlots({{record.slot, from}});
        return;
    }
    m_exchange.send(from, handover_declined{record.slot});
}

void flow_engine::onRecord(instance_id from, const handover_declined &record, time_point)
{
    const auto awaited = m_pendingHandovers.find(record.slot);
    if (awaited != m_pendingHandovers.end() && awaited->second.formerHome == from) {
        m_pendingHandovers.erase(awaited);
        m_declinedHandovers.insert({record.slot, from});
    }
}

void flow_engine::onRecord(instance_id from, const udp_request &record, time_point)
{
    m_udpReporter.addRequest(from, record);
}

void flow_engine::onRecord(instance_id, const udp_report &record, time_point now)
{
    if (!m_plan || m_plan->slotTable(record.service) == nullptr) {
        return;
    }
    for (const flow_hash hash : record.flows) {
        trackReportedFlow(hash, record.service, now);
    }
}

void flow_engine::onRecord(instance_id from, const udp_report_end &record, time_point)
{
    for (const std::uint16_t index : record.slots) {
        if (slot_home *home = m_store.find({record.service, index}); home != nullptr) {
            std::erase(home->udpReportsMissing, from);
        }
    }
}

void flow_engine::onRecord(instance_id from, const mark_sync_request &record, time_point)
{
    const member *requester = findMember(from);
    if (requester == nullptr) {
        m_unlistedPeers.insert(from);
    }
    if (m_plan) {
        // Slots that this instance took over from the requester during a partition are handed back
        // before the marks that mention them are sent.
        std::unordered_map<slot_id, instance_id> held;
        for (const auto &[slot, home] : m_store.homes()) {
            if (home.isActive() && m_assignment.owners(slot).home == from) {
                held.emplace(slot, from);
            }
        }
        grantSlots(held);
    }
    for (const auto &[service, base] : m_marks.bases()) {
        m_exchange.send(from, sync_base{service, base});
    }
    for (const auto &[slot, mark] : m_marks.entries()) {
        m_exchange.send(from, mark_record{slot, mark});
    }
    sync_end end{record.nonce, {}, member_state::Joining, m_synchronised};
    end.note = m_plan ? m_plan->currentIntent().number : note_number{};
    end.seenAs = requester == nullptr ? member_state::Joining : requester->state;
    m_exchange.send(from, end);
}

void flow_engine::onRecord(instance_id, const sync_base &record, time_point)
{
    m_marks.setBase(record.service, record.base);
}

void flow_engine::onRecord(instance_id from, const sync_end &record, time_point now)
{
    const member *self = selfMember();
    const bool replaced = record.seenAs == member_state::Dead && self != nullptr
                          && self->state != member_state::Dead;
    if (m_sync.onAnswer(from, record) && replaced) {
        // The peers have declared this instance dead: the backups are now home of its slots.
        discardHomes();
    }
    if (m_sync.nonce() == record.nonce && m_membersWithUnknownMarks.erase(from) > 0) {
        refreshAllSlots();
    }
    advanceSync(now);
}

void flow_engine::onRecord(instance_id from, const stream_end &, time_point)
{
    m_membersStreamedFrom.insert(from);
}

} // namespace ebonyway
