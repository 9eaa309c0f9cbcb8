#pragma once

#include "forwarding/edge/frame_adapter.h"
#include "forwarding/edge/traffic_loop.h"
#include "forwarding/process/forwarding_settings.h"
#include "forwarding/process/pause_detector.h"
#include "forwarding/process/peer_directory.h"
#include "forwarding/process/planned_stop.h"
#include "forwarding/process/store_follower.h"
#include "forwarding/version/directory_builder.h"
#include "io/datagram_socket.h"
#include "io/http_client.h"
#include "io/http_listener.h"
#include "io/reactor_thread.h"
#include "telemetry/bounded_event_log.h"
#include "telemetry/metrics.h"

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/**
 * An instance that forwards flows by tokens. The control thread, which calls run(), follows the
 * store and answers status pages; the traffic thread forwards packets.
 */
class forwarding_daemon : private datagram_receiver
{
public:
    /** `settingsFile` is read again when it changes. */
    forwarding_daemon(const frame_adapter &frame, forwarding_settings options,
                      std::string settingsFile, event_log &log);
    ~forwarding_daemon() override;

    /** Binds all ports and starts the traffic thread. Fails with Unavailable. */
    status start();
    /** Runs the control loop until a requested stop has finished. */
    void run();

    /** Safe from a signal handler. */
    void requestStop() { m_stopRequested = true; }
    void requestReload() { m_reloadRequested = true; }

private:
    void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) override;

    void tick();
    void tickPeers(time_point now);
    void sendHeartbeat(bool afterChange, time_point now);
    void pullKnowledge(time_point now);
    void onKnowledge(const endpoint &from, const result<http_response> &outcome);
    void followStore(time_point now);
    void checkPause(time_point now);
    void checkSettings(time_point now);
    void advanceStop(time_point now);
    void onStoreAnswer(store_kind kind, const store_answer &answer);
    void publishKnowledge();
    void logChanges();

    void logAndPublish(const std::vector<directory_change> &changes);

    http_page knowledgePage(const std::string &path) const;
    http_page readinessPage(const std::string &path) const;
    http_page metricsPage(const std::string &path) const;
    bool isReady() const;
    void checkReachability(time_point now);

    const frame_adapter &m_frame;
    forwarding_settings m_options;
    std::string m_settingsFile;
    bounded_event_log m_log;
    metrics_registry m_metrics;
    directory_builder m_knowledge;
    store_follower m_follower;
    planned_stop m_stop;
    pause_detector m_pauses;
    reactor_thread m_control;
    http_listener m_readiness;
    http_listener m_metricsListener;
    std::unique_ptr<store_port> m_store;
    peer_directory m_peers;
    datagram_socket m_peerSocket;
    http_listener m_peerPages;
    std::unique_ptr<http_client> m_peerClient; ///< Of the last instance that knew more.
    endpoint m_peerClientAddress;
    std::optional<time_point> m_behindSince; ///< Other instances know more than this one.
    std::vector<peer_server_load> m_loads;
    time_point m_nextHeartbeat;
    traffic_loop m_traffic;

    std::atomic<bool> m_stopRequested = false;
    std::atomic<bool> m_reloadRequested = false;
    std::shared_ptr<const directory> m_known; ///< What the traffic thread was given last.
    std::set<std::string> m_silentDomains;
    bool m_canServe = true;
    time_point m_startedAt;
    time_point m_nextSlowTick;
};

} // namespace ebonyway
