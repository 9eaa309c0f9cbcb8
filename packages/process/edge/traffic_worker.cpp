#include "process/edge/traffic_worker.h"

#include "process/edge/packet_decider.h"
#include "process/settings.h"
#include "request/relay_header.h"
#include "request/transport_header.h"
#include "version/route_plan.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace ebonyway {

namespace {

enum port_tag : int {
    FabricPort,
    AnswerPort,
    RelayPort,
};

bool isSynAck(const tcp_segment &segment)
{
    constexpr std::uint8_t SynAck = tcp_flag::Syn | tcp_flag::Ack;
    return (segment.flags & SynAck) == SynAck;
}

/**
 * Returns whether a RST refuses a SYN: it then has ACK set and sequence number 0 (RFC 9293
 * 3.10.7.1). Other RSTs also follow flows that ended well, so they say nothing about failures.
 */
bool isConnectionRefusal(const tcp_segment &segment)
{
    constexpr std::uint8_t RstAck = tcp_flag::Rst | tcp_flag::Ack;
    return (segment.flags & RstAck) == RstAck && segment.sequence == 0;
}

} // namespace

traffic_worker::traffic_worker(const settings &options, packet_decider &decider, bool servesRelay)
    : m_self(options.instance)
    , m_fabricAddress(options.fabric)
    , m_decider(decider)
    , m_servesRelay(servesRelay)
    , m_localFabric(options.listenOn(port_offset::Fabric))
    , m_localAnswer(options.listenOn(port_offset::Answer))
    , m_localRelay(options.listenOn(port_offset::Relay))
    , m_fabric(*this, FabricPort)
    , m_answer(*this, AnswerPort)
    , m_relay(*this, RelayPort)
    , m_view(std::make_shared<const traffic_view>())
{ }

traffic_worker::~traffic_worker()
{
    stop();
}

status traffic_worker::open()
{
    // Several traffic threads bind the same ports, and the kernel spreads the packets over them.
    status fabricOpened = m_fabric.open(m_localFabric, true);
    if (!isOk(fabricOpened)) {
        return fabricOpened;
    }
    status answerOpened = m_answer.open(m_localAnswer, true);
    if (!isOk(answerOpened)) {
        return answerOpened;
    }
    // The other workers only send on this socket, so they let the kernel choose the port.
    const endpoint relayAddress{m_localRelay.address,
                                m_servesRelay ? m_localRelay.port : std::uint16_t{0}};
    return m_relay.open(relayAddress, false);
}

void traffic_worker::start()
{
    m_fabric.attach(m_thread.loop());
    m_answer.attach(m_thread.loop());
    m_relay.attach(m_thread.loop());
    m_thread.start();
}

void traffic_worker::stop()
{
    m_thread.stop();
}

void traffic_worker::publishView(std::shared_ptr<const traffic_view> view)
{
    m_thread.post([this, view = std::move(view)] { m_view = view; });
}

void traffic_worker::onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from)
{
    switch (tag) {
    case FabricPort:
        traffic_counters::add(m_counters.fromFabric);
        onFabricPacket(bytes, {});
        return;
    case AnswerPort:
        traffic_counters::add(m_counters.fromServers);
        onAnswer(bytes, from);
        return;
    case RelayPort:
        traffic_counters::add(m_counters.fromPeers);
        onRelayedPacket(bytes);
        return;
    default:
        return;
    }
}

void traffic_worker::onFabricPacket(std::span<const std::byte> bytes, const packet_origin &origin)
{
    const auto parsed = parsePacket(bytes, packet_direction::ToService);
    if (const auto *fault = std::get_if<packet_fault>(&parsed)) {
        m_counters.countFault(*fault);
        return;
    }
    const auto &packet = std::get<packet_view>(parsed);
    const time_point now = std::chrono::steady_clock::now();
    const route_decision decision = m_decider.decide(packet, origin, now);
    std::visit([this, &packet](const auto &action) { apply(action, packet); }, decision);
}

void traffic_worker::onRelayedPacket(std::span<const std::byte> datagram)
{
    const std::optional<relay_header> header = decodeRelayHeader(datagram);
    if (!header) {
        m_counters.countFault(packet_fault::Malformed);
        return;
    }
    const packet_origin origin{header->hops, header->sender};
    const std::span<const std::byte> packet = datagram.subspan(header->size());
    if (header->answerFrom) {
        onAnswerPacket(packet, *header->answerFrom, origin);
        return;
    }
    onFabricPacket(packet, origin);
}

void traffic_worker::onAnswer(std::span<const std::byte> bytes, const endpoint &from)
{
    const std::optional<backend_server_id> sender = m_view->servers->senderAt(from);
    if (!sender) {
        traffic_counters::add(m_counters.answersCrossed);
        return;
    }
    onAnswerPacket(bytes, *sender, {});
}

