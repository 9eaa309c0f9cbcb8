#include "forwarding/edge/forwarding_counters.h"

#include <utility>

namespace ebonyway {

namespace {

void append(std::vector<metric_sample> &samples, const char *name,
            const std::atomic<std::uint64_t> &value, std::vector<metric_label> labels = {})
{
    samples.push_back({name, std::move(labels), static_cast<double>(value.load())});
}

} // namespace

void forwarding_counters::appendTo(std::vector<metric_sample> &samples) const
{
    append(samples, "packets_total", packets);
    append(samples, "forwarded_total", forwardedPackets);
    append(samples, "send_failures_total", sendFailures);
    append(samples, "flows_opened_total", openedFlows);
    append(samples, "flows_remembered", trackedFlows);
    append(samples, "backend_server_verdicts_total", serverVerdicts);
    for (std::size_t i = 0; i < placements.size(); ++i) {
        append(samples, "offers_total", placements[i],
               {{"tier", placementTierName(static_cast<placement_tier>(i))}});
    }
    for (std::size_t i = 0; i < resets.size(); ++i) {
        const std::string reason = forwardingRefusalName(static_cast<forwarding_refusal>(i));
        append(samples, "resets_total", resets[i], {{"reason", reason}});
        append(samples, "drops_total", drops[i], {{"reason", reason}});
    }
    const std::lock_guard<std::mutex> lock(m_gaugesMutex);
    samples.insert(samples.end(), m_gauges.begin(), m_gauges.end());
}

void forwarding_counters::setGauges(std::vector<metric_sample> gauges)
{
    const std::lock_guard<std::mutex> lock(m_gaugesMutex);
    m_gauges = std::move(gauges);
}

} // namespace ebonyway
