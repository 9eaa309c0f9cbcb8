#include "process/control_core.h"

#include "core/bounded_archive.h"
#include "process/overloaded.h"
#include "version/intent.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Bytes kept free for the envelope, the tag and the fixed fields of a gossip message. */
constexpr std::size_t GossipOverhead = 100;
/** Bytes of load summaries per gossip message; keeps room for the heartbeats at large sizes. */
constexpr std::size_t MaxLoadBytes = 100;
/** Backend servers are probed by the two best ranked members of their failure domain. */
constexpr std::size_t ProbersPerBackendServer = 2;
/** The platform is watched by the two best ranked members of each failure domain. */
constexpr std::size_t WatchersPerDomain = 2;
/** Ranking task of the watchers; backend server ids, the other tasks, are 16 bits wide. */
constexpr std::uint64_t WatchTask = 0x1'0000;
constexpr duration PlatformTimeout = 3s;
/** How often one watcher per failure domain reads the platform's list of instances. */
constexpr duration InstanceListPeriod = 60s;
constexpr duration SourceReportPeriod = 2s;
/** Stands for a failure domain that the intent in force does not name. */
constexpr failure_domain_id UnknownFailureDomain{0xffff};
/** Per tick. Bounds what replayed pings of an earlier incarnation can cause. */
constexpr int MaxLowIncarnationAnswers = 4;
/** Replay windows of senders that are not members are dropped above this count. */
constexpr std::size_t MaxReplayWindows = 2048;

digest_prefix prefixOf(const note_digest &digest)
{
    digest_prefix prefix;
    std::copy_n(digest.begin(), prefix.size(), prefix.begin());
    return prefix;
}

} // namespace

control_core::control_core(control_settings settings, const intent_snapshots &snapshots,
                           time_point now)
    : m_settings(std::move(settings))
    , m_hash(m_settings.deploymentKey)
    , m_datagrams(m_settings.deploymentKey)
    , m_syncCodec(m_settings.deploymentKey)
    , m_membership(m_settings.membership, m_hash, m_settings.seed, now)
    , m_loads(m_settings.membership.self)
    , m_sync(m_settings.membership.self, snapshots, m_settings.seed + 1, now)
    , m_work(m_settings.membership.self, snapshots, m_settings.seed + 2, now)
    , m_listRetry({}, m_settings.seed + 3)
    , m_nextInstanceList(now)
    , m_nextSourceReport(now + SourceReportPeriod)
{ }

void control_core::onDatagram(const endpoint &from, std::span<const std::byte> bytes,
                              time_point now)
{
    auto opened = m_datagrams.open(bytes, m_settings.membership.self);
    if (const auto *fault = std::get_if<datagram_fault>(&opened)) {
        countFault(*fault);
        return;
    }
    auto &datagram = std::get<secure_datagram>(opened);
    const datagram_envelope &envelope = datagram.envelope;
    if (envelope.sender == m_settings.membership.self) {
        if (envelope.incarnation > m_membership.self().details.incarnation) {
            log("duplicate_instance_id", {{"from", from.toString()}});
        }
        return;
    }
    if (!acceptSequence(envelope)) {
        countFault(datagram_fault::Replayed);
        answerLowIncarnation(datagram, from);
        return;
    }
    m_counters.datagramsReceived++;
    m_counters.datagramBytesReceived += bytes.size();
    const auto decode = [&]<typename T>(auto handler) {
        if (const auto message = decodeBounded<T>(datagram.payload)) {
            handler(*message);
        } else {
            countFault(datagram_fault::Malformed);
        }
    };
    switch (envelope.kind) {
    case datagram_kind::Gossip:
        onGossip(datagram, from, now);
        break;
    case datagram_kind::Ping:
        decode.operator()<ping_message>([&](const ping_message &message) {
            m_membership.onPing(envelope.sender, from, message, now);
        });
        break;
    case datagram_kind::PingRequest:
        decode.operator()<ping_request>([&](const ping_request &message) {
            m_membership.onPingRequest(from, message, now);
        });
        break;
    case datagram_kind::DetailsRequest:
        decode.operator()<details_request>([&](const details_request &message) {
            m_membership.onDetailsRequest(from, message);
        });
        break;
    case datagram_kind::Engine:
        onEngineMessage(datagram);
        break;
    }
    sendOrders();
}

