#pragma once

#include "forwarding/process/peer_directory.h"
#include "forwarding/process/planned_stop.h"
#include "forwarding/process/store_follower.h"
#include "forwarding/version/directory_builder.h"
#include "telemetry/event_log.h"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ebonyway {

/** What an instance has learned from other instances, for the placement of flows. */
struct peer_view
{
    std::vector<peer_server_load> loads; ///< Of all others together.
    std::size_t instances = 1; ///< That share the rates of cold servers.
    std::set<std::string> silentDomains;
};

/** Carries out what instance_control decides. */
class control_port
{
public:
    virtual ~control_port() = default;

    virtual void startStoreCall(const store_call &call) = 0;
    virtual void cancelStoreCall(store_kind kind) = 0;
    virtual void sendHeartbeat(const peer_message &message, std::span<const endpoint> targets) = 0;
    /** Asks another instance for all it knows. One pull at a time. */
    virtual void pullKnowledge(const endpoint &from, time_point now) = 0;
    virtual bool isPulling() const = 0;
    /** Hands new knowledge to the traffic threads. */
    virtual void publish(std::shared_ptr<const directory> known) = 0;
    virtual void publishPeerView(peer_view view) = 0;
};

/** What an instance is told about itself when it starts. */
struct instance_identity
{
    std::string name;
    std::string failureDomain;
    endpoint peers; ///< Where other instances reach it.
    std::uint64_t boot = 0; ///< Wall time of its start in milliseconds.
    std::uint64_t seed = 0;
};

/** Times that an instance takes from its settings. */
struct instance_times
{
    duration serverHeartbeat = std::chrono::milliseconds(1200);
    duration stopGrace = std::chrono::milliseconds(6000);
};

/**
 * Control state of an instance: what it knows, from whom it learns, whether it takes packets and
 * when it may exit. Holds no sockets and reads no clock.
 */
class instance_control
{
public:
    instance_control(const instance_identity &identity, const instance_times &times,
                     control_port &port, event_log &log);

    void start(const std::vector<endpoint> &seeds, time_point now);
    /** Does what is due. Call it every 50 ms. */
    void tick(time_point now);

    void onStoreAnswer(store_kind kind, const store_answer &answer, time_point now);
    void onPeerMessage(const peer_message &message, time_point now);
    /** A pull has ended. `from` is where it went. */
    void onKnowledge(const endpoint &from, const result<passed_knowledge> &outcome, time_point now);
    /** Sets what this instance sends to backend servers. */
    void setLoads(std::vector<peer_server_load> loads, time_point now);
    void setSeeds(const std::vector<endpoint> &seeds) { m_peers.setSeeds(seeds); }
    /** The process stood still for a while, so its connections may be dead. */
    void onPause(time_point now) { m_follower.renew(now); }

    void requestStop(time_point now);
    /** `lastPacket` is when a caller's packet last arrived. */
    bool mayExit(time_point now, time_point lastPacket) const;

    /** Returns whether routers may send packets to this instance. */
    bool isReady() const;
    /** Returns all knowledge for another instance, or nothing while it is incomplete. */
    std::optional<passed_knowledge> pass(time_point now) const;

    const directory_builder &knowledge() const { return m_knowledge; }
    const store_follower &follower() const { return m_follower; }
    const peer_directory &peers() const { return m_peers; }

private:
    void tickPeers(time_point now);
    void followStore(time_point now);
    void sendHeartbeat(bool afterChange, time_point now);
    void pullKnowledge(time_point now);
    void logStoreEvents();
    void logAndPublish(const std::vector<directory_change> &changes, time_point now);
    void publishKnowledge(time_point now);
    void checkReachability(time_point now);

    control_port &m_port;
    event_log &m_log;
    directory_builder m_knowledge;
    store_follower m_follower;
    peer_directory m_peers;
    planned_stop m_stop;
    std::shared_ptr<const directory> m_known; ///< What was published last.
    std::vector<peer_server_load> m_loads;
    time_point m_loadsAt; ///< When they were collected.
    std::set<std::string> m_silentDomains;
    bool m_canServe = true;
    std::optional<time_point> m_behindSince; ///< Other instances know more than this one.
    time_point m_startedAt;
    time_point m_nextHeartbeat;
    time_point m_nextExpiry;
};

} // namespace ebonyway
