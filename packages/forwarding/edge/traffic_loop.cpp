#include "forwarding/edge/traffic_loop.h"

#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Interval for finding offers that were not answered within OfferTimeout (60 ms).
constexpr duration TickInterval = 20ms;

// Interval for expiring idle flows, dropping kept opening packets and reporting load.
constexpr duration SlowTickInterval = 200ms;

} // namespace

traffic_loop::traffic_loop(const deployment_adapter &adapter, const forwarder_options &options,
                           event_log &log, metrics_registry &metrics, load_handler onLoads)
    : m_adapter(adapter)
    , m_decisions(log, m_counters, metrics)
    , m_forwarder(options, m_decisions)
    , m_onLoads(std::move(onLoads))
    , m_socket(*this, 0)
{ }

status traffic_loop::start(const endpoint &local)
{
    status opened = m_socket.open(local, false);
    if (!isOk(opened)) {
        return opened;
    }
    m_callerPort = local.port;
    m_socket.attach(m_thread.loop());
    m_thread.setTick(TickInterval, [this] { tick(); });
    m_thread.start();
    return std::monostate{};
}

void traffic_loop::stop()
{
    m_thread.stop();
    m_socket.close();
}

void traffic_loop::adopt(std::shared_ptr<const directory> snapshot)
{
    m_thread.post([this, snapshot = std::move(snapshot)] {
        m_forwarder.adopt(snapshot, std::chrono::steady_clock::now());
    });
}

void traffic_loop::setPeerView(peer_view view)
{
    m_thread.post([this, view = std::move(view)] {
        const time_point now = std::chrono::steady_clock::now();
        m_forwarder.setSilentDomains(view.silentDomains);
        m_forwarder.setSharedLoad(view.shared, now);
        m_forwarder.setPeerLoads(view.loads, now);
        m_forwarder.setInstances(view.instances, now);
        m_decisions.onServiceLoads(m_forwarder.serviceLoads());
    });
}

void traffic_loop::onDatagram(int, std::span<const std::byte> bytes, const endpoint &)
{
    ++m_counters.packets;
    const auto packet = m_adapter.decodePacket(bytes);
    if (!packet) {
        m_decisions.onRefusal({{}, forwarding_refusal::Malformed, false, false, {}, 0, 0});
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    m_lastPacket = now.time_since_epoch().count();
    applyDecision(m_forwarder.decide(*packet, now), *packet, bytes);
}

void traffic_loop::applyDecision(const forwarding_decision &decision, const flow_packet &packet,
                                 std::span<const std::byte> bytes)
{
    if (const auto *target = std::get_if<forward_packet>(&decision)) {
        if (packet.opens) {
            m_openingPackets[packet.flow].assign(bytes.begin(), bytes.end());
        }
        forward(*target, bytes);
        return;
    }
    if (std::holds_alternative<reset_flow>(decision)) {
        m_adapter.encodeReset(packet, m_buffer);
        send(endpoint{packet.flow.caller.address, m_callerPort});
    }
}

void traffic_loop::forward(const forward_packet &target, std::span<const std::byte> packet)
{
    m_adapter.encodeForServer(packet, target.server, target.token, m_buffer);
    ++m_counters.forwardedPackets;
    send(target.address);
}

void traffic_loop::offerAgain(time_point now)
{
    for (const further_offer &offer : m_forwarder.offerAgain(now)) {
        const auto packet = m_openingPackets.find(offer.flow);
        if (packet == m_openingPackets.end()) {
            continue;
        }
        forward(offer.target, packet->second);
    }
}

void traffic_loop::send(const endpoint &to)
{
    if (!m_socket.send(to, m_buffer.bytes())) {
        // Callers retransmit lost packets, so a full send buffer is counted and not retried.
        ++m_counters.sendFailures;
    }
}

void traffic_loop::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    offerAgain(now);
    if (now < m_nextSlowTick) {
        return;
    }
    m_nextSlowTick = now + SlowTickInterval;
    m_forwarder.tick(now);
    std::erase_if(m_openingPackets,
                  [this](const auto &item) { return !m_forwarder.isOpening(item.first); });
    m_counters.trackedFlows = m_forwarder.flowCount();
    m_forwarder.setRefusalRound(refusalRound(std::chrono::system_clock::now()));
    m_onLoads(m_forwarder.loads(now), m_forwarder.demands());
}

} // namespace ebonyway