void control_core::onGossip(const secure_datagram &datagram, const endpoint &from, time_point now)
{
    const auto message = decodeBounded<gossip_message>(datagram.payload);
    if (!message) {
        countFault(datagram_fault::Malformed);
        return;
    }
    const datagram_envelope &envelope = datagram.envelope;
    const bool wasSynchronised = m_membership.isSynchronised();
    if (!m_membership.onGossip(envelope.sender, envelope.incarnation, from, *message, now)) {
        return;
    }
    if (!wasSynchronised) {
        m_requiredNote = std::max(m_requiredNote, message->note);
    }
    m_sync.onPeerHead(envelope.sender, message->note, message->digest);
    if (message->note < m_note) {
        m_membership.sendNoteTo(from);
    }
    syncIntent(now);
    for (const load_report &report : m_loads.merge(*message, m_membership.liveCount())) {
        m_actions.emplace_back(deliver_load_report{report});
    }
}

void control_core::onEngineMessage(secure_datagram &datagram)
{
    if (m_membership.find(datagram.envelope.sender) == nullptr) {
        countFault(datagram_fault::UnknownSender);
        return;
    }
    m_actions.emplace_back(
            deliver_engine_message{datagram.envelope.sender, std::move(datagram.payload)});
}

bool control_core::acceptSequence(const datagram_envelope &envelope)
{
    if (m_windows.size() >= MaxReplayWindows) {
        std::erase_if(m_windows, [this](const auto &entry) {
            return m_membership.find(entry.first) == nullptr;
        });
    }
    return m_windows[envelope.sender].accept(envelope.incarnation, envelope.sequence);
}

void control_core::answerLowIncarnation(const secure_datagram &datagram, const endpoint &from)
{
    // An instance whose wall clock went back restarts with an incarnation that peers ignore. The
    // details that they hold of it make it take a higher one.
    const member_record *known = m_membership.find(datagram.envelope.sender);
    const auto ping = decodeBounded<ping_message>(datagram.payload);
    const bool isLow =
            known != nullptr && datagram.envelope.incarnation < known->details.incarnation;
    if (datagram.envelope.kind != datagram_kind::Ping || !ping || !isLow
        || m_lowIncarnationAnswers >= MaxLowIncarnationAnswers) {
        return;
    }
    m_lowIncarnationAnswers++;
    const gossip_order order{from, ping->nonce, true, {datagram.envelope.sender}};
    send(datagram_kind::Gossip, from, {}, composeGossip(order));
}

void control_core::countFault(datagram_fault fault)
{
    m_counters.faults[static_cast<std::size_t>(fault)]++;
}

result<std::vector<std::byte>> control_core::onSyncRequest(std::span<const std::byte> bytes)
{
    result<sync_request> request = m_syncCodec.openRequest(bytes);
    if (!isOk(request)) {
        return errorOf(request);
    }
    if (valueOf(request).recipient != m_settings.membership.self) {
        return error{error_kind::InvalidInput, "sync request is meant for another instance",
                     "Check the instance ids in the settings"};
    }
    return m_syncCodec.seal(m_sync.answer(valueOf(request)));
}

void control_core::onSyncResponse(std::uint64_t id, const result<std::vector<std::byte>> &response,
                                  time_point now)
{
    if (id != m_syncId) {
        return;
    }
    m_syncId = 0;
    m_sync.onPeerResult(isOk(response) ? m_syncCodec.openResponse(valueOf(response))
                                       : result<sync_response>{errorOf(response)},
                        now);
    syncIntent(now);
}

void control_core::onPlatformResult(std::uint64_t id, const result<platform_answer> &outcome,
                                    time_point now)
{
    const auto place = m_calls.find(id);
    if (place == m_calls.end()) {
        return;
    }
    const call_owner owner = place->second;
    m_calls.erase(place);
    if (owner == call_owner::IntentSync) {
        m_sync.onPlatformResult(outcome, now);
        syncIntent(now);
        return;
    }
    if (owner == call_owner::SingletonWork) {
        m_work.onResult(outcome, now);
        return;
    }
    if (!isOk(outcome)) {
        m_nextInstanceList = m_listRetry.onFailure(now);
        return;
    }
    m_listRetry.onSuccess();
    m_nextInstanceList = now + InstanceListPeriod;
    if (const auto *instances = std::get_if<platform_instances>(&valueOf(outcome))) {
        m_membership.addHints(instances->gossipEndpoints);
    }
}

void control_core::onTick(time_point now)
{
    m_lowIncarnationAnswers = 0;
    m_membership.onTick(now);
    updateRoles(now);
    syncIntent(now);
    if (auto request = m_work.nextCall(m_membership, now)) {
        call(call_owner::SingletonWork, std::move(*request), PlatformTimeout, now);
    }
    askForInstances(now);
    reportNoSource(now);
    sendOrders();
    publishView();
}

void control_core::syncIntent(time_point now)
{
    m_sync.onTick(m_membership, now);
    for (intent_order &order : m_sync.takeOrders()) {
        std::visit(overloaded{[&](peer_order &peer) { askPeer(peer, now); },
                              [&](platform_order &platform) {
                                  call(call_owner::IntentSync, std::move(platform.request),
                                       platform.timeout, now);
                              },
                              [&](auto &adoption) {
                                  m_actions.emplace_back(std::move(adoption));
                              }},
                   order);
    }
    for (log_event &event : m_sync.takeEvents()) {
        m_actions.emplace_back(std::move(event));
    }
}

