#include "forwarding/edge/forwarding_daemon.h"

#include "core/text_file.h"

#include <ace/Reactor.h>

#include <chrono>
#include <ctime>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Interval for running the control logic and checking the timeouts of calls. Timeouts of store
// calls are at least 2 s.
constexpr duration ControlTickInterval = 50ms;

// Time after which a pull of knowledge from a peer fails and another peer may be asked. Peers
// answer within milliseconds.
constexpr duration PullTimeout = 500ms;

// Start of the HTTP path at which an instance serves its knowledge to its peers. The positions of
// the peer follow.
const std::string KnowledgePath = "/knowledge/";

// Bytes of answers to peers that may wait to be sent. Above that, the desired state, which can be
// hundreds of kilobytes long, is withheld until the link is free; peers that have it can send it
// meanwhile. It takes 100 ms on the slowest link, of 10 Mbit/s.
constexpr std::size_t MaxUnsentKnowledge = 128U << 10;

// Interval for checking the settings file and reporting suppressed log lines.
constexpr duration SlowTickInterval = 500ms;

std::int64_t millis(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/** Returns the time since boot, including time in suspend. */
duration sinceBoot()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::uint64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::uint64_t makeSeed(const std::string &instance)
{
    // The seed differs between instances and restarts, so that instances neither retry at the same
    // time nor break ties alike.
    const auto started = std::chrono::steady_clock::now().time_since_epoch().count();
    return std::hash<std::string>{}(instance) ^ static_cast<std::uint64_t>(started);
}

} // namespace

forwarding_daemon::forwarding_daemon(const deployment_adapter &adapter, forwarding_settings options,
                                     std::string settingsFile, event_log &log)
    : m_adapter(adapter)
    , m_options(std::move(options))
    , m_settingsFile(std::move(settingsFile))
    , m_log(log, m_options.instance)
    , m_instanceControl({m_options.instance, m_options.failureDomain, m_options.peers, wallMillis(),
                         makeSeed(m_options.instance), m_options.firstStart},
                        {m_options.heartbeat, m_options.stopGrace}, *this, m_log)
    , m_readinessListener(m_controlThread.loop(),
                          [this](const std::string &path) { return readinessPage(path); })
    , m_metricsListener(m_controlThread.loop(),
                        [this](const std::string &path) { return metricsPage(path); })
    , m_peerSocket(*this, 0)
    , m_peerListener(m_controlThread.loop(),
                     [this](const std::string &path) { return knowledgePage(path); })
    , m_traffic(adapter,
                forwarder_options{m_options.failureDomain, makeSeed(m_options.instance),
                                  m_options.flowCapacity, m_options.instance},
                m_log, m_metrics,
                [this](std::vector<peer_server_load> loads, std::vector<service_demand> demands) {
                    m_controlThread.post(
                            [this, loads = std::move(loads), demands = std::move(demands)] {
                                m_instanceControl.setLoads(loads, demands,
                                                           std::chrono::steady_clock::now());
                            });
                })
{
    m_store = m_adapter.connectStore(m_controlThread.loop(), m_options.store,
                                     [this](store_kind kind, const store_answer &answer) {
                                         m_instanceControl.onStoreAnswer(
                                                 kind, answer, std::chrono::steady_clock::now());
                                     });
    m_controlThread.setTick(ControlTickInterval, [this] { tick(); });
}

forwarding_daemon::~forwarding_daemon()
{
    m_traffic.stop();
}

status forwarding_daemon::start()
{
    m_log.write({log_level::Info,
                 "started",
                 {{"failure_domain", m_options.failureDomain},
                  {"traffic", m_options.traffic.toString()},
                  {"store", m_options.store.toString()}}});
    for (const status &outcome :
         {m_traffic.start(m_options.traffic), m_readinessListener.open(m_options.readiness),
          m_metricsListener.open(m_options.metrics), m_peerSocket.open(m_options.peers, false),
          m_peerListener.open(m_options.peers)}) {
        if (!isOk(outcome)) {
            return outcome;
        }
    }
    m_peerSocket.attach(m_controlThread.loop());
    m_instanceControl.start(m_options.seeds, std::chrono::steady_clock::now());
    return std::monostate{};
}

void forwarding_daemon::run()
{
    m_controlThread.run();
    m_traffic.stop();
    m_log.writeSuppressed();
    m_log.write({log_level::Info, "stopped", {}});
}

void forwarding_daemon::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    checkPause(now);
    m_store->expire(now);
    if (m_peerClient) {
        m_peerClient->expire(now);
    }
    if (m_stopRequested) {
        m_instanceControl.requestStop(now);
    }
    m_instanceControl.tick(now);
    if (m_instanceControl.mayExit(now, m_traffic.lastPacket())) {
        m_controlThread.stop();
    }
    if (now < m_nextSlowTick) {
        return;
    }
    m_nextSlowTick = now + SlowTickInterval;
    checkSettings();
    m_log.writeSuppressed();
}

void forwarding_daemon::sendHeartbeat(const peer_message &message,
                                      std::span<const endpoint> targets)
{
    const auto bytes = encodePeerMessage(message);
    for (const endpoint &target : targets) {
        // Send failures are ignored: the next heartbeat replaces a lost one.
        m_peerSocket.send(target, bytes);
    }
}

void forwarding_daemon::onDatagram(int, std::span<const std::byte> bytes, const endpoint &from)
{
    const auto message = decodePeerMessage(bytes);
    if (!isOk(message)) {
        const auto version = unknownPeerMessageVersion(bytes);
        if (version && !m_unknownVersions.addIfNew(from, *version)) {
            return;
        }
        m_log.write({log_level::Warn,
                     "peer_message_refused",
                     {{"from", from.toString()},
                      {"detail", errorOf(message).message},
                      {"version", std::uint64_t{version.value_or(0)}}}});
        return;
    }
    m_instanceControl.onPeerMessage(valueOf(message), std::chrono::steady_clock::now());
}

