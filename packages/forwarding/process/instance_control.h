#pragma once

#include "forwarding/connection/shared_load.h"
#include "forwarding/process/load_reports.h"
#include "forwarding/process/peer_directory.h"
#include "forwarding/process/planned_stop.h"
#include "forwarding/process/startup_plan.h"
#include "forwarding/process/store_follower.h"
#include "forwarding/version/directory_builder.h"
#include "telemetry/event_log.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ebonyway {

/** State reported by the peers, used to place flows. */
struct peer_view
{
    std::vector<peer_server_load> loads; ///< Summed over all live peers.
    /** Names of the known instances by failure domain; they share the rates of cold servers. */
    std::map<std::string, std::vector<std::string>> instances;
    std::set<std::string> silentDomains;
    shared_load shared;
};

/** Performs the I/O that instance_control requests. */
class control_port
{
public:
    virtual ~control_port() = default;

    virtual void startStoreCall(const store_call &call) = 0;
    virtual void cancelStoreCall(store_kind kind) = 0;
    virtual void sendHeartbeat(const peer_message &message, std::span<const endpoint> targets) = 0;
    /**
     * Requests from another instance what changed after the given positions, or its complete
     * knowledge if they are empty. Only one pull may run at a time.
     */
    virtual void pullKnowledge(const endpoint &from, const known_positions &since,
                               time_point now) = 0;
    virtual bool isPulling() const = 0;
    /** Passes a new snapshot to the traffic threads. */
    virtual void publish(std::shared_ptr<const directory> snapshot) = 0;
    virtual void publishPeerView(peer_view view) = 0;
};

/** Identity of an instance, set when it starts. */
struct instance_identity
{
    std::string name;
    std::string failureDomain;
    endpoint peers; ///< Address at which other instances reach it.
    std::uint64_t boot = 0; ///< Wall-clock start time in milliseconds.
    std::uint64_t seed = 0;
    bool isFirstStart = false; ///< The whole deployment starts for the first time.
};

/** Durations from the settings of an instance. */
struct instance_times
{
    duration serverHeartbeat = std::chrono::milliseconds(1200);
    duration stopGrace = std::chrono::milliseconds(6000);
};

/**
 * Control logic of an instance: follows the store and the peers, publishes snapshots, and decides
 * whether the instance is ready and when it may exit. Uses no sockets and reads no clock.
 */
class instance_control
{
public:
    instance_control(const instance_identity &identity, const instance_times &times,
                     control_port &port, event_log &log);

    void start(const std::vector<endpoint> &seeds, time_point now);
    /** Performs all work that is due. Must be called every 50 ms. */
    void tick(time_point now);

    void onStoreAnswer(store_kind kind, const store_answer &answer, time_point now);
    void onPeerMessage(const peer_message &message, time_point now);
    /** Handles the result of a pull from the instance at `from`. */
    void onKnowledge(const endpoint &from, const result<exported_knowledge> &outcome,
                     time_point now);
    /** Sets the load that this instance puts on each backend server and its callers' demand. */
    void setLoads(std::vector<peer_server_load> loads, std::vector<service_demand> demands,
                  time_point now);
    void setSeeds(const std::vector<endpoint> &seeds) { m_peers.setSeeds(seeds); }
    /** Restarts all store calls after the process was paused, as its connections may be dead. */
    void onPause(time_point now) { m_follower.restartCalls(now); }

    void requestStop(time_point now);
    /** `lastPacket` is the arrival time of the last packet from a caller. */
    bool mayExit(time_point now, time_point lastPacket) const;

    /** Returns whether routers may send packets to this instance; answers their readiness check. */
    bool isReady() const;
    /**
     * Returns the knowledge to send to an instance that has applied all changes up to `since`, or
     * nothing while the own knowledge is incomplete.
     */
    std::optional<exported_knowledge> exportKnowledge(time_point now,
                                                      const known_positions &since) const;

    const directory_builder &knowledge() const { return m_knowledge; }
    const store_follower &follower() const { return m_follower; }
    const peer_directory &peers() const { return m_peers; }
    const load_reports &reports() const { return m_reports; }

private:
    void tickPeers(time_point now);
    void updateReading(time_point now);
    void followStore(time_point now);
    void sendHeartbeat(bool afterChange, time_point now);
    void sendHeartbeatTo(const heartbeat_targets &targets, time_point now);
    void pullKnowledge(time_point now);
    void pullNewerKnowledge(const endpoint &source, time_point now);
    void logStoreEvents();
    void logChanges(const std::vector<directory_change> &changes);
    void logAndPublish(const std::vector<directory_change> &changes, time_point now);
    void publishKnowledge(time_point now);
    void checkReachability(time_point now);

    control_port &m_port;
    event_log &m_log;
    directory_builder m_knowledge;
    store_follower m_follower;
    peer_directory m_peers;
    load_reports m_reports;
    startup_plan m_startup;
    planned_stop m_stop;
    endpoint m_peerAddress; ///< At which other instances reach this one.
    std::shared_ptr<const directory> m_snapshot; ///< Last published; null before the first one.
    std::vector<peer_server_load> m_loads;
    std::vector<service_demand> m_demands;
    time_point m_loadsAt; ///< Time at which m_loads was collected.
    std::set<std::string> m_silentDomains;
    bool m_canServe = true; ///< A usable backend server is in reach, or no domain is silent.
    std::optional<time_point> m_behindSince; ///< Set while a peer has newer knowledge.
    time_point m_nextPull; ///< Earliest time of the next pull.
    /** An instance that ran before this one has handed over its knowledge. */
    bool m_hasEarlierKnowledge = false;
    /** An instance that ran before has told how long it counts servers as cold. */
    bool m_hasEarlierEstimates = false;
    time_point m_startedAt;
    time_point m_nextHeartbeat;
    time_point m_nextExpiry;
};

} // namespace ebonyway
