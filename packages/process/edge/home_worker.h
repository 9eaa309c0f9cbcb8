#pragma once

#include "connection/capacity_admission.h"
#include "connection/flow_engine.h"
#include "process/edge/packet_decider.h"
#include "process/edge/traffic_worker.h"

#include <memory>
#include <vector>

namespace ebonyway {

/** State of the flow engine as the control thread sees it, copied once per tick. */
struct engine_status
{
    bool synchronised = false;
    bool readyToJoin = false;
    bool readyToLeave = false;
    std::size_t trackedFlows = 0;
    std::size_t openHomes = 0;
    std::size_t memoryBytes = 0;
    std::vector<service_slot_status> slots;
    std::vector<server_flow_status> serverFlows;
};

/** Receives what the home worker has for the control thread; called on the traffic thread. */
class home_listener
{
public:
    virtual ~home_listener() = default;

    virtual void onEngineMessages(std::vector<outgoing_message> messages) = 0;
    virtual void onEngineStatus(engine_status current) = 0;
    virtual void onSettledRoute(std::shared_ptr<const settled_route> route) = 0;
};

/**
 * The traffic thread that owns the flow engine and the admission policy. It serves the relay port,
 * decides unsettled packets, and takes control events as posted tasks.
 */
class home_worker : public packet_decider
{
public:
    /** The listener must outlive the worker. */
    home_worker(const settings &options, std::uint32_t session, home_listener &listener);

    status open() { return m_traffic.open(); }
    void start();
    void stop() { m_traffic.stop(); }

    // Safe from any thread.
    void adoptPlan(std::shared_ptr<const route_plan> plan);
    void updateCluster(const cluster_view &view);
    void deliverMessage(instance_id from, std::vector<std::byte> bytes);
    void deliverLoadReport(const load_report &report);
    void publishView(const std::shared_ptr<const traffic_view> &view)
    {
        m_traffic.publishView(view);
    }

    const traffic_counters &counters() const { return m_traffic.counters(); }

    route_decision decide(const packet_view &packet, const packet_origin &origin,
                          time_point now) override;
    answer_decision decideAnswer(const packet_view &packet, backend_server_id sender,
                                 const packet_origin &origin, time_point now) override;

private:
    void tick();
    void refreshStatus(time_point now);

    home_listener &m_listener;
    bool m_publishesRoute = false;
    capacity_admission m_admission;
    flow_engine m_engine;
    traffic_worker m_traffic;
    engine_status m_status;
    time_point m_nextStatus;
    time_point m_nextDetails;
};

/**
 * Decides settled packets on an additional traffic thread. Everything else goes to the home worker
 * of the same instance through the relay port.
 */
class settled_decider : public packet_decider
{
public:
    explicit settled_decider(instance_id self);

    /** Replaces the route. Called only on the traffic thread that uses this decider. */
    void adoptRoute(std::shared_ptr<const settled_route> route);

    route_decision decide(const packet_view &packet, const packet_origin &origin,
                          time_point now) override;
    answer_decision decideAnswer(const packet_view &packet, backend_server_id sender,
                                 const packet_origin &origin, time_point now) override;

private:
    instance_id m_self;
    std::shared_ptr<const settled_route> m_route;
};

} // namespace ebonyway
