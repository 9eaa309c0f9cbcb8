#pragma once

#include "connection/routing_strategy.h"
#include "telemetry/metrics.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace ebonyway {

/** Flow outcomes of one service as one traffic thread saw them since the start. */
struct service_traffic
{
    std::atomic<std::uint64_t> offered = 0; ///< First packets forwarded.
    std::atomic<std::uint64_t> answered = 0; ///< SYN-ACKs, and answers of UDP flows, passed.
    std::atomic<std::uint64_t> resetByServer = 0; ///< SYNs that backend servers refused.
    std::atomic<std::uint64_t> refusedOverloaded = 0;
    std::atomic<std::uint64_t> givenUp = 0; ///< Packets of given-up flows that were refused.
    std::array<std::atomic<std::uint64_t>, DropReasonCount> dropped{}; ///< First packets.
};

/**
 * Packet counters of one traffic thread. Only that thread adds; any thread may read. All operations
 * are relaxed, because each counter stands alone.
 */
class traffic_counters
{
public:
    /** Services with higher ids share the last entry. */
    static constexpr std::size_t ServiceLimit = 4096;

    traffic_counters();

    void countFault(packet_fault fault) { add(m_faults[static_cast<std::size_t>(fault)]); }
    void countDrop(drop_reason reason) { add(m_drops[static_cast<std::size_t>(reason)]); }

    service_traffic &service(service_id id);
    const service_traffic &service(service_id id) const;

    /** Adds one to a counter that this thread owns, without a locked instruction. */
    static void add(std::atomic<std::uint64_t> &counter)
    {
        counter.store(counter.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
    }

    /** Appends all counters as samples with a label for the traffic thread. */
    void appendTo(std::vector<metric_sample> &samples, const std::string &thread) const;

    std::atomic<std::uint64_t> fromFabric = 0;
    std::atomic<std::uint64_t> fromPeers = 0;
    std::atomic<std::uint64_t> fromServers = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<std::uint64_t> relayed = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> answersPassed = 0;
    std::atomic<std::uint64_t> answersCrossed = 0;
    std::atomic<std::uint64_t> sendFailures = 0;

private:
    std::array<std::atomic<std::uint64_t>, PacketFaultCount> m_faults{};
    std::array<std::atomic<std::uint64_t>, DropReasonCount> m_drops{};
    std::vector<service_traffic> m_services;
};

} // namespace ebonyway
