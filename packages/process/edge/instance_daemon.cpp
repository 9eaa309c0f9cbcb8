#include "process/edge/instance_daemon.h"

#include "core/json_text.h"
#include "process/burn_report.h"
#include "process/edge/platform_adapter.h"
#include "process/edge/status_pages.h"
#include "version/route_plan.h"

#include <future>
#include <utility>

namespace ebonyway {

namespace {

static_assert(FrameSizeLimit <= MaxEngineMessageSize,
              "a larger engine message would never be sent and would block its channel");

constexpr std::chrono::milliseconds ControlTick{50};
constexpr std::chrono::milliseconds PageInterval{1000};

// The shortest window of the burn report is 5 min.
constexpr std::chrono::seconds OutcomeInterval{10};

// Packets that peers sent before they learned of the stop are still served.
constexpr std::chrono::milliseconds ExitLinger{1000};

constexpr std::chrono::milliseconds SyncAnswerTimeout{1000};

// One watch, one read or write of each kind of work, and two sync requests.
constexpr unsigned PlatformThreads = 4;
constexpr unsigned ProbeThreads = 4;
constexpr std::size_t CallQueueLimit = 64;

// 2026-01-01 in milliseconds since 1970; start times are counted from here.
constexpr std::int64_t EpochOffsetMs = 1'767'225'600'000;

/** Milliseconds of wall-clock time, so that each start of an instance has a higher number. */
std::uint64_t startNumber()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(millis - EpochOffsetMs);
}

/** The engine's session number has 32 bits: tenths of a second last until 2039. */
std::uint32_t sessionNumber()
{
    return static_cast<std::uint32_t>(startNumber() / 100);
}

control_settings controlSettings(const settings &options)
{
    control_settings control;
    control.deploymentKey = options.deploymentKey;
    control.seed = startNumber() ^ (std::uint64_t{options.instance.value} << 40);
    control.membership.self = options.instance;
    control.membership.incarnation = startNumber();
    control.membership.seeds = options.seeds;
    member_profile &profile = control.membership.profile;
    profile.failureDomain = options.failureDomain;
    profile.address = options.address;
    profile.gossipPort = options.listenOn(port_offset::Gossip).port;
    profile.relayPort = options.listenOn(port_offset::Relay).port;
    profile.syncPort = options.listenOn(port_offset::Sync).port;
    profile.statusPort = options.listenOn(port_offset::Status).port;
    return control;
}

std::chrono::milliseconds timeUntil(time_point deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    return std::max(std::chrono::milliseconds(1),
                    std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

} // namespace

instance_daemon::additional_worker::additional_worker(const settings &options)
    : decider(options.instance)
    , traffic(options, decider, false)
{ }

instance_daemon::instance_daemon(settings options, event_log &log)
    : m_options(std::move(options))
    , m_log(log)
    , m_snapshots(m_intents)
    , m_core(controlSettings(m_options), m_snapshots, std::chrono::steady_clock::now())
    , m_gossip(*this, 0)
    , m_home(m_options, sessionNumber(), *this)
    , m_platform(m_options.platform)
    , m_platformCalls(PlatformThreads, CallQueueLimit)
    , m_probeCalls(ProbeThreads, CallQueueLimit)
    , m_prober(m_probeCalls,
               [this](const load_report &report) {
                   m_control.post([this, report] { onLoadReport(report); });
               })
    , m_syncServer(
              [this](std::vector<std::byte> request) { return answerSync(std::move(request)); })
{
    for (unsigned i = 1; i < m_options.trafficThreads; ++i) {
        m_additional.emplace_back(m_options);
    }
}

instance_daemon::~instance_daemon()
{
    m_syncServer.stop();
    m_statusServer.stop();
    // A watch may wait for 25 s more; nothing that it brings is needed any longer.
    m_platform.cancelAll();
    m_platformCalls.stop();
    m_probeCalls.stop();
    m_home.stop();
    for (additional_worker &worker : m_additional) {
        worker.traffic.stop();
    }
}

status instance_daemon::start()
{
    status opened = m_gossip.open(m_options.listenOn(port_offset::Gossip), false);
    if (isOk(opened)) {
        opened = m_home.open();
    }
    for (additional_worker &worker : m_additional) {
        if (isOk(opened)) {
            opened = worker.traffic.open();
        }
    }
    if (isOk(opened)) {
        opened = m_syncServer.start(m_options.listenOn(port_offset::Sync));
    }
    if (isOk(opened)) {
        opened = m_statusServer.start(m_options.listenOn(port_offset::Status));
    }
    if (!isOk(opened)) {
        return opened;
    }
    m_gossip.attach(m_control.loop());
    m_control.setTick(ControlTick, [this] { tick(); });
    m_home.start();
    for (additional_worker &worker : m_additional) {
        worker.traffic.start();
    }
    log(log_level::Info, "instance_started",
        {{"failure_domain", m_options.failureDomain},
         {"gossip", m_options.listenOn(port_offset::Gossip).toString()}});
    return std::monostate{};
}

void instance_daemon::run()
{
    m_control.run();
}

void instance_daemon::onDatagram(int, std::span<const std::byte> bytes, const endpoint &from)
{
    m_core.onDatagram(from, bytes, std::chrono::steady_clock::now());
    carryOutActions();
}

void instance_daemon::onEngineMessages(std::vector<outgoing_message> messages)
{
    m_control.post([this, messages = std::move(messages)] {
        for (const outgoing_message &message : messages) {
            const status sent = m_core.sendEngineMessage(message.to, message.bytes);
            // The engine repeats unacknowledged messages, so a peer that is gone needs no handling.
            if (!isOk(sent) && errorOf(sent).kind != error_kind::NotFound) {
                log(log_level::Error, "engine_message_refused",
                    {{"reason", describe(errorOf(sent))}});
            }
        }
        carryOutActions();
    });
}

void instance_daemon::onEngineStatus(engine_status current)
{
    m_control.post([this, current = std::move(current)] { m_engine = current; });
}

void instance_daemon::onSettledRoute(std::shared_ptr<const settled_route> route)
{
    for (additional_worker &worker : m_additional) {
        worker.traffic.thread().post([&worker, route] { worker.decider.adoptRoute(route); });
    }
}

void instance_daemon::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    m_core.onTick(now);
    if (m_engine.readyToJoin && !m_announcedReady && m_phase == stop_phase::Running) {
        m_announcedReady = true;
        m_core.announceReady(now);
        log(log_level::Info, "instance_ready", {});
    }
    m_prober.onTick(*m_intents.plan(), now);
    advanceStop(now);
    carryOutActions();
    if (now >= m_nextPages) {
        m_nextPages = now + PageInterval;
        publishPages(now);
    }
    if (now >= m_nextOutcomes) {
        m_nextOutcomes = now + OutcomeInterval;
        publishOutcomes(now);
    }
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - now;
    m_metrics.observe("control_tick_seconds", spent.count());
}

void instance_daemon::advanceStop(time_point now)
{
    if (m_stopRequested && m_phase == stop_phase::Running) {
        m_phase = stop_phase::Leaving;
        m_stopDeadline = now + m_options.stopGrace;
        m_engine.readyToLeave = false;
        m_core.announceLeaving(now);
        log(log_level::Info, "stop_requested", {});
        return;
    }
    const bool finished = m_engine.readyToLeave || now >= m_stopDeadline;
    if (m_phase == stop_phase::Leaving && finished) {
        m_phase = stop_phase::Left;
        m_mayExitAt = now + ExitLinger;
        log(m_engine.readyToLeave ? log_level::Info : log_level::Warn, "homes_handed_over",
            {{"complete", m_engine.readyToLeave}});
        return;
    }
    if (m_phase == stop_phase::Left && now >= m_mayExitAt) {
        m_core.announceLeft(now);
        carryOutActions();
        log(log_level::Info, "instance_stopped", {});
        m_control.stop();
    }
}

void instance_daemon::carryOutActions()
{
    for (const control_action &action : m_core.takeActions()) {
        std::visit([this](const auto &single) { carryOut(single); }, action);
    }
}

void instance_daemon::carryOut(const send_datagram &action)
{
    m_gossip.send(action.to, action.bytes);
}

void instance_daemon::carryOut(const send_sync_request &action)
{
    const bool queued = m_platformCalls.submit([this, action] {
        const auto limit = timeUntil(action.deadline);
        const auto response = exchangeSync(action.to, action.bytes, limit);
        m_control.post([this, id = action.id, response] {
            m_core.onSyncResponse(id, response, std::chrono::steady_clock::now());
            carryOutActions();
        });
    });
    if (!queued) {
        const error busy{error_kind::Unavailable, "too many calls are waiting", "Retry later."};
        m_core.onSyncResponse(action.id, busy, std::chrono::steady_clock::now());
    }
}

void instance_daemon::carryOut(const call_platform &action)
{
    const bool queued = m_platformCalls.submit([this, action] {
        const time_point started = std::chrono::steady_clock::now();
        const auto answer = callPlatform(m_platform, action.request, timeUntil(action.deadline));
        const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - started;
        m_metrics.observe("platform_call_seconds", spent.count());
        m_control.post([this, id = action.id, answer] {
            m_core.onPlatformResult(id, answer, std::chrono::steady_clock::now());
            carryOutActions();
        });
    });
    if (!queued) {
        const error busy{error_kind::Unavailable, "too many calls are waiting", "Retry later."};
        m_core.onPlatformResult(action.id, busy, std::chrono::steady_clock::now());
    }
}

void instance_daemon::carryOut(const adopt_note &action)
{
    onAdoption(m_intents.adoptNote(action.number, action.text, action.digest), action.number);
}

void instance_daemon::carryOut(const adopt_snapshot &action)
{
    onAdoption(m_intents.adoptSnapshot(action.bytes, action.digest), action.number);
}

void instance_daemon::onAdoption(const adoption &outcome, note_number number)
{
    if (const auto *refusal = std::get_if<adoption_refusal>(&outcome)) {
        log(log_level::Error, "note_refused",
            {{"note", number.value}, {"reason", describe(refusal->detail)}});
        return;
    }
    log(log_level::Info, "note_adopted", {{"note", number.value}});
    m_core.onIntentAdopted(m_intents.plan()->currentIntent());
    m_servers = std::make_shared<const server_directory>(m_intents.plan());
    publishTrafficView();
    m_home.adoptPlan(m_intents.plan());
}

void instance_daemon::carryOut(const publish_view &action)
{
    m_view = action.view;
    publishTrafficView();
    m_home.updateCluster(m_view);
}

void instance_daemon::carryOut(const deliver_engine_message &action)
{
    m_home.deliverMessage(action.from, action.bytes);
}

void instance_daemon::carryOut(const deliver_load_report &action)
{
    m_home.deliverLoadReport(action.report);
}

void instance_daemon::carryOut(const set_probe_targets &action)
{
    m_prober.setTargets(action.backendServers);
}

void instance_daemon::carryOut(const log_event &action)
{
    log_line line{log_level::Info, action.name, {}};
    for (const auto &[name, value] : action.fields) {
        line.fields.push_back({name, value});
    }
    m_log.write(line);
}

void instance_daemon::publishTrafficView()
{
    auto view = std::make_shared<traffic_view>();
    view->servers = m_servers;
    for (const member &known : m_view.members) {
        const member_profile *profile = m_core.profileOf(known.id);
        if (!profile) {
            continue;
        }
        view->relays[known.id] = endpoint{profile->address, profile->relayPort};
    }
    m_home.publishView(view);
    for (additional_worker &worker : m_additional) {
        worker.traffic.publishView(view);
    }
}

void instance_daemon::onLoadReport(const load_report &report)
{
    m_prober.onFinished(report.backendServer);
    m_core.onLoadReport(report);
    m_home.deliverLoadReport(report);
}

result<std::vector<std::byte>> instance_daemon::answerSync(std::vector<std::byte> request)
{
    using response = result<std::vector<std::byte>>;
    const auto promise = std::make_shared<std::promise<response>>();
    std::future<response> future = promise->get_future();
    m_control.post([this, promise, request = std::move(request)] {
        promise->set_value(m_core.onSyncRequest(request));
    });
    if (future.wait_for(SyncAnswerTimeout) != std::future_status::ready) {
        return error{error_kind::Unavailable, "the control thread did not answer in time",
                     "Retry with another peer."};
    }
    return future.get();
}

std::vector<const traffic_counters *> instance_daemon::allCounters() const
{
    std::vector<const traffic_counters *> counters{&m_home.counters()};
    for (const additional_worker &worker : m_additional) {
        counters.push_back(&worker.traffic.counters());
    }
    return counters;
}

void instance_daemon::publishOutcomes(time_point now)
{
    const auto wall = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    const intent &current = m_intents.plan()->currentIntent();
    m_outcomes.collect(current, allCounters(), now, wall);
    const flow_outcome_log &outcomes = m_outcomes.outcomes();
    const std::vector<service_burn> report = makeBurnReport(current, outcomes, wall);
    m_statusServer.publish("/flow_outcomes",
                           {200, "application/json", compactJson(outcomes.toJson())});
    m_statusServer.publish("/burn", {200, "text/plain", burnTable(report)});
    m_statusServer.publish("/burn.svg", {200, "image/svg+xml", burnSvg(report)});
}

void instance_daemon::publishPages(time_point now)
{
    const instance_summary summary{m_options, *m_intents.plan(), m_view,        m_engine,
                                   m_core,    m_metrics,         allCounters(), now};
    m_statusServer.publish("/status", {200, "application/json", renderStatusPage(summary)});
    m_statusServer.publish("/metrics", {200, "text/plain", renderMetricsPage(summary)});
    const std::string problem = healthProblem(summary);
    m_statusServer.publish("/healthz", {problem.empty() ? 200 : 503, "text/plain",
                                        problem.empty() ? "ok\n" : problem + "\n"});
}

void instance_daemon::log(log_level level, std::string name, std::vector<log_field> fields)
{
    fields.insert(fields.begin(), {"instance", std::uint64_t{m_options.instance.value}});
    m_log.write({level, std::move(name), std::move(fields)});
}

} // namespace ebonyway