void forwarding_daemon::pullKnowledge(const endpoint &from, const known_positions &since,
                                      time_point now)
{
    if (!m_peerClient || m_peerClientAddress != from) {
        m_peerClient = std::make_unique<http_client>(m_controlThread.loop(), from);
        m_peerClientAddress = from;
    }
    m_peerClient->call(
            "GET", KnowledgePath + encodePositions(since), "", now + PullTimeout,
            [this, from](const result<http_response> &outcome) { onKnowledge(from, outcome); });
}

void forwarding_daemon::onKnowledge(const endpoint &from, const result<http_response> &outcome)
{
    const time_point now = std::chrono::steady_clock::now();
    if (!isOk(outcome)) {
        m_instanceControl.onKnowledge(from, errorOf(outcome), now);
        return;
    }
    if (valueOf(outcome).status != 200) {
        m_instanceControl.onKnowledge(from,
                                      error{error_kind::Unavailable,
                                            "status " + std::to_string(valueOf(outcome).status),
                                            "Another instance is asked next."},
                                      now);
        return;
    }
    m_instanceControl.onKnowledge(from, decodeKnowledge(valueOf(outcome).body), now);
}

void forwarding_daemon::publish(std::shared_ptr<const directory> snapshot)
{
    m_traffic.adopt(std::move(snapshot));
}

void forwarding_daemon::publishPeerView(peer_view view)
{
    m_traffic.setPeerView(std::move(view));
}

http_page forwarding_daemon::knowledgePage(const std::string &path) const
{
    const auto since = path.starts_with(KnowledgePath)
                               ? decodePositions(path.substr(KnowledgePath.size()))
                               : std::nullopt;
    auto knowledge =
            since ? m_instanceControl.exportKnowledge(std::chrono::steady_clock::now(), *since)
                  : std::nullopt;
    if (!knowledge) {
        return {404, "text/plain", "no such page\n"};
    }
    const bool isStarting = *since == known_positions{};
    if (!isStarting && m_peerListener.unsentBytes() > MaxUnsentKnowledge) {
        knowledge->withholdDesiredState();
    }
    return {200, "application/octet-stream", encodeKnowledge(*knowledge)};
}

void forwarding_daemon::checkPause(time_point now)
{
    const auto pause = m_pauseDetector.check(now, sinceBoot());
    if (!pause) {
        return;
    }
    m_log.write({log_level::Warn, "paused", {{"length_ms", millis(*pause)}}});
    m_instanceControl.onPause(now);
}

void forwarding_daemon::checkSettings()
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
    // Only the seeds apply at runtime: peers are rediscovered from them. Addresses are bound once
    // at startup, and a first start is over when the settings change.
    m_options.seeds = valueOf(read).seeds;
    m_options.firstStart = valueOf(read).firstStart;
    m_instanceControl.setSeeds(m_options.seeds);
    const bool needsRestart = !(valueOf(read) == m_options);
    m_log.write({needsRestart ? log_level::Warn : log_level::Info,
                 "settings_reloaded",
                 {{"changed", true}, {"needs_restart", needsRestart}}});
    m_options = valueOf(read);
}

http_page forwarding_daemon::readinessPage(const std::string &path) const
{
    if (path != m_adapter.readinessPath()) {
        return {404, "text/plain", "no such page\n"};
    }
    return m_instanceControl.isReady() ? http_page{200, "text/plain", "ready\n"}
                                       : http_page{503, "text/plain", "not ready\n"};
}

http_page forwarding_daemon::metricsPage(const std::string &path) const
{
    if (path != "/metrics") {
        return {404, "text/plain", "no such page\n"};
    }
    std::vector<metric_sample> samples = m_metrics.samples();
    m_traffic.counters().appendTo(samples);
    samples.push_back({"ready", {}, m_instanceControl.isReady() ? 1.0 : 0.0});
    samples.push_back(
            {"store_answers", {}, m_instanceControl.follower().storeAnswers() ? 1.0 : 0.0});
    samples.push_back({"reads_store", {}, m_instanceControl.follower().isReading() ? 1.0 : 0.0});
    std::uint64_t peerFlows = 0;
    for (const peer_server_load &load :
         m_instanceControl.peers().peerLoads(std::chrono::steady_clock::now())) {
        peerFlows += load.flowCount;
    }
    samples.push_back({"peer_flows", {}, static_cast<double>(peerFlows)});
    samples.push_back({"instances_live",
                       {},
                       static_cast<double>(m_instanceControl.peers().knownInstanceCount(
                               std::chrono::steady_clock::now()))});
    samples.push_back({"load_report_entries_ignored_total",
                       {},
                       static_cast<double>(m_instanceControl.reports().ignoredEntries())});
    samples.push_back({"store_calls_total", {}, static_cast<double>(m_store->callCount())});
    samples.push_back({"desired_version",
                       {},
                       static_cast<double>(m_instanceControl.knowledge().desiredVersion())});
    for (const store_kind kind : AllStoreKinds) {
        const store_position known =
                m_instanceControl.knowledge().positions()[static_cast<std::size_t>(kind)];
        const std::vector<metric_label> labels{{"kind", storeKindName(kind)}};
        samples.push_back({"store_era", labels, static_cast<double>(known.era)});
        samples.push_back({"store_revision", labels, static_cast<double>(known.revision)});
    }
    samples.push_back({"backend_servers",
                       {},
                       static_cast<double>(m_instanceControl.knowledge().serverCount())});
    return {200, "text/plain; version=0.0.4", renderPrometheus(samples)};
}

} // namespace ebonyway
