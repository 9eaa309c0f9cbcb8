#include "forwarding/connection/flow_table.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// A caller sends the last copy of an opening packet 600 ms after the first and gives up after 1.4
// s, so an older attempt cannot open any more.
constexpr duration OpeningLifetime = 2s;

// Long enough for the acknowledgements that a caller sends after its FIN.
constexpr duration FinishedLifetime = 1s;

} // namespace

bool forwarded_flow::wasOfferedTo(server_key key) const
{
    return std::find(offers.begin(), offers.begin() + offerCount, key)
           != offers.begin() + offerCount;
}

flow_table::flow_table(std::size_t capacity)
    : m_capacity(capacity)
{ }

forwarded_flow *flow_table::find(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

const forwarded_flow *flow_table::find(const flow_id &flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

forwarded_flow *flow_table::add(const flow_id &flow, time_point now)
{
    if (m_flows.size() >= m_capacity) {
        return nullptr;
    }
    forwarded_flow &record = m_flows[flow];
    record = forwarded_flow{};
    record.firstSeen = now;
    record.lastSeen = now;
    return &record;
}

std::vector<forwarded_flow> flow_table::removeIdle(time_point now, duration idleTimeout)
{
    std::vector<forwarded_flow> removed;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const forwarded_flow &record = it->second;
        duration lifetime = idleTimeout;
        if (record.state == forwarded_flow::phase::Opening) {
            lifetime = OpeningLifetime;
        } else if (record.state == forwarded_flow::phase::Finished) {
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
