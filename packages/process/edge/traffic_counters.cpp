#include "process/edge/traffic_counters.h"

#include <algorithm>

namespace ebonyway {

namespace {

double read(const std::atomic<std::uint64_t> &counter)
{
    return static_cast<double>(counter.load(std::memory_order_relaxed));
}

} // namespace

traffic_counters::traffic_counters()
    : m_services(ServiceLimit)
{ }

service_traffic &traffic_counters::service(service_id id)
{
    return m_services[std::min<std::size_t>(id.value, ServiceLimit - 1)];
}

const service_traffic &traffic_counters::service(service_id id) const
{
    return m_services[std::min<std::size_t>(id.value, ServiceLimit - 1)];
}

void traffic_counters::appendTo(std::vector<metric_sample> &samples,
                                const std::string &thread) const
{
    const metric_label label{"thread", thread};
    samples.push_back({"packets_from_fabric", {label}, read(fromFabric)});
    samples.push_back({"packets_from_peers", {label}, read(fromPeers)});
    samples.push_back({"packets_from_servers", {label}, read(fromServers)});
    samples.push_back({"packets_forwarded", {label}, read(forwarded)});
    samples.push_back({"packets_relayed", {label}, read(relayed)});
    samples.push_back({"packets_refused", {label}, read(refused)});
    samples.push_back({"answers_passed", {label}, read(answersPassed)});
    samples.push_back({"answers_crossed", {label}, read(answersCrossed)});
    samples.push_back({"send_failures", {label}, read(sendFailures)});
    for (std::size_t i = 0; i < PacketFaultCount; ++i) {
        const std::string reason = packetFaultName(static_cast<packet_fault>(i));
        samples.push_back({"packets_dropped", {label, {"reason", reason}}, read(m_faults[i])});
    }
    for (std::size_t i = 0; i < DropReasonCount; ++i) {
        const std::string reason = dropReasonName(static_cast<drop_reason>(i));
        samples.push_back({"packets_dropped", {label, {"reason", reason}}, read(m_drops[i])});
    }
}

} // namespace ebonyway
