#include "forwarding/process/instance_control.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Interval of the heartbeats to other instances, short enough that an instance counts as silent
// within a second, after three missed heartbeats.
constexpr duration HeartbeatInterval = 250ms;

// Time that an instance which reads the store waits for changes that a peer already has, before it
// pulls the knowledge from the peer. The store notifies all watchers within milliseconds.
constexpr duration MaxStoreLag = 500ms;

// Number of other instances listed in a heartbeat to another failure domain of a large deployment.
// Traffic between domains is charged; an instance gets 32 such heartbeats a second from four
// domains, so two are enough to learn of new instances soon.
constexpr std::size_t MaxPeersListedFar = 2;

// Time between two pulls if the source has withheld a part, as its link is busy. It can send a
// desired state of 100 KB to one instance in this time.
constexpr duration PullPause = 100ms;

// Time after the start during which a running pull of the first knowledge delays store calls. The
// peer has just announced its knowledge, so it needs only a few round trips.
constexpr duration FirstPullTime = 150ms;

// Interval of the checks for lapsed and departed backend servers. The grace period of lapsed
// entries is seconds long, so checking twice a second is sufficient.
constexpr duration ExpiryInterval = 500ms;

std::int64_t toMillis(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace

instance_control::instance_control(const instance_identity &identity, const instance_times &times,
                                   control_port &port, event_log &log)
    : m_port(port)
    , m_log(log)
    , m_knowledge(directory_times{times.serverHeartbeat})
    , m_follower(m_knowledge, identity.seed)
    , m_peers({identity.name, identity.failureDomain, identity.peers, identity.boot, 0, false,
               false},
              identity.seed)
    , m_reports(identity.name)
    , m_startup(identity.isFirstStart)
    , m_stop(times.stopGrace)
    , m_peerAddress(identity.peers)
{
    m_follower.setReading(false);
    m_follower.takeEvents();
}

void instance_control::start(const std::vector<endpoint> &seeds, time_point now)
{
    m_startedAt = now;
    m_peers.setSeeds(seeds);
    m_startup.start(std::find(seeds.begin(), seeds.end(), m_peerAddress) != seeds.end(), now);
    sendHeartbeat(true, now);
    updateReading(now);
    followStore(now);
}

void instance_control::tick(time_point now)
{
    tickPeers(now);
    followStore(now);
    logStoreEvents();
    logAndPublish(m_follower.takeChanges(), now);
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    const auto expired = m_knowledge.expire(now);
    if (!expired.empty()) {
        logAndPublish(expired, now);
    }
}

void instance_control::tickPeers(time_point now)
{
    const bool hasHeardStore = m_snapshot || m_follower.lastAnswer() != time_point{};
    m_peers.setStoreAnswers(hasHeardStore && m_follower.storeAnswers());
    updateReading(now);
    pullKnowledge(now);
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + HeartbeatInterval;
    sendHeartbeat(false, now);
    checkReachability(now);
    m_port.publishPeerView({m_peers.peerLoads(now), m_peers.knownInstances(now), m_silentDomains,
                            m_reports.estimate(m_peers.runningInstances(now), now)});
}

void instance_control::updateReading(time_point now)
{
    const bool mayBecomeReader = m_startup.mayBecomeReader(now);
    m_follower.setWatching(mayBecomeReader);
    if (!m_snapshot) {
        m_follower.setReading(m_follower.isReading()
                              || m_startup.mayListStore(m_peers.hearsStoreReader(now), now));
        return;
    }
    m_follower.setReading(mayBecomeReader && m_peers.isStoreReader(now));
}

void instance_control::sendHeartbeat(bool afterChange, time_point now)
{
    sendHeartbeatTo(m_peers.targets(afterChange, now), now);
}

void instance_control::sendHeartbeatTo(const heartbeat_targets &targets, time_point now)
{
    std::vector<peer_server_load> loads = m_loads;
    for (peer_server_load &load : loads) {
        // The receiver expects ages relative to the time the message is sent.
        load.answeredAgo += std::chrono::floor<std::chrono::milliseconds>(now - m_loadsAt);
    }
    peer_message message = m_peers.heartbeat(m_knowledge.positions(), std::move(loads), m_demands);
    if (!targets.near.empty()) {
        m_port.sendHeartbeat(message, targets.near);
    }
    if (!targets.far.empty()) {
        message.otherPeers.resize(std::min(message.otherPeers.size(), MaxPeersListedFar));
        m_port.sendHeartbeat(message, targets.far);
    }
}

void instance_control::setLoads(std::vector<peer_server_load> loads,
                                std::vector<service_demand> demands, time_point now)
{
    m_loads = std::move(loads);
    m_demands = std::move(demands);
    m_demands.resize(std::min(m_demands.size(), MaxDemandsReported));
    m_loadsAt = now;
    m_reports.add(m_peers.self(), m_loads, m_demands, now);
}

void instance_control::onPeerMessage(const peer_message &message, time_point now)
{
    m_peers.onMessage(message, now);
    // An earlier process of this instance may still send while it stops.
    const bool isOwnName = message.sender.name == m_peers.self().name;
    if (!isOwnName && message.sender.isLeaving) {
        m_reports.remove(message.sender, now);
    } else if (!isOwnName && !message.hasDemands) {
        m_reports.addLoads(message.sender, message.loads, now);
    } else if (!isOwnName) {
        m_reports.add(message.sender, message.loads, message.demands, now);
    }
    pullKnowledge(now);
    const bool senderKnowsNothing = message.positions == known_positions{};
    if (m_snapshot && senderKnowsNothing && message.sender.address != m_peerAddress) {
        // The sender has just started and may have to wait long for a regular heartbeat.
        sendHeartbeatTo({{message.sender.address}, {}}, now);
    }
}

void instance_control::pullKnowledge(time_point now)
{
    if (m_port.isPulling() || now < m_nextPull) {
        return;
    }
    const auto source = m_peers.findPeerWithNewerPosition(m_knowledge.positions(), now);
    if (source) {
        pullNewerKnowledge(*source, now);
        return;
    }
    m_behindSince.reset();
    if (!m_snapshot || m_hasEarlierKnowledge) {
        return;
    }
    // The store may have come back from an older copy just before this instance read it. Instances
    // that ran before may remember later versions and reports.
    auto earlier = m_peers.findEarlierPeer(m_knowledge.positions(), now);
    if (!earlier && !m_hasEarlierEstimates) {
        // A list has the position of the whole store, so peers seem to lack changes until the next
        // one, but they know which servers are cold after an evacuation.
        earlier = m_peers.findEarlierPeer({}, now);
    }
    if (earlier) {
        m_port.pullKnowledge(*earlier, {}, now);
    }
}

void instance_control::pullNewerKnowledge(const endpoint &source, time_point now)
{
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool expectsStoreUpdate =
            m_follower.isReading() && m_follower.storeAnswers() && m_snapshot;
    if (expectsStoreUpdate && now - *m_behindSince < MaxStoreLag) {
        return;
    }
    m_port.pullKnowledge(source, m_snapshot ? m_knowledge.positions() : known_positions{}, now);
}

void instance_control::onKnowledge(const endpoint &from, const result<exported_knowledge> &outcome,
                                   time_point now)
{
    const std::int64_t behind = toMillis(m_behindSince ? now - *m_behindSince : duration::zero());
    if (!isOk(outcome)) {
        m_log.write({log_level::Warn,
                     "knowledge_not_pulled",
                     {{"from", from.toString()},
                      {"detail", errorOf(outcome).message},
                      {"behind_ms", behind}}});
        m_peers.onPullFailed(from, now);
        return;
    }
    // Changes alone lack what the earlier instance knows besides the last change of a server.
    if (valueOf(outcome).hasAllServers() && m_peers.startedEarlier(from)) {
        m_hasEarlierEstimates = true;
        m_hasEarlierKnowledge = m_hasEarlierKnowledge
                                || !isAhead(m_knowledge.positions(), valueOf(outcome).positions);
    }
    const auto changes = m_knowledge.integrate(valueOf(outcome), now);
    if (isAhead(valueOf(outcome).positions, m_knowledge.positions())) {
        // The source has withheld a part.
        m_peers.onPullFailed(from, now);
        m_nextPull = now + PullPause;
    }
    m_log.write({log_level::Info,
                 "knowledge_pulled",
                 {{"from", from.toString()},
                  {"changes", std::uint64_t{changes.size()}},
                  {"behind_ms", behind}}});
    if (!changes.empty() && m_behindSince && m_follower.isReading() && m_snapshot) {
        // A working watch would have delivered these changes first, so the watches may be dead.
        m_log.write({log_level::Warn, "store_watch_lags", {{"from", from.toString()}}});
        m_follower.restartCalls(now);
    }
    logAndPublish(changes, now);
    updateReading(now);
}

std::optional<exported_knowledge>
instance_control::exportKnowledge(time_point now, const known_positions &since) const
{
    return m_knowledge.isComplete() ? std::optional(m_knowledge.exportKnowledge(now, since))
                                    : std::nullopt;
}

void instance_control::followStore(time_point now)
{
    if (!m_snapshot && m_port.isPulling() && now - m_startedAt < FirstPullTime) {
        return;
    }
    const store_step step = m_follower.next(now);
    for (const store_kind kind : step.cancels) {
        m_port.cancelStoreCall(kind);
    }
    for (const store_call &call : step.calls) {
        m_port.startStoreCall(call);
    }
}

void instance_control::onStoreAnswer(store_kind kind, const store_answer &answer, time_point now)
{
    m_follower.onAnswer(kind, answer, now);
    logStoreEvents();
    logAndPublish(m_follower.takeChanges(), now);
    followStore(now);
}

void instance_control::logStoreEvents()
{
    for (const store_event &event : m_follower.takeEvents()) {
        m_log.write({event.event == "store_lost" ? log_level::Warn : log_level::Info,
                     event.event,
                     {{"kind", std::string(storeKindName(event.kind))},
                      {"detail", event.detail},
                      {"revision", event.revision},
                      {"outage_ms", toMillis(event.outage)}}});
    }
}

void instance_control::logChanges(const std::vector<directory_change> &changes)
{
    for (const directory_change &change : changes) {
        m_log.write({log_level::Info,
                     change.event,
                     {{"name", change.subject},
                      {"revision", change.revision},
                      {"detail", change.detail}}});
    }
}

void instance_control::logAndPublish(const std::vector<directory_change> &changes, time_point now)
{
    logChanges(changes);
    if (changes.empty() && (m_snapshot || !m_knowledge.isComplete())) {
        return;
    }
    publishKnowledge(now);
    sendHeartbeat(true, now);
}

void instance_control::publishKnowledge(time_point now)
{
    if (!m_knowledge.isComplete()) {
        return;
    }
    const bool isFirst = !m_snapshot;
    m_snapshot = m_knowledge.snapshot();
    logChanges(m_knowledge.takeTokenChanges());
    m_port.publish(m_snapshot);
    checkReachability(now);
    if (isFirst) {
        m_log.write({log_level::Info,
                     "ready",
                     {{"after_ms", toMillis(now - m_startedAt)},
                      {"store_read", m_follower.lastAnswer() != time_point{}},
                      {"desired_version", m_snapshot->routes().version},
                      {"backend_servers", std::uint64_t{m_snapshot->servers().size()}}}});
    }
}

void instance_control::checkReachability(time_point now)
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
    // If no domain is silent, the deployment may have no usable server at all; other instances
    // could not serve the traffic either, so this instance stays ready.
    const bool serves =
            !m_snapshot || m_silentDomains.empty() || canServe(*m_snapshot, m_silentDomains);
    if (serves != m_canServe) {
        m_canServe = serves;
        m_log.write({log_level::Warn,
                     serves ? "servers_in_reach" : "no_server_in_reach",
                     {{"directory", m_snapshot->serial()}}});
    }
}

void instance_control::requestStop(time_point now)
{
    if (m_stop.isRequested()) {
        return;
    }
    m_stop.request(now);
    m_peers.setLeaving();
    sendHeartbeat(true, now);
    m_log.write({log_level::Info, "stopping", {}});
}

bool instance_control::mayExit(time_point now, time_point lastPacket) const
{
    return m_stop.mayExit(now, lastPacket);
}

bool instance_control::isReady() const
{
    return m_snapshot && m_canServe && !m_stop.isRequested();
}

} // namespace ebonyway
