#include "process/control_core.h"

#include <algorithm>

#include "process/bounded_archive.h"
#include "process/overloaded.h"
#include "version/intent.h"

namespace ebonyway {

namespace {

/** Bytes kept free for the envelope, the tag and the fixed fields of a gossip message. */
constexpr std::size_t GossipOverhead = 100;
/** Bytes of load summaries per gossip message; keeps room for the heartbeats at large sizes. */
constexpr std::size_t MaxLoadBytes = 100;
/** Backend servers are probed by the two best ranked members of their failure domain. */
constexpr std::size_t ProbersPerBackendServer = 2;
/** Stands for a failure domain that the intent in force does not name. */
constexpr failure_domain_id UnknownFailureDomain{0xffff};
/** Replay windows of senders that are not members are dropped above this count. */
constexpr std::size_t MaxReplayWindows = 2048;

digest_prefix prefixOf(const note_digest &digest)
{
    digest_prefix prefix;
    std::copy_n(digest.begin(), prefix.size(), prefix.begin());
    return prefix;
}

} // namespace

control_core::control_core(control_settings settings, time_point now)
    : m_settings(std::move(settings))
    , m_hash(m_settings.deploymentKey)
    , m_codec(m_settings.deploymentKey)
    , m_membership(m_settings.membership, m_hash, m_settings.seed, now)
    , m_loads(m_settings.membership.self)
{ }

void control_core::onDatagram(const endpoint &from, std::span<const std::byte> bytes,
                              time_point now)
{
    auto opened = m_codec.open(bytes, m_settings.membership.self);
    if (const auto *fault = std::get_if<datagram_fault>(&opened)) {
        countFault(*fault);
        return;
    }
    auto &datagram = std::get<secure_datagram>(opened);
    const datagram_envelope &envelope = datagram.envelope;
    if (envelope.sender == m_settings.membership.self) {
        if (envelope.incarnation != m_settings.membership.incarnation) {
            log("duplicate_instance_id", {{"from", from.toString()}});
        }
        return;
    }
    if (!acceptSequence(envelope)) {
        countFault(datagram_fault::Replayed);
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
    if (!m_membership.onGossip(envelope.sender, envelope.incarnation, from, *message, now)) {
        return;
    }
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

void control_core::countFault(datagram_fault fault)
{
    m_counters.faults[static_cast<std::size_t>(fault)]++;
}

void control_core::onTick(time_point now)
{
    m_membership.onTick(now);
    sendOrders();
    updateProbeTargets();
    publishView();
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
                                     m_settings.membership.incarnation, ++m_sequence};
    auto sealed = m_codec.seal(envelope, payload, recipient);
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
    m_publishedRevision = 0;
    m_rankedRevision = 0;
}

void control_core::updateProbeTargets()
{
    if (m_membership.topologyRevision() == m_rankedRevision) {
        return;
    }
    m_rankedRevision = m_membership.topologyRevision();
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
    return m_membership.isSynchronised();
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
    if (m_membership.revision() == m_publishedRevision) {
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
