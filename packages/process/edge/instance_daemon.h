#pragma once

#include "io/datagram_socket.h"
#include "io/reactor_thread.h"
#include "process/control_core.h"
#include "process/edge/call_worker.h"
#include "process/edge/health_prober.h"
#include "process/edge/home_worker.h"
#include "process/edge/http_platform_store.h"
#include "process/edge/outcome_collector.h"
#include "process/edge/plan_snapshots.h"
#include "process/edge/status_server.h"
#include "process/edge/sync_connection.h"
#include "process/edge/traffic_worker.h"
#include "process/settings.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "version/intent_log.h"

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace ebonyway {

/**
 * The entry instance. The control thread, which is the thread that calls run(), owns the control
 * core and the intent log and carries out their actions. It hands plans, views and peers' messages
 * to the traffic threads as posted tasks.
 */
class instance_daemon
    : private datagram_receiver
    , private home_listener
{
public:
    instance_daemon(settings options, event_log &log);
    ~instance_daemon() override;

    /** Binds all ports and starts the threads. Fails with Unavailable. */
    status start();

    /** Runs the control thread's loop until a requested stop has finished. */
    void run();

    /** Requests a graceful stop. Safe from a signal handler. */
    void requestStop() { m_stopRequested = true; }

private:
    enum class stop_phase {
        Running,
        Leaving, ///< Homes are being handed over; packets are still served.
        Left,
    };

    struct additional_worker
    {
        explicit additional_worker(const settings &options);

        settled_decider decider;
        traffic_worker traffic;
    };

    // datagram_receiver
    void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) override;

    // home_listener, called on the home worker's thread
    void onEngineMessages(std::vector<outgoing_message> messages) override;
    void onEngineStatus(engine_status current) override;
    void onSettledRoute(std::shared_ptr<const settled_route> route) override;

    void tick();
    void advanceStop(time_point now);
    void carryOutActions();
    void carryOut(const send_datagram &action);
    void carryOut(const send_sync_request &action);
    void carryOut(const call_platform &action);
    void carryOut(const adopt_note &action);
    void carryOut(const adopt_snapshot &action);
    void carryOut(const publish_view &action);
    void carryOut(const deliver_engine_message &action);
    void carryOut(const deliver_load_report &action);
    void carryOut(const set_probe_targets &action);
    void carryOut(const log_event &action);

    void onAdoption(const adoption &outcome, note_number number);
    void publishTrafficView();
    void onLoadReport(const load_report &report);
    result<std::vector<std::byte>> answerSync(std::vector<std::byte> request);
    std::vector<const traffic_counters *> allCounters() const;
    void publishPages(time_point now);
    void publishOutcomes(time_point now);

    void log(log_level level, std::string name, std::vector<log_field> fields);

    settings m_options;
    event_log &m_log;
    metrics_registry m_metrics;
    intent_log m_intents;
    plan_snapshots m_snapshots;
    control_core m_core;
    reactor_thread m_control;
    datagram_socket m_gossip;
    home_worker m_home;
    std::deque<additional_worker> m_additional;
    http_platform_store m_platform;
    call_worker m_platformCalls;
    call_worker m_probeCalls;
    health_prober m_prober;
    sync_server m_syncServer;
    status_server m_statusServer;
    outcome_collector m_outcomes;

    cluster_view m_view;
    std::shared_ptr<const server_directory> m_servers = std::make_shared<server_directory>();
    engine_status m_engine;
    bool m_announcedReady = false;
    std::atomic<bool> m_stopRequested = false;
    stop_phase m_phase = stop_phase::Running;
    time_point m_stopDeadline;
    time_point m_mayExitAt;
    time_point m_nextPages;
    time_point m_nextOutcomes;
};

} // namespace ebonyway
