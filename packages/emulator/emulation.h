#pragma once

#include "core/seeded_random.h"
#include "emulator/emulated_caller.h"
#include "emulator/emulated_instance.h"
#include "emulator/emulated_router.h"
#include "emulator/emulated_server.h"
#include "emulator/emulation_report.h"
#include "emulator/event_queue.h"
#include "emulator/rule_monitor.h"
#include "emulator/scenario.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** Inputs of one emulated day beside the scenario. */
struct emulation_options
{
    std::uint64_t seed = 1;
    std::set<omitted_mechanism> omitted;
    event_log *log = nullptr; ///< Receives the lines of all instances; nothing if null.
};

/**
 * One day of a deployment under virtual time: routers, callers, backend servers and the store are
 * models, instances run the product's decisions. The same scenario and seed give the same day.
 */
class emulation
    : private caller_port
    , private instance_port
{
public:
    /** The scenario must outlive the emulation. */
    emulation(const scenario &plan, emulation_options options);
    ~emulation() override;

    /** Plays the whole day. */
    emulation_report run();

private:
    void sendPacket(const caller_packet &packet, const std::string &failureDomain) override;
    void onRequestEnd(std::size_t traffic, const std::string &failureDomain, time_point startedAt,
                      request_outcome outcome) override;

    void sendToServer(const place &from, const forward_packet &target,
                      const caller_packet &packet) override;
    void sendReset(const place &from, const caller_packet &packet,
                   forwarding_refusal reason) override;
    void sendHeartbeat(const place &from, const endpoint &to, const peer_message &message) override;
    void pullKnowledge(const place &from, const endpoint &to,
                       const known_positions &since) override;

    // Building the deployment.
    void writeDesiredState();
    void startServers();
    server_key addServer(const scenario_service &service, const std::string &failureDomain,
                         bool cold, std::optional<endpoint> address = std::nullopt);
    void startInstance(std::uint64_t id);

    // Traffic at servers.
    void onServerPacket(server_key key, const caller_packet &packet, std::uint64_t instance);
    void runServer(server_key key);
    void sendToCaller(const server_packet &packet);
    bool isServed(const flow_id &flow, server_key *holder) const;

    // Disturbances.
    void schedule(const scenario_event &event);
    void play(const scenario_event &event);
    void playOnInstances(const scenario_event &event);
    void playOnServers(const scenario_event &event);
    void playOnStore(const scenario_event &event);
    void playOnDomain(const scenario_event &event);
    void playOnRoutes(const scenario_event &event);
    void killInstance(std::uint64_t id, duration pause);
    void stopInstance(std::uint64_t id);
    void crashServer(server_key key, server_mood mood);
    void reviveServer(server_key key);
    void drainServer(server_key key);
    /** The server becomes cold, and reports it from its next regular report on. */
    void makeCold(server_key key);
    void reportCold(server_key key, std::uint64_t life);
    std::vector<std::uint64_t> pickInstances(std::uint32_t count);
    std::vector<server_key> pickServers(const scenario_event &event);
    const scenario_service &serviceOf(server_key key) const;
    std::string pickDomain(const scenario_event &event);
    void judgeRecovery();

    emulated_instance *instanceAt(const endpoint &address);
    place placeOf(server_key key) const;
    static std::string storeName(server_key key) { return "server-" + std::to_string(key.value); }

    const scenario &m_plan;
    emulation_options m_options;
    event_queue m_queue;
    seeded_random m_random;
    seeded_random m_callerRandom; ///< Of its own, so that faults do not change the load.
    emulated_network m_network;
    emulated_store m_store;
    rule_monitor m_monitor;
    emulated_router m_router;
    emulated_callers m_callers;

    std::vector<std::unique_ptr<emulated_instance>> m_processes; ///< All that ever ran.
    std::map<std::uint64_t, emulated_instance *> m_instances; ///< The last process of each.
    std::map<std::uint64_t, std::uint64_t> m_boots;
    std::map<server_key, emulated_server> m_servers;
    std::map<endpoint, server_key> m_serverAt;
    std::uint64_t m_nextServer = 1;
    std::set<std::uint64_t> m_begunOnce; ///< Requests that have run.
    std::map<flow_id, server_key> m_holder; ///< Where each flow is open.

    std::uint64_t m_desiredVersion = 0;
    std::set<std::size_t> m_withdrawnTraffic;
    time_point m_loadStart;
    std::optional<time_point> m_allKilledAt;
    emulation_report m_report;
};

} // namespace ebonyway
