#pragma once

#include "forwarding/connection/forwarder.h"
#include "forwarding/edge/decision_log.h"
#include "forwarding/edge/deployment_adapter.h"
#include "forwarding/edge/forwarding_counters.h"
#include "forwarding/process/instance_control.h"
#include "io/datagram_socket.h"
#include "io/reactor_thread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Runs the traffic thread: receives callers' packets and executes the forwarder's decisions. */
class traffic_loop : private datagram_receiver
{
public:
    /** Called on the traffic thread with the load on each server and the callers' demand. */
    using load_handler =
            std::function<void(std::vector<peer_server_load>, std::vector<service_demand>)>;

    traffic_loop(const deployment_adapter &adapter, const forwarder_options &options,
                 event_log &log, metrics_registry &metrics, load_handler onLoads);

    /** Binds the socket and starts the thread. Returns Unavailable if the bind fails. */
    status start(const endpoint &local);
    void stop();

    // The following functions are thread-safe.
    void adopt(std::shared_ptr<const directory> snapshot);
    void setPeerView(peer_view view);
    time_point lastPacket() const { return time_point(duration(m_lastPacket.load())); }
    const forwarding_counters &counters() const { return m_counters; }

private:
    void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) override;
    void applyDecision(const forwarding_decision &decision, const flow_packet &packet,
                       std::span<const std::byte> bytes);
    void forward(const forward_packet &target, std::span<const std::byte> packet);
    void offerAgain(time_point now);
    void send(const endpoint &to);
    void tick();

    const deployment_adapter &m_adapter;
    forwarding_counters m_counters;
    decision_log m_decisions;
    forwarder m_forwarder;
    load_handler m_onLoads;
    reactor_thread m_thread;
    datagram_socket m_socket;
    std::uint16_t m_callerPort = 0; ///< Callers receive on the port this instance listens on.
    datagram_buffer m_buffer;
    /** Last opening packet of each flow that is not open yet, kept for further offers. */
    std::unordered_map<flow_id, std::vector<std::byte>> m_openingPackets;
    time_point m_nextSlowTick;
    std::atomic<duration::rep> m_lastPacket = 0;
};

} // namespace ebonyway
