#include "forwarding/connection/flow_table.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// The last copy of an opening packet follows the first after 600 ms and the caller waits until
// 1.4 s, so nothing more comes of an older attempt.
constexpr duration OpeningLifetime = 2s;

// Covers the acknowledgements that follow a caller's FIN.
constexpr duration FinishedLifetime = 1s;

} // namespace

bool followed_flow::wasOfferedTo(server_key key) const
{
    return std::find(offers.begin(), offers.begin() + offerCount, key)
           != offers.begin() + offerCount;
}

flow_table::flow_table(std::size_t capacity)
    : m_capacity(capacity)
{ }

followed_flow *flow_table::find(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

const followed_flow *flow_table::find(const flow_id &flow) const
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

followed_flow *flow_table::add(const flow_id &flow, time_point now)
{
    if (m_flows.size() >= m_capacity) {
        return nullptr;
    }
    followed_flow &record = m_flows[flow];
    record = followed_flow{};
    record.firstSeen = now;
    record.lastSeen = now;
    return &record;
}

std::vector<followed_flow> flow_table::removeIdle(time_point now, duration idleTimeout)
{
    std::vector<followed_flow> removed;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const followed_flow &record = it->second;
        duration lifetime = idleTimeout;
        if (record.state == followed_flow::phase::Opening) {
            lifetime = OpeningLifetime;
        } else if (record.state == followed_flow::phase::Finished) {
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
