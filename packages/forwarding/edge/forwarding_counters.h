#pragma once

#include "forwarding/connection/placement.h"
#include "forwarding/request/forwarding_decision.h"
#include "telemetry/metrics.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace ebonyway {

/** Counters written by the traffic thread and read by the metrics page on the control thread. */
struct forwarding_counters
{
    /** Number of values of forwarding_refusal. */
    static constexpr std::size_t ReasonCount = 9;
    /** Number of values of placement_tier. */
    static constexpr std::size_t TierCount = 5;

    std::atomic<std::uint64_t> packets = 0; ///< Datagrams received, including malformed ones.
    std::atomic<std::uint64_t> forwardedPackets = 0;
    std::atomic<std::uint64_t> sendFailures = 0;
    std::atomic<std::uint64_t> openedFlows = 0;
    std::array<std::atomic<std::uint64_t>, TierCount> placements{};
    std::array<std::atomic<std::uint64_t>, ReasonCount> resets{};
    std::array<std::atomic<std::uint64_t>, ReasonCount> drops{};
    std::atomic<std::uint64_t> serverVerdicts = 0; ///< Changes of trust in a backend server.
    std::atomic<std::uint64_t> trackedFlows = 0; ///< Current number of flows in the flow table.

    /** Replaces the gauges that have labels of their own. Thread-safe. */
    void setGauges(std::vector<metric_sample> gauges);
    void appendTo(std::vector<metric_sample> &samples) const;

private:
    mutable std::mutex m_gaugesMutex;
    std::vector<metric_sample> m_gauges;
};

} // namespace ebonyway
