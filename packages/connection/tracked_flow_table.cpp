#include "connection/tracked_flow_table.h"

#include <algorithm>
#include <bit>

namespace ebonyway {

namespace {

using flow_ticks = std::chrono::duration<std::int64_t, std::deci>;

/** Keeps at least a quarter of the entries free, so that probe sequences stay short. */
std::size_t tableSizeFor(std::size_t flows)
{
    return std::bit_ceil(std::max<std::size_t>(64, flows + flows / 3));
}

} // namespace

flow_time toFlowTime(time_point time)
{
    return toFlowTime(time.time_since_epoch());
}

flow_time toFlowTime(duration length)
{
    return static_cast<flow_time>(std::chrono::duration_cast<flow_ticks>(length).count());
}

tracked_flow_table::tracked_flow_table(std::size_t establishedCapacity,
                                       std::size_t probationCapacity)
    : m_entries(tableSizeFor(establishedCapacity + probationCapacity))
    , m_ring(std::max<std::size_t>(1, probationCapacity))
    , m_mask(m_entries.size() - 1)
    , m_shift(64U - static_cast<unsigned>(std::countr_zero(m_entries.size())))
    , m_establishedCapacity(establishedCapacity)
{ }

tracked_flow *tracked_flow_table::find(flow_hash hash)
{
    // The index uses the upper bits, because all flows of one slot share the lower ones.
    std::size_t index = homeIndex(hash);
    while (m_entries[index].has(tracked_flow::Used)) {
        if (m_entries[index].hash == hash) {
            return &m_entries[index];
        }
        index = (index + 1) & m_mask;
    }
    return nullptr;
}

tracked_flow *tracked_flow_table::findByTag(service_id service, std::uint32_t tag)
{
    std::size_t index = homeIndex(flow_hash{std::uint64_t{tag} << 32});
    while (m_entries[index].has(tracked_flow::Used)) {
        tracked_flow &flow = m_entries[index];
        if (flow.tag() == tag && flow.slot.service == service) {
            return &flow;
        }
        index = (index + 1) & m_mask;
    }
    return nullptr;
}

tracked_flow *tracked_flow_table::insert(const tracked_flow &flow)
{
    std::size_t index = homeIndex(flow.hash);
    while (m_entries[index].has(tracked_flow::Used)) {
        index = (index + 1) & m_mask;
    }
    m_entries[index] = flow;
    m_entries[index].set(tracked_flow::Used);
    return &m_entries[index];
}

tracked_flow *tracked_flow_table::insertEstablished(const tracked_flow &flow)
{
    if (m_establishedCount >= m_establishedCapacity) {
        return nullptr;
    }
    ++m_establishedCount;
    tracked_flow *added = insert(flow);
    added->clear(tracked_flow::Probation);
    return added;
}

bool tracked_flow_table::makeProbationRoom(flow_time now, tracked_flow *evicted)
{
    if (m_ringCount < m_ring.size()) {
        return true;
    }
    const probation_entry &oldest = m_ring[m_ringHead];
    tracked_flow *flow = find(oldest.hash);
    if (flow != nullptr && flow->has(tracked_flow::Probation)) {
        if (now - oldest.since < toFlowTime(ProbationGuard)) {
            return false;
        }
        *evicted = *flow;
        erase(*flow);
    }
    m_ringHead = (m_ringHead + 1) % m_ring.size();
    --m_ringCount;
    return true;
}

tracked_flow *tracked_flow_table::insertProbation(const tracked_flow &flow, tracked_flow *evicted)
{
    if (!makeProbationRoom(flow.lastSeen, evicted)) {
        return nullptr;
    }
    m_ring[(m_ringHead + m_ringCount) % m_ring.size()] = {flow.hash, flow.lastSeen};
    ++m_ringCount;
    ++m_probationCount;
    tracked_flow *added = insert(flow);
    added->set(tracked_flow::Probation);
    return added;
}

bool tracked_flow_table::promote(tracked_flow &flow)
{
    if (!flow.has(tracked_flow::Probation)) {
        return true;
    }
    if (m_establishedCount >= m_establishedCapacity) {
        return false;
    }
    flow.clear(tracked_flow::Probation);
    --m_probationCount;
    ++m_establishedCount;
    return true;
}

void tracked_flow_table::erase(tracked_flow &flow)
{
    std::size_t &count = flow.has(tracked_flow::Probation) ? m_probationCount : m_establishedCount;
    --count;
    std::size_t hole = static_cast<std::size_t>(&flow - m_entries.data());
    std::size_t index = hole;
    // Backward-shift deletion: moves later entries of the probe sequence back, so that no
    // tombstones are needed.
    while (true) {
        index = (index + 1) & m_mask;
        if (!m_entries[index].has(tracked_flow::Used)) {
            break;
        }
        const std::size_t distance = (index - homeIndex(m_entries[index].hash)) & m_mask;
        if (distance >= ((index - hole) & m_mask)) {
            m_entries[hole] = m_entries[index];
            hole = index;
        }
    }
    m_entries[hole] = tracked_flow{};
}

std::size_t tracked_flow_table::memoryBytes() const
{
    return m_entries.size() * sizeof(tracked_flow) + m_ring.size() * sizeof(probation_entry);
}

} // namespace ebonyway