void control_core::askPeer(const peer_order &order, time_point now)
{
    m_syncId = ++m_lastId;
    const member_record *record = m_membership.find(order.peer);
    auto sealed = m_syncCodec.seal(order.request);
    if (record == nullptr || !isOk(sealed)) {
        return;
    }
    m_counters.syncRequests++;
    const member_profile &profile = record->details.profile;
    m_actions.emplace_back(send_sync_request{m_syncId,
                                             order.peer,
                                             {profile.address, profile.syncPort},
                                             std::move(valueOf(sealed)),
                                             now + order.timeout});
}

void control_core::call(call_owner owner, platform_request request, duration timeout,
                        time_point now)
{
    const std::uint64_t id = ++m_lastId;
    m_calls[id] = owner;
    m_counters.platformCalls++;
    m_actions.emplace_back(call_platform{id, std::move(request), now + timeout});
}

void control_core::updateRoles(time_point now)
{
    if (m_membership.topologyRevision() == m_rankedRevision) {
        return;
    }
    m_rankedRevision = m_membership.topologyRevision();
    const std::size_t rank = m_membership.ownRank(WatchTask);
    m_isWatcher = rank < WatchersPerDomain;
    m_sync.setWatcher(m_isWatcher, now);
    m_isFirstWatcher = rank == 0;
    m_work.setCandidate(m_isFirstWatcher);
    updateProbeTargets();
}

bool control_core::isWatcher() const
{
    return m_isWatcher;
}

void control_core::askForInstances(time_point now)
{
    if (!m_isFirstWatcher || now < m_nextInstanceList) {
        return;
    }
    m_nextInstanceList = now + InstanceListPeriod;
    call(call_owner::InstanceList, list_instances{}, PlatformTimeout, now);
}

std::optional<std::string> control_core::noSourceReason() const
{
    return m_sync.noSourceReason(m_membership);
}

void control_core::reportNoSource(time_point now)
{
    if (now < m_nextSourceReport) {
        return;
    }
    m_nextSourceReport = now + SourceReportPeriod;
    const std::string reason = noSourceReason().value_or("");
    if (!reason.empty() && reason != m_reportedReason) {
        log("no_intent_source", {{"reason", reason}});
    }
    m_reportedReason = reason;
}

std::vector<control_action> control_core::takeActions()
{
    return std::exchange(m_actions, {});
}

void control_core::sendOrders()
{
    for (const membership_order &order : m_membership.takeOrders()) {
        std::visit(overloaded{[this](const gossip_order &gossip) {
                                  send(datagram_kind::Gossip, gossip.to, {}, composeGossip(gossip));
                              },
                              [this](const ping_order &ping) {
                                  send(datagram_kind::Ping, ping.to, {},
                                       encodeBounded(ping.message));
                              },
                              [this](const ping_request_order &request) {
                                  send(datagram_kind::PingRequest, request.to, {},
                                       encodeBounded(request.message));
                              },
                              [this](const details_request_order &request) {
                                  send(datagram_kind::DetailsRequest, request.to, {},
                                       encodeBounded(request.message));
                              }},
                   order);
    }
    for (log_event &event : m_membership.takeEvents()) {
        m_actions.emplace_back(std::move(event));
    }
}

std::vector<std::byte> control_core::composeGossip(const gossip_order &order)
{
    gossip_message message;
    message.note = m_note;
    message.digest = prefixOf(m_digest);
    message.round = m_membership.self().details.heartbeat;
    std::size_t budget = MaxDatagramSize - GossipOverhead;
    if (order.withHeartbeats) {
        m_loads.fill(message, MaxLoadBytes);
        budget -= encodeBounded(message.loads).size();
    }
    m_membership.fill(message, order, budget);
    return encodeBounded(message);
}

void control_core::send(datagram_kind kind, const endpoint &to, instance_id recipient,
                        std::span<const std::byte> payload)
{
    const datagram_envelope envelope{kind, m_settings.membership.self,
                                     m_membership.self().details.incarnation, ++m_sequence};
    auto sealed = m_datagrams.seal(envelope, payload, recipient);
    if (!isOk(sealed)) {
        log("datagram_not_sent", {{"reason", errorOf(sealed).message}});
        return;
    }
    m_counters.datagramsSent++;
    m_counters.datagramBytesSent += valueOf(sealed).size();
    m_actions.emplace_back(send_datagram{to, std::move(valueOf(sealed))});
}

