#include "connection/flow_copier.h"

#include "connection/peer_exchange.h"

#include <algorithm>

namespace ebonyway {

namespace {

/** Splits a list into records of at most RecordListLimit items and sends them. */
template <typename Item, typename Send>
void sendInParts(const std::vector<Item> &items, Send send)
{
    for (std::size_t begin = 0; begin < items.size(); begin += RecordListLimit) {
        const std::size_t end = std::min(items.size(), begin + RecordListLimit);
        send(std::vector<Item>(items.begin() + begin, items.begin() + end));
    }
}

} // namespace

std::vector<instance_id> copyHolders(const slot_home &home)
{
    std::vector<instance_id> holders;
    if (home.backup) {
        holders.push_back(*home.backup);
    }
    if (home.nextHome && home.nextHome != home.backup) {
        holders.push_back(*home.nextHome);
    }
    return holders;
}

flow_copier::flow_copier(home_store &store, peer_exchange &exchange)
    : m_store(store)
    , m_exchange(exchange)
{ }

void flow_copier::queueFlowEnd(const tracked_flow &flow)
{
    if (flow.has(tracked_flow::Copied)) {
        m_endedFlows.emplace_back(flow.slot, flow.tag());
    }
}

void flow_copier::flush()
{
    flushFlows();
    flushEnds();
}

void flow_copier::flushFlows()
{
    batches flows;
    for (const flow_hash hash : m_newFlows) {
        tracked_flow *flow = m_store.findFlow(hash);
        const slot_home *home = flow == nullptr ? nullptr : m_store.find(flow->slot);
        if (home == nullptr || !home->isActive()) {
            continue;
        }
        for (const instance_id holder : copyHolders(*home)) {
            flows[{holder, flow->slot.service, flow->backendServer}].push_back(hash);
            flow->set(tracked_flow::Copied);
        }
    }
    m_newFlows.clear();
    sendBatches(flows);
}

void flow_copier::flushEnds()
{
    std::map<std::pair<instance_id, service_id>, std::vector<std::uint32_t>> ends;
    for (const auto &[slot, tag] : m_endedFlows) {
        const slot_home *home = m_store.find(slot);
        if (home == nullptr) {
            continue;
        }
        for (const instance_id holder : copyHolders(*home)) {
            ends[{holder, slot.service}].push_back(tag);
        }
    }
    m_endedFlows.clear();
    for (const auto &[key, tags] : ends) {
        sendInParts(tags, [&, holder = key.first, service = key.second](auto part) {
            m_exchange.send(holder, flow_end_record{service, std::move(part)});
        });
    }
}

void flow_copier::sendBatches(const batches &flows)
{
    for (const auto &[key, hashes] : flows) {
        const auto [holder, service, server] = key;
        for (std::size_t begin = 0; begin < hashes.size(); begin += RecordListLimit) {
            const std::size_t end = std::min(hashes.size(), begin + RecordListLimit);
            flow_record record{service, server, {}};
            record.flows.assign(hashes.begin() + begin, hashes.begin() + end);
            m_exchange.send(holder, record);
        }
    }
}

void flow_copier::copySlots(const std::unordered_map<slot_id, instance_id> &peers)
{
    if (peers.empty()) {
        return;
    }
    for (const auto &[slot, peer] : peers) {
        if (const slot_home *home = m_store.find(slot); home != nullptr) {
            m_exchange.send(peer, state_record{state_purpose::Copy, home->state()});
        }
    }
    batches flows;
    m_store.flows().forEach([&](tracked_flow &flow) {
        const auto peer = peers.find(flow.slot);
        if (peer == peers.end() || flow.has(tracked_flow::Probation)) {
            return;
        }
        const slot_home *home = m_store.find(flow.slot);
        if (home == nullptr || flow.backendServer == home->state().defaultServer) {
            return;
        }
        flows[{peer->second, flow.slot.service, flow.backendServer}].push_back(flow.hash);
        flow.set(tracked_flow::Copied);
    });
    sendBatches(flows);
}

} // namespace ebonyway
