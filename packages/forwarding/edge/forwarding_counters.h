#pragma once

#include "forwarding/connection/placement.h"
#include "forwarding/request/forwarding_decision.h"
#include "telemetry/metrics.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace ebonyway {

/** Counters written by the traffic thread and read by the metrics page on the control thread. */
struct forwarding_counters
{
    static constexpr std::size_t ReasonCount = 8;
    static constexpr std::size_t TierCount = 4;

    std::atomic<std::uint64_t> packets = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<std::uint64_t> sendFailures = 0;
    std::atomic<std::uint64_t> opened = 0;
    std::array<std::atomic<std::uint64_t>, TierCount> placements{};
    std::array<std::atomic<std::uint64_t>, ReasonCount> resets{};
    std::array<std::atomic<std::uint64_t>, ReasonCount> drops{};
    std::atomic<std::uint64_t> verdicts = 0;
    std::atomic<std::uint64_t> flows = 0;

    void appendTo(std::vector<metric_sample> &samples) const;
};

} // namespace ebonyway
