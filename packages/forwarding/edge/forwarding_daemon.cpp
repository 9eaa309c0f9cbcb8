#include "forwarding/edge/forwarding_daemon.h"

#include "core/text_file.h"

#include <ace/Reactor.h>

#include <chrono>
#include <ctime>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Timeouts of store calls are checked this often; they are 2 s and more.
constexpr duration ControlTick = 50ms;

// Expiry of lapsed entries, changed settings and suppressed log lines.
constexpr duration SlowTick = 500ms;

std::int64_t millis(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/** Time since the machine started, with the time that it was suspended. */
duration sinceBoot()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::uint64_t seedOf(const std::string &instance)
{
    // Differs between instances and starts, so that their retries and ties do not coincide.
    const auto started = std::chrono::steady_clock::now().time_since_epoch().count();
    return std::hash<std::string>{}(instance) ^ static_cast<std::uint64_t>(started);
}

} // namespace

forwarding_daemon::forwarding_daemon(const frame_adapter &frame, forwarding_settings options,
                                     std::string settingsFile, event_log &log)
    : m_frame(frame)
    , m_options(std::move(options))
    , m_settingsFile(std::move(settingsFile))
    , m_log(log)
    , m_knowledge(directory_times{m_options.heartbeat})
    , m_follower(m_knowledge, seedOf(m_options.instance))
    , m_stop(m_options.stopGrace)
    , m_readiness(m_control.loop(), [this](const std::string &path) { return readinessPage(path); })
    , m_metricsListener(m_control.loop(),
                        [this](const std::string &path) { return metricsPage(path); })
    , m_traffic(frame,
                forwarder_options{m_options.failureDomain, seedOf(m_options.instance),
                                  m_options.flowCapacity},
                m_log, m_metrics, [](const std::vector<server_load> &) {})
{
    m_store = m_frame.connectStore(
            m_control.loop(), m_options.store,
            [this](store_kind kind, const store_answer &answer) { onStoreAnswer(kind, answer); });
    m_control.setTick(ControlTick, [this] { tick(); });
}

forwarding_daemon::~forwarding_daemon()
{
    m_traffic.stop();
}

status forwarding_daemon::start()
{
    m_startedAt = std::chrono::steady_clock::now();
    m_log.write({log_level::Info,
                 "started",
                 {{"instance", m_options.instance},
                  {"failure_domain", m_options.failureDomain},
                  {"traffic", m_options.traffic.toString()},
                  {"store", m_options.store.toString()}}});
    for (const status &outcome :
         {m_traffic.start(m_options.traffic), m_readiness.open(m_options.readiness),
          m_metricsListener.open(m_options.metrics)}) {
        if (!isOk(outcome)) {
            return outcome;
        }
    }
    followStore(m_startedAt);
    return std::monostate{};
}

void forwarding_daemon::run()
{
    m_control.run();
    m_traffic.stop();
    m_log.writeSuppressed();
    m_log.write({log_level::Info, "stopped", {{"instance", m_options.instance}}});
}

void forwarding_daemon::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    checkPause(now);
    m_store->expire(now);
    followStore(now);
    advanceStop(now);
    if (now < m_nextSlowTick) {
        return;
    }
    m_nextSlowTick = now + SlowTick;
    const auto expired = m_knowledge.expire(now);
    for (const directory_change &change : expired) {
        m_log.write({log_level::Info,
                     change.event,
                     {{"name", change.subject},
                      {"revision", change.revision},
                      {"detail", change.detail}}});
    }
    if (!expired.empty()) {
        publishKnowledge();
    }
    checkSettings(now);
    m_log.writeSuppressed();
}

void forwarding_daemon::followStore(time_point now)
{
    const store_step step = m_follower.next(now);
    for (const store_kind kind : step.cancels) {
        m_store->cancel(kind);
    }
    for (const store_call &call : step.calls) {
        m_store->start(call);
    }
}

void forwarding_daemon::onStoreAnswer(store_kind kind, const store_answer &answer)
{
    const time_point now = std::chrono::steady_clock::now();
    m_follower.onAnswer(kind, answer, now);
    logChanges();
    followStore(now);
}

