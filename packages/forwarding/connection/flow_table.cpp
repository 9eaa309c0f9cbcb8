#include "forwarding/connection/flow_table.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// How long a flow that has not opened stays in the table after its last packet. A caller sends the
// last copy of an opening packet 600 ms after the first and gives up after 1.4 s, so an older flow
// cannot open any more.
constexpr duration OpeningLifetime = 2s;

// How long a finished flow stays in the table after its last packet. Long enough for the
// acknowledgements that a caller sends after its FIN.
constexpr duration FinishedLifetime = 1s;

// More bytes than a caller sends on one flow. An opening packet whose sequence is further behind
// the flow's data belongs to another flow.
constexpr std::uint32_t MaxFlowBytes = 16U << 20;

} // namespace

bool flow_table_entry::isReusedBy(std::uint32_t newSequence) const
{
    if (openingSequence) {
        return newSequence != *openingSequence;
    }
    // The opening packet passed another instance; its sequence lies before all data of the flow.
    return state != phase::Opening && nextSequence - newSequence > MaxFlowBytes;
}

bool flow_table_entry::wasOfferedTo(server_key key) const
{
    return std::find(offers.begin(), offers.begin() + offerCount, key)
           != offers.begin() + offerCount;
}

flow_table::flow_table(std::size_t capacity)
    : m_capacity(capacity)
{ }

flow_table_entry *flow_table::find(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

const flow_table_entry *flow_table::find(const flow_id &flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

flow_table_entry *flow_table::add(const flow_id &flow, time_point now)
{
    if (m_flows.size() >= m_capacity) {
        return nullptr;
    }
    flow_table_entry &record = m_flows[flow];
    record = flow_table_entry{};
    record.firstSeen = now;
    record.lastSeen = now;
    return &record;
}

std::vector<flow_table_entry> flow_table::removeIdle(time_point now, duration idleTimeout)
{
    std::vector<flow_table_entry> removed;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const flow_table_entry &record = it->second;
        duration lifetime = idleTimeout;
        if (record.state == flow_table_entry::phase::Opening) {
            lifetime = OpeningLifetime;
        } else if (record.state == flow_table_entry::phase::Finished) {
            lifetime = FinishedLifetime;
        }
        if (now - record.lastSeen <= lifetime) {
            ++it;
            continue;
        }
        removed.push_back(record);
        it = m_flows.erase(it);
    }
    return removed;
}

} // namespace ebonyway
