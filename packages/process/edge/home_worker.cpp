#include "process/edge/home_worker.h"

#include "process/settings.h"
#include "version/route_plan.h"

#include <utility>

namespace ebonyway {

namespace {

constexpr std::chrono::milliseconds EngineTick{50};
constexpr std::chrono::milliseconds StatusInterval{250};

// The details scan the whole tracked flow table; four scans a second cost 2% of a core.
constexpr std::chrono::seconds DetailsInterval{2};

flow_engine_options engineOptions(const settings &options, std::uint32_t session)
{
    flow_engine_options engine;
    engine.self = options.instance;
    engine.session = session;
    engine.deploymentKey = options.deploymentKey;
    engine.freshnessLimit = options.freshnessLimit;
    engine.establishedCapacity = options.trackedFlows;
    engine.probationCapacity = options.probationFlows;
    return engine;
}

} // namespace

home_worker::home_worker(const settings &options, std::uint32_t session, home_listener &listener)
    : m_listener(listener)
    , m_publishesRoute(options.trafficThreads > 1)
    , m_engine(engineOptions(options, session), m_admission)
    , m_traffic(options, *this, true)
{ }

void home_worker::start()
{
    m_traffic.thread().setTick(EngineTick, [this] { tick(); });
    m_traffic.start();
}

void home_worker::adoptPlan(std::shared_ptr<const route_plan> plan)
{
    m_traffic.thread().post([this, plan = std::move(plan)] {
        const time_point now = std::chrono::steady_clock::now();
        m_admission.adoptIntent(plan->currentIntent(), now);
        m_engine.adoptPlan(plan, now);
    });
}

void home_worker::updateCluster(const cluster_view &view)
{
    m_traffic.thread().post(
            [this, view] { m_engine.updateCluster(view, std::chrono::steady_clock::now()); });
}

void home_worker::deliverMessage(instance_id from, std::vector<std::byte> bytes)
{
    m_traffic.thread().post([this, from, bytes = std::move(bytes)] {
        m_engine.onMessage(from, bytes, std::chrono::steady_clock::now());
    });
}

void home_worker::deliverLoadReport(const load_report &report)
{
    m_traffic.thread().post(
            [this, report] { m_admission.onLoadReport(report, std::chrono::steady_clock::now()); });
}

route_decision home_worker::decide(const packet_view &packet, const packet_origin &origin,
                                   time_point now)
{
    return m_engine.route(packet, origin, now);
}

answer_decision home_worker::decideAnswer(const packet_view &packet, backend_server_id sender,
                                          const packet_origin &origin, time_point now)
{
    return m_engine.onAnswer(packet, sender, now, origin);
}

void home_worker::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    m_engine.onTick(now);
    std::vector<outgoing_message> messages = m_engine.takeMessages(now);
    if (!messages.empty()) {
        m_listener.onEngineMessages(std::move(messages));
    }
    if (m_publishesRoute) {
        m_listener.onSettledRoute(m_engine.publishSettledRoute());
    }
    if (now >= m_nextStatus) {
        m_nextStatus = now + StatusInterval;
        refreshStatus(now);
        m_listener.onEngineStatus(m_status);
    }
}

void home_worker::refreshStatus(time_point now)
{
    m_status.synchronised = m_engine.isSynchronised();
    m_status.readyToJoin = m_engine.readyToJoin();
    m_status.readyToLeave = m_engine.readyToLeave(now);
    m_status.trackedFlows = m_engine.trackedFlowCount();
    m_status.openHomes = m_engine.openHomeCount();
    if (now < m_nextDetails) {
        return;
    }
    m_nextDetails = now + DetailsInterval;
    m_status.memoryBytes = m_engine.memoryBytes();
    m_status.slots = m_engine.slotStatus();
    m_status.serverFlows = m_engine.serverFlowStatus();
}

settled_decider::settled_decider(instance_id self)
    : m_self(self)
{ }

void settled_decider::adoptRoute(std::shared_ptr<const settled_route> route)
{
    m_route = std::move(route);
}

route_decision settled_decider::decide(const packet_view &packet, const packet_origin &origin,
                                       time_point now)
{
    const std::optional<route_decision> decision =
            m_route ? m_route->decide(packet, origin, now) : std::nullopt;
    return decision ? *decision : relay_action{m_self, 1};
}

answer_decision settled_decider::decideAnswer(const packet_view &packet, backend_server_id sender,
                                              const packet_origin &origin, time_point now)
{
    const std::optional<answer_decision> decision =
            m_route ? m_route->checkAnswer(packet, sender, origin, now) : std::nullopt;
    return decision ? *decision : relay_action{m_self, 1};
}

} // namespace ebonyway