status control_core::sendEngineMessage(instance_id peer, std::span<const std::byte> bytes)
{
    if (bytes.size() > MaxEngineMessageSize) {
        return error{error_kind::LimitExceeded,
                     "engine message of " + std::to_string(bytes.size()) + " bytes exceeds "
                             + std::to_string(MaxEngineMessageSize),
                     "Split the message"};
    }
    const member_record *record = m_membership.find(peer);
    if (record == nullptr || record->state == member_state::Dead) {
        return error{error_kind::NotFound,
                     "instance " + std::to_string(peer.value) + " is not a live member",
                     "Choose a peer from the current cluster view"};
    }
    const member_profile &profile = record->details.profile;
    send(datagram_kind::Engine, {profile.address, profile.gossipPort}, peer, bytes);
    return std::monostate{};
}

void control_core::onLoadReport(const load_report &report)
{
    m_loads.onProbe(report, m_membership.self().details.heartbeat, m_membership.liveCount());
}

void control_core::onIntentAdopted(const intent &current)
{
    m_domains.clear();
    std::vector<std::string> outOfService;
    for (const failure_domain &domain : current.failureDomains) {
        m_domains.emplace_back(domain.name, domain.id);
        if (!domain.inService) {
            outOfService.push_back(domain.name);
        }
    }
    m_membership.setDomainsOutOfService(std::move(outOfService));
    m_backendServers.clear();
    std::vector<backend_server_id> ids;
    for (const backend_server &server : current.backendServers) {
        const failure_domain *domain = findFailureDomain(current, server.failureDomain);
        m_backendServers.emplace_back(server.id, domain == nullptr ? std::string() : domain->name);
        ids.push_back(server.id);
    }
    m_loads.keepOnly(ids);
    if (current.number > m_note) {
        m_note = current.number;
        m_digest = current.digest;
        m_membership.setAdoptedNote(m_note);
        m_membership.pushNote();
        sendOrders();
    }
    m_publishedRevision = 0;
    m_rankedRevision = 0;
}

void control_core::updateProbeTargets()
{
    std::vector<backend_server_id> targets;
    const std::string &ownDomain = m_settings.membership.profile.failureDomain;
    for (const auto &[id, domain] : m_backendServers) {
        if (domain == ownDomain && m_membership.ownRank(id.value) < ProbersPerBackendServer) {
            targets.push_back(id);
        }
    }
    if (targets != m_probeTargets) {
        m_probeTargets = targets;
        m_actions.emplace_back(set_probe_targets{std::move(targets)});
    }
}

void control_core::announceReady(time_point now)
{
    m_membership.announce(announced_state::Ready, now);
    sendOrders();
}

void control_core::announceLeaving(time_point now)
{
    m_membership.announce(announced_state::Leaving, now);
    sendOrders();
}

void control_core::announceLeft(time_point now)
{
    m_membership.announce(announced_state::Left, now);
    sendOrders();
}

const member_profile *control_core::profileOf(instance_id id) const
{
    const member_record *record = m_membership.find(id);
    return record == nullptr ? nullptr : &record->details.profile;
}

bool control_core::isFresh() const
{
    return m_membership.isSynchronised() && m_note >= m_requiredNote;
}

std::size_t control_core::stateBytes() const
{
    // An entry of a hash map costs its value, a next pointer, and about one bucket pointer.
    constexpr std::size_t MapEntryBytes =
            sizeof(std::pair<instance_id, replay_window>) + 2 * sizeof(void *);
    return m_membership.members().capacity() * sizeof(member_record)
           + m_windows.size() * MapEntryBytes + m_loads.stateBytes();
}

failure_domain_id control_core::domainId(const std::string &name) const
{
    for (const auto &[known, id] : m_domains) {
        if (known == name) {
            return id;
        }
    }
    return UnknownFailureDomain;
}

void control_core::publishView()
{
    const bool hasFreshnessChanged = isFresh() != std::exchange(m_wasFresh, isFresh());
    if (!hasFreshnessChanged && m_membership.revision() == m_publishedRevision) {
        return;
    }
    m_publishedRevision = m_membership.revision();
    cluster_view view;
    view.self = m_settings.membership.self;
    view.isFresh = isFresh();
    view.freshnessLimit = m_membership.freshnessLimit();
    for (const member_record &record : m_membership.members()) {
        view.members.push_back({record.details.id, domainId(record.details.profile.failureDomain),
                                record.state, record.details.adoptedNote, record.lastHeard,
                                record.stateSince});
    }
    for (const std::string &name : m_membership.suspectedPartitions()) {
        view.suspectedPartitions.push_back(domainId(name));
    }
    m_actions.emplace_back(publish_view{std::move(view)});
}

void control_core::log(std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_actions.emplace_back(log_event{std::move(name), std::move(fields)});
}

} // namespace ebonyway