void traffic_worker::onAnswerPacket(std::span<const std::byte> bytes, backend_server_id sender,
                                    const packet_origin &origin)
{
    const auto parsed = parsePacket(bytes, packet_direction::ToCaller);
    if (const auto *fault = std::get_if<packet_fault>(&parsed)) {
        m_counters.countFault(*fault);
        return;
    }
    const auto &packet = std::get<packet_view>(parsed);
    const time_point now = std::chrono::steady_clock::now();
    const answer_decision decision = m_decider.decideAnswer(packet, sender, origin, now);
    if (std::holds_alternative<pass_action>(decision)) {
        passAnswer(packet);
        return;
    }
    if (const auto *action = std::get_if<relay_action>(&decision)) {
        relay(*action, sender, packet.bytes);
        return;
    }
    traffic_counters::add(m_counters.answersCrossed);
}

void traffic_worker::apply(const forward_action &action, const packet_view &packet)
{
    const std::optional<endpoint> tunnel = m_view->servers->tunnelOf(action.backendServer);
    if (!tunnel) {
        m_counters.countDrop(drop_reason::NoServerAvailable);
        return;
    }
    countSent(m_fabric.send(*tunnel, packet.bytes), m_counters.forwarded);
    if (!action.firstPacket) {
        return;
    }
    if (const std::optional<service_id> service = serviceOf(packet)) {
        traffic_counters::add(m_counters.service(*service).offered);
    }
}

void traffic_worker::apply(const relay_action &action, const packet_view &packet)
{
    relay(action, std::nullopt, packet.bytes);
}

void traffic_worker::apply(const refuse_action &action, const packet_view &packet)
{
    const bool isTcp = packet.key.protocol == transport_protocol::Tcp;
    const std::vector<std::byte> reply =
            isTcp ? buildTcpReset(packet) : buildPortUnreachable(packet);
    traffic_counters::add(m_counters.refused);
    const std::optional<service_id> service = serviceOf(packet);
    if (service && action.reason == refusal_reason::Overloaded) {
        traffic_counters::add(m_counters.service(*service).refusedOverloaded);
    }
    if (service && action.reason == refusal_reason::GivenUp) {
        traffic_counters::add(m_counters.service(*service).givenUp);
    }
    if (!reply.empty()) {
        sendToFabric(reply);
    }
}

void traffic_worker::apply(const drop_action &action, const packet_view &packet)
{
    m_counters.countDrop(action.reason);
    if (packet.kind != packet_kind::TcpSyn) {
        return;
    }
    if (const std::optional<service_id> service = serviceOf(packet)) {
        const auto reason = static_cast<std::size_t>(action.reason);
        traffic_counters::add(m_counters.service(*service).dropped[reason]);
    }
}

void traffic_worker::passAnswer(const packet_view &packet)
{
    traffic_counters::add(m_counters.answersPassed);
    sendToFabric(packet.bytes);
    const std::optional<tcp_segment> segment = tcpSegmentOf(packet);
    const bool refuses = segment && isConnectionRefusal(*segment);
    const bool answers = packet.kind == packet_kind::Udp || (segment && isSynAck(*segment));
    if (!refuses && !answers) {
        return;
    }
    if (const std::optional<service_id> service = serviceOf(packet)) {
        service_traffic &traffic = m_counters.service(*service);
        traffic_counters::add(refuses ? traffic.resetByServer : traffic.answered);
    }
}

void traffic_worker::relay(const relay_action &action, std::optional<backend_server_id> answerFrom,
                           std::span<const std::byte> packet)
{
    const auto peer = m_view->relays.find(action.peer);
    const endpoint to = action.peer == m_self          ? m_localRelay
                        : peer != m_view->relays.end() ? peer->second
                                                       : endpoint{};
    if (to.port == 0) {
        m_counters.countDrop(drop_reason::PartitionSuspected);
        return;
    }
    const relay_header header{action.hops, m_self, answerFrom};
    const relay_header_bytes encoded = encodeRelayHeader(header);
    m_relayBuffer.assign(encoded.begin(), encoded.begin() + static_cast<long>(header.size()));
    m_relayBuffer.insert(m_relayBuffer.end(), packet.begin(), packet.end());
    countSent(m_relay.send(to, m_relayBuffer), m_counters.relayed);
}

void traffic_worker::sendToFabric(std::span<const std::byte> packet)
{
    if (!m_fabric.send(m_fabricAddress, packet)) {
        traffic_counters::add(m_counters.sendFailures);
    }
}

void traffic_worker::countSent(bool sent, std::atomic<std::uint64_t> &counter)
{
    traffic_counters::add(sent ? counter : m_counters.sendFailures);
}

std::optional<service_id> traffic_worker::serviceOf(const packet_view &packet) const
{
    const auto &plan = m_view->servers->plan;
    return plan ? plan->serviceFor(packet.key) : std::nullopt;
}

} // namespace ebonyway
