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

// Three missed heartbeats make an instance count as silent within a second.
constexpr duration HeartbeatInterval = 250ms;

// A neighbour answers within milliseconds; another one is asked after that.
constexpr duration PullTimeout = 500ms;

// The store tells all its readers of a change within milliseconds. An instance that still knows
// less than others after this long asks them.
constexpr duration LongestLag = 500ms;

constexpr const char *KnowledgePath = "/knowledge";

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

std::uint64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
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
    , m_log(log, m_options.instance)
    , m_knowledge(directory_times{m_options.heartbeat})
    , m_follower(m_knowledge, seedOf(m_options.instance))
    , m_stop(m_options.stopGrace)
    , m_readiness(m_control.loop(), [this](const std::string &path) { return readinessPage(path); })
    , m_metricsListener(m_control.loop(),
                        [this](const std::string &path) { return metricsPage(path); })
    , m_peers({m_options.instance, m_options.failureDomain, m_options.peers, wallMillis(), 0, false,
               false},
              seedOf(m_options.instance))
    , m_peerSocket(*this, 0)
    , m_peerPages(m_control.loop(), [this](const std::string &path) { return knowledgePage(path); })
    , m_traffic(frame,
                forwarder_options{m_options.failureDomain, seedOf(m_options.instance),
                                  m_options.flowCapacity},
                m_log, m_metrics, [this](std::vector<peer_server_load> loads) {
                    m_control.post([this, loads = std::move(loads)] { m_loads = loads; });
                })
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
                 {{"failure_domain", m_options.failureDomain},
                  {"traffic", m_options.traffic.toString()},
                  {"store", m_options.store.toString()}}});
    for (const status &outcome :
         {m_traffic.start(m_options.traffic), m_readiness.open(m_options.readiness),
          m_metricsListener.open(m_options.metrics), m_peerSocket.open(m_options.peers, false),
          m_peerPages.open(m_options.peers)}) {
        if (!isOk(outcome)) {
            return outcome;
        }
    }
    m_peerSocket.attach(m_control.loop());
    m_peers.setSeeds(m_options.seeds);
    sendHeartbeat(true, m_startedAt);
    followStore(m_startedAt);
    return std::monostate{};
}

void forwarding_daemon::run()
{
    m_control.run();
    m_traffic.stop();
    m_log.writeSuppressed();
    m_log.write({log_level::Info, "stopped", {}});
}

void forwarding_daemon::tick()
{
    const time_point now = std::chrono::steady_clock::now();
    checkPause(now);
    m_store->expire(now);
    tickPeers(now);
    followStore(now);
    logChanges();
    advanceStop(now);
    if (now < m_nextSlowTick) {
        return;
    }
    m_nextSlowTick = now + SlowTick;
    const auto expired = m_knowledge.expire(now);
    if (!expired.empty()) {
        logAndPublish(expired);
    }
    checkSettings(now);
    m_log.writeSuppressed();
}

void forwarding_daemon::tickPeers(time_point now)
{
    m_peers.setStoreAnswers(m_known && m_follower.storeAnswers());
    // Until it has read the store once, an instance does not leave the reading to others.
    m_follower.setReading(!m_known || m_peers.isReader(now));
    if (m_peerClient) {
        m_peerClient->expire(now);
    }
    pullKnowledge(now);
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + HeartbeatInterval;
    sendHeartbeat(false, now);
    checkReachability(now);
    m_traffic.setPeerView({m_peers.peerLoads(now), m_peers.liveCount(now), m_silentDomains});
}

void forwarding_daemon::checkReachability(time_point now)
{
    std::set<std::string> silent = m_peers.silentDomains(now);
    if (silent != m_silentDomains) {
        m_silentDomains = std::move(silent);
        std::string names;
        for (const std::string &domain : m_silentDomains) {
            names += (names.empty() ? "" : ",") + domain;
        }
        m_log.write({log_level::Warn, "silent_domains_changed", {{"domains", names}}});
    }
    // Without a silent domain there may be no server at all; other instances could not help then.
    const bool serves = !m_known || m_silentDomains.empty() || canServe(*m_known, m_silentDomains);
    if (serves != m_canServe) {
        m_canServe = serves;
        m_log.write({log_level::Warn,
                     serves ? "servers_in_reach" : "no_server_in_reach",
                     {{"directory", m_known->serial()}}});
    }
}

void forwarding_daemon::sendHeartbeat(bool afterChange, time_point now)
{
    const auto bytes = encodePeerMessage(m_peers.heartbeat(m_knowledge.revisions(), m_loads));
    for (const endpoint &target : m_peers.targets(afterChange, now)) {
        // A lost heartbeat is followed by the next one.
        m_peerSocket.send(target, bytes);
    }
}

