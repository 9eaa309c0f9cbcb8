#include "connection/udp_seen_set.h"

#include <algorithm>
#include <bit>

namespace ebonyway {

namespace {

/** Number of entries in which a flow may be stored. */
constexpr std::size_t BucketSize = 8;
constexpr auto Relaxed = std::memory_order_relaxed;

} // namespace

udp_seen_set::udp_seen_set(std::size_t capacity)
    : m_size(std::bit_ceil(std::max(capacity, BucketSize)))
    , m_entries(std::make_unique<entry[]>(m_size))
{ }

bool udp_seen_set::record(service_id service, flow_hash hash, time_point now)
{
    const flow_time time = std::max<flow_time>(1, toFlowTime(now));
    // The index uses the upper bits, because the flows of one slot share the lower ones.
    const std::size_t bucket = (hash.value >> 20) & (m_size - 1) & ~(BucketSize - 1);
    for (std::size_t offset = 0; offset < BucketSize; ++offset) {
        entry &candidate = m_entries[bucket + offset];
        if (candidate.hash.load(Relaxed) != hash.value || candidate.lastSeen.load(Relaxed) == 0) {
            continue;
        }
        candidate.lastSeen.store(time, Relaxed);
        candidate.repeated.store(1, Relaxed);
        return true;
    }
    entry &victim = victimOf(bucket);
    victim.hash.store(hash.value, Relaxed);
    victim.service.store(service.value, Relaxed);
    victim.repeated.store(0, Relaxed);
    victim.lastSeen.store(time, Relaxed);
    return false;
}

udp_seen_set::entry &udp_seen_set::victimOf(std::size_t bucket)
{
    std::size_t best = bucket;
    std::uint64_t bestRank = ~std::uint64_t{0};
    for (std::size_t offset = 0; offset < BucketSize; ++offset) {
        const entry &candidate = m_entries[bucket + offset];
        const std::uint64_t repeated = candidate.repeated.load(Relaxed);
        const std::uint64_t rank = (repeated << 32) | candidate.lastSeen.load(Relaxed);
        if (rank < bestRank) {
            bestRank = rank;
            best = bucket + offset;
        }
    }
    return m_entries[best];
}

std::vector<flow_hash> udp_seen_set::seenFlows(service_id service, duration idleTimeout,
                                               time_point now) const
{
    const flow_time time = toFlowTime(now);
    const flow_time limit = toFlowTime(idleTimeout);
    std::vector<flow_hash> flows;
    for (std::size_t index = 0; index < m_size; ++index) {
        const entry &candidate = m_entries[index];
        const flow_time seen = candidate.lastSeen.load(Relaxed);
        if (seen == 0 || candidate.service.load(Relaxed) != service.value || time - seen > limit) {
            continue;
        }
        flows.push_back(flow_hash{candidate.hash.load(Relaxed)});
    }
    return flows;
}

} // namespace ebonyway
