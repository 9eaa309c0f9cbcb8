#include "version/slot_shares.h"

#include <algorithm>
#include <numeric>

namespace ebonyway {

namespace {

void addServer(service_shares &target, const intent &current, const backend_server &server)
{
    ++target.backendServerCount;
    if (acceptsNewFlows(current, server)) {
        target.shares.push_back({server.id, server.weight});
    }
}

} // namespace

std::vector<service_shares> collectShares(const intent &current)
{
    std::vector<service_shares> collected(current.nextServiceId);
    for (const backend_server &server : current.backendServers) {
        if (server.service.value < collected.size()) {
            addServer(collected[server.service.value], current, server);
        }
    }
    return collected;
}

service_shares sharesOf(const intent &current, service_id service)
{
    service_shares collected;
    for (const backend_server &server : current.backendServers) {
        if (server.service == service) {
            addServer(collected, current, server);
        }
    }
    return collected;
}

std::vector<std::uint32_t> slotQuotas(const std::vector<slot_share> &shares,
                                      const std::vector<std::uint32_t> &held,
                                      std::uint32_t slotCount)
{
    std::uint64_t totalWeight = 0;
    for (const slot_share &share : shares) {
        totalWeight += share.weight;
    }
    std::vector<std::uint32_t> quotas;
    std::vector<std::uint64_t> remainders;
    std::uint32_t given = 0;
    for (const slot_share &share : shares) {
        const std::uint64_t product = std::uint64_t{share.weight} * slotCount;
        quotas.push_back(static_cast<std::uint32_t>(product / totalWeight));
        remainders.push_back(product % totalWeight);
        given += quotas.back();
    }
    std::vector<std::size_t> order(shares.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        if (remainders[left] != remainders[right]) {
            return remainders[left] > remainders[right];
        }
        return (held[left] > quotas[left]) > (held[right] > quotas[right]);
    });
    for (std::size_t i = 0; i < order.size() && given < slotCount; ++i, ++given) {
        ++quotas[order[i]];
    }
    return quotas;
}

} // namespace ebonyway
