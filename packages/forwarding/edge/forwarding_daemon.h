#pragma once

#include "forwarding/edge/deployment_adapter.h"
#include "forwarding/edge/traffic_loop.h"
#include "forwarding/process/forwarding_settings.h"
#include "forwarding/process/instance_control.h"
#include "forwarding/process/pause_detector.h"
#include "forwarding/process/unknown_version_log.h"
#include "io/datagram_socket.h"
#include "io/http_client.h"
#include "io/http_listener.h"
#include "io/reactor_thread.h"
#include "telemetry/bounded_event_log.h"
#include "telemetry/metrics.h"

#include <atomic>
#include <memory>
#include <string>

namespace ebonyway {

/**
 * An instance that forwards flows by their tokens. The control thread calls run(), watches the
 * store, exchanges state with peers and serves the status pages. The traffic thread forwards
 * packets.
 */
class forwarding_daemon
    : private datagram_receiver
    , private control_port
{
public:
    /** `settingsFile` is checked for changes while the daemon runs. */
    forwarding_daemon(const deployment_adapter &adapter, forwarding_settings options,
                      std::string settingsFile, event_log &log);
    ~forwarding_daemon() override;

    /** Binds all ports and starts the traffic thread. Returns Unavailable if a bind fails. */
    status start();
    /** Runs the control loop until a requested stop has finished. */
    void run();

    /** Requests a graceful stop. Async-signal-safe. */
    void requestStop() { m_stopRequested = true; }
    /** Makes the next settings check log its result even without a change. Async-signal-safe. */
    void requestReload() { m_reloadRequested = true; }

private:
    void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) override;

    void startStoreCall(const store_call &call) override { m_store->start(call); }
    void cancelStoreCall(store_kind kind) override { m_store->cancel(kind); }
    void sendHeartbeat(const peer_message &message, std::span<const endpoint> targets) override;
    void pullKnowledge(const endpoint &from, const known_positions &since, time_point now) override;
    bool isPulling() const override { return m_peerClient && m_peerClient->isBusy(); }
    void publish(std::shared_ptr<const directory> snapshot) override;
    void publishPeerView(peer_view view) override;

    void tick();
    void onKnowledge(const endpoint &from, const result<http_response> &outcome);
    void checkPause(time_point now);
    void checkSettings();

    http_page knowledgePage(const std::string &path) const;
    http_page readinessPage(const std::string &path) const;
    http_page metricsPage(const std::string &path) const;

    const deployment_adapter &m_adapter;
    forwarding_settings m_options;
    std::string m_settingsFile;
    bounded_event_log m_log;
    metrics_registry m_metrics;
    instance_control m_instanceControl;
    pause_detector m_pauseDetector;
    reactor_thread m_controlThread;
    http_listener m_readinessListener;
    http_listener m_metricsListener;
    std::unique_ptr<store_port> m_store;
    datagram_socket m_peerSocket;
    unknown_version_log m_unknownVersions;
    http_listener m_peerListener;
    std::unique_ptr<http_client> m_peerClient; ///< Client of the peer last asked for knowledge.
    endpoint m_peerClientAddress;
    traffic_loop m_traffic;

    std::atomic<bool> m_stopRequested = false;
    std::atomic<bool> m_reloadRequested = false;
    time_point m_nextSlowTick;
};

} // namespace ebonyway