void forwarding_daemon::onDatagram(int, std::span<const std::byte> bytes, const endpoint &from)
{
    const auto message = decodePeerMessage(bytes);
    if (!isOk(message)) {
        m_log.write({log_level::Warn,
                     "peer_message_refused",
                     {{"from", from.toString()}, {"detail", errorOf(message).message}}});
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    m_peers.onMessage(valueOf(message), now);
    pullKnowledge(now);
}

void forwarding_daemon::pullKnowledge(time_point now)
{
    if (m_peerClient && m_peerClient->isBusy()) {
        return;
    }
    const auto source = m_peers.betterInformed(m_knowledge.revisions(), now);
    if (!source) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool storeWillTell = m_follower.isReading() && m_follower.storeAnswers() && m_known;
    if (storeWillTell && now - *m_behindSince < LongestLag) {
        return;
    }
    if (!m_peerClient || m_peerClientAddress != *source) {
        m_peerClient = std::make_unique<http_client>(m_control.loop(), *source);
        m_peerClientAddress = *source;
    }
    m_peerClient->call("GET", KnowledgePath, "", now + PullTimeout,
                       [this, from = *source](const result<http_response> &outcome) {
                           onKnowledge(from, outcome);
                       });
}

void forwarding_daemon::onKnowledge(const endpoint &from, const result<http_response> &outcome)
{
    if (!isOk(outcome) || valueOf(outcome).status != 200) {
        m_log.write({log_level::Warn, "knowledge_not_pulled", {{"from", from.toString()}}});
        return;
    }
    const auto passed = decodeKnowledge(valueOf(outcome).body);
    if (!isOk(passed)) {
        m_log.write({log_level::Warn,
                     "knowledge_refused",
                     {{"from", from.toString()}, {"detail", errorOf(passed).message}}});
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    const auto changes = m_knowledge.integrate(valueOf(passed), now);
    if (!changes.empty() && m_follower.isReading() && m_known) {
        // The store should have told this instance first, so its watches may be dead.
        m_log.write({log_level::Warn, "store_watch_lags", {{"from", from.toString()}}});
        m_follower.renew(now);
    }
    logAndPublish(changes);
}

http_page forwarding_daemon::knowledgePage(const std::string &path) const
{
    if (path != KnowledgePath || !m_knowledge.isComplete()) {
        return {404, "text/plain", "no such page\n"};
    }
    return {200, "application/octet-stream",
            encodeKnowledge(m_knowledge.pass(std::chrono::steady_clock::now()))};
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
    logAndPublish(m_follower.takeChanges());
}

void forwarding_daemon::logAndPublish(const std::vector<directory_change> &changes)
{
    for (const directory_change &change : changes) {
        m_log.write({log_level::Info,
                     change.event,
                     {{"name", change.subject},
                      {"revision", change.revision},
                      {"detail", change.detail}}});
    }
    if (changes.empty() && (m_known || !m_knowledge.isComplete())) {
        return;
    }
    publishKnowledge();
    sendHeartbeat(true, std::chrono::steady_clock::now());
}

void forwarding_daemon::publishKnowledge()
{
    if (!m_knowledge.isComplete()) {
        return;
    }
    const bool isFirst = !m_known;
    m_known = m_knowledge.snapshot();
    m_traffic.adopt(m_known);
    const time_point now = std::chrono::steady_clock::now();
    checkReachability(now);
    if (isFirst) {
        m_log.write({log_level::Info,
                     "ready",
                     {{"after_ms", millis(now - m_startedAt)},
                      {"desired_version", m_known->routes().version},
                      {"backend_servers", std::uint64_t{m_known->servers().size()}}}});
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
    m_peers.setSeeds(m_options.seeds);
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
        m_peers.setLeaving();
        sendHeartbeat(true, now);
        m_log.write({log_level::Info, "stopping", {}});
    }
    if (m_stop.mayExit(now, m_traffic.lastPacket())) {
        m_control.stop();
    }
}

bool forwarding_daemon::isReady() const
{
    return m_known && m_canServe && !m_stop.isRequested();
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
    samples.push_back({"reads_store", {}, m_follower.isReading() ? 1.0 : 0.0});
    std::uint64_t peerFlows = 0;
    for (const peer_server_load &load : m_peers.peerLoads(std::chrono::steady_clock::now())) {
        peerFlows += load.open;
    }
    samples.push_back({"peer_flows", {}, static_cast<double>(peerFlows)});
    samples.push_back({"instances_live",
                       {},
                       static_cast<double>(m_peers.liveCount(std::chrono::steady_clock::now()))});
    samples.push_back({"store_calls_total", {}, static_cast<double>(m_store->callCount())});
    samples.push_back({"desired_version", {}, static_cast<double>(m_knowledge.desiredVersion())});
    samples.push_back({"backend_servers", {}, static_cast<double>(m_knowledge.serverCount())});
    return {200, "text/plain; version=0.0.4", renderPrometheus(samples)};
}

} // namespace ebonyway
