#pragma once

#include "connection/tracked_flow_table.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace ebonyway {

/**
 * The UDP flows that this instance has seen, in a fixed amount of memory. UDP has no SYN, so a home
 * uses these sets to find out which flows already existed. In a full bucket, a flow seen only once
 * is replaced before one seen repeatedly, so that spoofed single packets do not evict live flows.
 *
 * Traffic threads may call record() while the flow engine reads. A lost update only leaves a flow's
 * time one packet behind.
 */
class udp_seen_set
{
public:
    /** The capacity in flows is rounded up to a power of two; 16 bytes per flow. */
    explicit udp_seen_set(std::size_t capacity);

    /** Records a packet and returns whether its flow was already in the set. */
    bool record(service_id service, flow_hash hash, time_point now);

    /** Returns the flows of the service that were seen within the idle timeout. */
    std::vector<flow_hash> seenFlows(service_id service, duration idleTimeout,
                                     time_point now) const;

    std::size_t memoryBytes() const { return m_size * sizeof(entry); }

private:
    struct entry
    {
        std::atomic<std::uint64_t> hash{0};
        std::atomic<std::uint32_t> lastSeen{0}; ///< 0 marks an empty entry.
        std::atomic<std::uint16_t> service{0};
        std::atomic<std::uint16_t> repeated{0};
    };

    entry &victimOf(std::size_t bucket);

    std::size_t m_size;
    std::unique_ptr<entry[]> m_entries;
};

} // namespace ebonyway
