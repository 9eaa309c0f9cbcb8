#pragma once

#include "io/datagram_socket.h"
#include "io/reactor_thread.h"
#include "process/edge/traffic_counters.h"
#include "process/edge/traffic_view.h"
#include "request/packet.h"

#include <memory>
#include <optional>
#include <vector>

namespace ebonyway {

class packet_decider;
struct settings;

/**
 * One traffic thread: receives packets from the fabric, from peers and from backend servers, asks
 * the decider, and sends the packets on. Owns its sockets and its copy of the traffic view.
 */
class traffic_worker : public datagram_receiver
{
public:
    /** The decider must outlive the worker. Only one worker of an instance serves the relay port.
     */
    traffic_worker(const settings &options, packet_decider &decider, bool servesRelay);
    ~traffic_worker() override;

    /** Binds the sockets. Fails with Unavailable. */
    status open();

    /** Starts the thread. */
    void start();
    void stop();

    /** The thread's loop, for posting tasks and setting the tick before start(). */
    reactor_thread &thread() { return m_thread; }

    const traffic_counters &counters() const { return m_counters; }

    /** Replaces the view. Safe from any thread. */
    void publishView(std::shared_ptr<const traffic_view> view);

    void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) override;

private:
    void onFabricPacket(std::span<const std::byte> bytes, const packet_origin &origin);
    void onRelayedPacket(std::span<const std::byte> datagram);
    void onAnswer(std::span<const std::byte> bytes, const endpoint &from);
    void onAnswerPacket(std::span<const std::byte> bytes, backend_server_id sender,
                        const packet_origin &origin);

    void apply(const forward_action &action, const packet_view &packet);
    void apply(const relay_action &action, const packet_view &packet);
    void apply(const refuse_action &action, const packet_view &packet);
    void apply(const drop_action &action, const packet_view &packet);
    void passAnswer(const packet_view &packet);
    void relay(const relay_action &action, std::optional<backend_server_id> answerFrom,
               std::span<const std::byte> packet);
    void sendToFabric(std::span<const std::byte> packet);
    void countSent(bool sent, std::atomic<std::uint64_t> &counter);
    std::optional<service_id> serviceOf(const packet_view &packet) const;

    instance_id m_self;
    endpoint m_fabricAddress;
    packet_decider &m_decider;
    bool m_servesRelay = false;
    endpoint m_localFabric;
    endpoint m_localAnswer;
    endpoint m_localRelay;
    reactor_thread m_thread;
    datagram_socket m_fabric;
    datagram_socket m_answer;
    datagram_socket m_relay;
    std::shared_ptr<const traffic_view> m_view;
    traffic_counters m_counters;
    std::vector<std::byte> m_relayBuffer;
};

} // namespace ebonyway
