#pragma once

#include "emulator/emulated_instance_log.h"
#include "emulator/emulated_network.h"
#include "emulator/emulated_packet.h"
#include "emulator/emulated_store.h"
#include "forwarding/connection/forwarder.h"
#include "forwarding/process/instance_control.h"

#include <memory>
#include <set>
#include <vector>

namespace ebonyway {

/** A part of the product that a test leaves out, to show which promise depends on it. */
enum class omitted_mechanism : std::uint8_t {
    Token, ///< Packets of open flows carry no token.
    ServerCheck, ///< Servers take packets that are meant for another one.
    DrainNews, ///< Instances do not hear that servers drain or leave.
    DesiredStateNews, ///< Instances hear only of the first desired state.
    EvacuationNews,
    SharedColdRate, ///< Each instance takes the whole rate of a cold server for itself.
    PeerEvidence, ///< Every suspicion counts as confirmed, and nothing contradicts it.
    StoreEra, ///< Instances do not hear in which era the store answers.
    StoreAfterRestart, ///< An instance that starts again learns nothing.
};

/** Carries what an instance sends. */
class instance_port
{
public:
    virtual ~instance_port() = default;

    virtual void sendToServer(const place &from, const forward_packet &target,
                              const caller_packet &packet) = 0;
    virtual void sendReset(const place &from, const caller_packet &packet,
                           forwarding_refusal reason) = 0;
    virtual void sendHeartbeat(const place &from, const endpoint &to,
                               const peer_message &message) = 0;
    /** Asks an instance for its knowledge; the answer, if any, goes to onKnowledge(). */
    virtual void pullKnowledge(const place &from, const endpoint &to,
                               const known_positions &since) = 0;
};

/** One process of an instance under virtual time, with the product's own decisions. */
class emulated_instance : private control_port
{
public:
    /** `log` receives the instance's lines; nullptr discards them. */
    emulated_instance(place where, std::uint64_t boot, std::uint64_t seed, event_queue &queue,
                      emulated_store &store, instance_port &port, event_log *log,
                      const std::set<omitted_mechanism> &omitted);

    void start(const std::vector<endpoint> &seeds);
    /** The process is gone. What it has scheduled has no effect any more. */
    void kill() { m_alive = false; }
    void freeze(bool frozen);
    void requestStop() { m_control.requestStop(m_queue.now()); }

    void onPacket(const caller_packet &packet);
    void onPeerMessage(const peer_message &message);
    void onKnowledge(const endpoint &from, const exported_knowledge &known);
    std::optional<exported_knowledge> pass(const known_positions &since) const;

    /** Returns whether it answers the routers that it takes packets. */
    bool isReady() const { return m_alive && !m_frozen && m_control.isReady(); }
    bool isAlive() const { return m_alive; }
    /** Returns whether a requested stop has finished. */
    bool mayExit() const { return m_control.mayExit(m_queue.now(), m_lastPacket); }
    const place &where() const { return m_where; }
    endpoint address() const { return addressOf(m_where.id); }

    /** Returns where other instances reach an instance. */
    static endpoint addressOf(std::uint64_t instance);

private:
    void startStoreCall(const store_call &call) override;
    void cancelStoreCall(store_kind kind) override;
    void sendHeartbeat(const peer_message &message, std::span<const endpoint> targets) override;
    void pullKnowledge(const endpoint &from, const known_positions &since, time_point now) override;
    bool isPulling() const override { return m_pullNumber != 0; }
    void publish(std::shared_ptr<const directory> known) override;
    void publishPeerView(peer_view view) override;

    /** Runs the action now, or when the process runs again. */
    void whenRunning(event_queue::action what);
    void tickTraffic();
    void handle(const caller_packet &packet);
    store_answer withoutOmitted(store_kind kind, store_answer answer);
    bool omits(omitted_mechanism mechanism) const { return m_omitted.contains(mechanism); }

    place m_where;
    std::uint64_t m_boot;
    event_queue &m_queue;
    emulated_store &m_store;
    instance_port &m_port;
    const std::set<omitted_mechanism> &m_omitted;
    emulated_instance_log m_log;
    instance_control m_control;
    forwarder m_forwarder;
    bool m_alive = true;
    bool m_frozen = false;
    bool m_knowsDesiredState = false;
    std::vector<event_queue::action> m_waiting; ///< Until a frozen process runs again.
    std::map<flow_id, caller_packet> m_openingPackets; ///< To offer again.
    std::uint64_t m_pullNumber = 0; ///< Of the pull under way; zero if there is none.
    std::uint64_t m_pulls = 0;
    time_point m_lastPacket;
    time_point m_nextSlowTick;
};

} // namespace ebonyway