void forwarding_daemon::logChanges()
{
    for (const store_event &event : m_follower.takeEvents()) {
        m_log.write({event.event == "store_lost" ? log_level::Warn : log_level::Info,
                     event.event,
                     {{"kind", std::string(storeKindName(event.kind))},
                      {"detail", event.detail},
                      {"revision", event.revision},
                      {"outage_ms", millis(event.after)}}});
    }
    const auto changes = m_follower.takeChanges();
    for (const directory_change &change : changes) {
        m_log.write({log_level::Info,
                     change.event,
                     {{"name", change.subject},
                      {"revision", change.revision},
                      {"detail", change.detail}}});
    }
    if (!changes.empty() || (!m_published && m_knowledge.isComplete())) {
        publishKnowledge();
    }
}

void forwarding_daemon::publishKnowledge()
{
    if (!m_knowledge.isComplete()) {
        return;
    }
    const auto known = m_knowledge.snapshot();
    m_traffic.adopt(known);
    if (!std::exchange(m_published, true)) {
        const time_point now = std::chrono::steady_clock::now();
        m_log.write({log_level::Info,
                     "ready",
                     {{"after_ms", millis(now - m_startedAt)},
                      {"desired_version", known->routes().version},
                      {"backend_servers", std::uint64_t{known->servers().size()}}}});
    }
}

void forwarding_daemon::checkPause(time_point now)
{
    const auto pause = m_pauses.check(now, sinceBoot());
    if (!pause) {
        return;
    }
    m_log.write({log_level::Warn, "paused", {{"length_ms", millis(*pause)}}});
    m_follower.renew(now);
}

void forwarding_daemon::checkSettings(time_point)
{
    const bool requested = m_reloadRequested.exchange(false);
    const result<std::string> text = readTextFile(m_settingsFile);
    const auto read = isOk(text) ? parseForwardingSettings(m_settingsFile, valueOf(text))
                                 : result<forwarding_settings>(errorOf(text));
    if (!isOk(read)) {
        m_log.write({log_level::Error, "settings_refused", {{"detail", describe(errorOf(read))}}});
        return;
    }
    if (valueOf(read) == m_options) {
        if (requested) {
            m_log.write({log_level::Info, "settings_reloaded", {{"changed", false}}});
        }
        return;
    }
    // Addresses are bound at the start; peers are found anew from the changed seeds.
    m_options.seeds = valueOf(read).seeds;
    const bool needsRestart = !(valueOf(read) == m_options);
    m_log.write({needsRestart ? log_level::Warn : log_level::Info,
                 "settings_reloaded",
                 {{"changed", true}, {"needs_restart", needsRestart}}});
    m_options = valueOf(read);
}

void forwarding_daemon::advanceStop(time_point now)
{
    if (m_stopRequested && !m_stop.isRequested()) {
        m_stop.request(now);
        m_log.write({log_level::Info, "stopping", {{"instance", m_options.instance}}});
    }
    if (m_stop.mayExit(now, m_traffic.lastPacket())) {
        m_control.stop();
    }
}

bool forwarding_daemon::isReady() const
{
    return m_published && !m_stop.isRequested();
}

http_page forwarding_daemon::readinessPage(const std::string &path) const
{
    if (path != m_frame.readinessPath()) {
        return {404, "text/plain", "no such page\n"};
    }
    return isReady() ? http_page{200, "text/plain", "ready\n"}
                     : http_page{503, "text/plain", "not ready\n"};
}

http_page forwarding_daemon::metricsPage(const std::string &path) const
{
    if (path != "/metrics") {
        return {404, "text/plain", "no such page\n"};
    }
    std::vector<metric_sample> samples = m_metrics.samples();
    m_traffic.counters().appendTo(samples);
    samples.push_back({"ready", {}, isReady() ? 1.0 : 0.0});
    samples.push_back({"store_answers", {}, m_follower.storeAnswers() ? 1.0 : 0.0});
    samples.push_back({"store_calls_total", {}, static_cast<double>(m_store->callCount())});
    samples.push_back({"desired_version", {}, static_cast<double>(m_knowledge.desiredVersion())});
    samples.push_back({"backend_servers", {}, static_cast<double>(m_knowledge.serverCount())});
    return {200, "text/plain; version=0.0.4", renderPrometheus(samples)};
}

} // namespace ebonyway
