#include "connection/udp_reporter.h"

#include "connection/peer_exchange.h"
#include "connection/udp_seen_set.h"
#include "version/route_plan.h"

#include <algorithm>

namespace ebonyway {

namespace {

/**
 * Maximum number of queued requests; limits what a faulty peer can queue. A home sends one request
 * per service and change.
 */
constexpr std::size_t RequestLimit = 4096;

} // namespace

std::vector<flow_hash> seenInSlots(const udp_seen_set &seen, const route_plan &plan,
                                   service_id service, std::vector<std::uint16_t> slots,
                                   time_point now)
{
    const ebonyway::service *known = findService(plan.currentIntent(), service);
    if (known == nullptr || plan.slotTable(service) == nullptr) {
        return {};
    }
    std::sort(slots.begin(), slots.end());
    std::vector<flow_hash> flows = seen.seenFlows(service, known->idleTimeout, now);
    std::erase_if(flows, [&](flow_hash hash) {
        return !std::binary_search(slots.begin(), slots.end(), plan.slotOf(service, hash).index);
    });
    return flows;
}

udp_reporter::udp_reporter(const udp_seen_set &seen, peer_exchange &exchange)
    : m_seen(seen)
    , m_exchange(exchange)
{ }

void udp_reporter::addRequest(instance_id from, udp_request request)
{
    if (m_requests.size() < RequestLimit) {
        m_requests.push_back({from, std::move(request), false, {}});
    }
}

void udp_reporter::advance(const route_plan &plan, time_point now)
{
    const auto ready = std::find_if(m_requests.begin(), m_requests.end(), [&](const auto &open) {
        return open.request.note <= plan.currentIntent().number;
    });
    if (ready == m_requests.end()) {
        return;
    }
    if (!ready->collected) {
        ready->flows = seenInSlots(m_seen, plan, ready->request.service, ready->request.slots, now);
        ready->collected = true;
    }
    sendPart(*ready);
    if (ready->flows.empty()) {
        m_exchange.send(ready->from, udp_report_end{ready->request.service, ready->request.slots});
        m_requests.erase(ready);
    }
}

void udp_reporter::sendPart(open_request &open)
{
    if (open.flows.empty()) {
        return;
    }
    const std::size_t count = std::min(open.flows.size(), RecordListLimit);
    udp_report part{open.request.service, {}};
    part.flows.assign(open.flows.end() - count, open.flows.end());
    open.flows.resize(open.flows.size() - count);
    m_exchange.send(open.from, part);
}

} // namespace ebonyway
