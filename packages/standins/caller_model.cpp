#include "standins/caller_model.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Payload bytes of one segment of an upload; an IP-in-UDP packet then fits 1,500 bytes. */
constexpr std::size_t UploadSegmentBytes = 1200;
/** Wait before a long flow that was lost is replaced, so that a refusal causes no storm. */
constexpr duration ReplaceDelay = std::chrono::milliseconds(500);
constexpr std::uint64_t FirstPort = 1024;
constexpr std::uint64_t PortCount = 65536 - FirstPort;

constexpr std::array<std::pair<flow_kind, const char *>, 4> KindNames{{
        {flow_kind::Long, "long"},
        {flow_kind::Short, "short"},
        {flow_kind::Upload, "upload"},
        {flow_kind::Hold, "hold"},
}};

error invalidService(const std::string &text)
{
    return {error_kind::InvalidInput, "'" + text + "' is not a service",
            "Write NAME=ADDRESS:PORT/tcp or NAME=ADDRESS:PORT/udp."};
}

error invalidTraffic(const std::string &text)
{
    return {error_kind::InvalidInput, "'" + text + "' is not a traffic class",
            "Write KIND:SERVICE:AMOUNT with the kind long, short, upload or hold."};
}

ip_address addressAfter(const ip_address &first, std::uint32_t offset)
{
    if (first.isV4()) {
        return ip_address::fromV4(first.toV4() + offset);
    }
    ip_address address = first;
    std::uint32_t carry = offset;
    for (std::size_t i = address.bytes.size(); i-- > 0 && carry > 0;) {
        carry += address.bytes[i];
        address.bytes[i] = static_cast<std::uint8_t>(carry);
        carry >>= 8;
    }
    return address;
}

duration seconds(double count)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(count));
}

void add(flow_counters &total, const flow_counters &part)
{
    total.started += part.started;
    total.opened += part.opened;
    total.answered += part.answered;
    total.refused += part.refused;
    total.unreachable += part.unreachable;
    total.brokenByReset += part.brokenByReset;
    total.brokenByIcmp += part.brokenByIcmp;
    total.brokenByTimeout += part.brokenByTimeout;
    total.failed += part.failed;
    total.misdelivered += part.misdelivered;
}

} // namespace

const char *flowKindName(flow_kind kind)
{
    for (const auto &[known, name] : KindNames) {
        if (known == kind) {
            return name;
        }
    }
    return "unknown";
}

result<caller_service> caller_service::parse(const std::string &text)
{
    const std::size_t equals = text.find('=');
    const std::size_t slash = text.rfind('/');
    if (equals == std::string::npos || slash == std::string::npos || slash < equals) {
        return invalidService(text);
    }
    const std::string protocol = text.substr(slash + 1);
    if (protocol != "tcp" && protocol != "udp") {
        return invalidService(text);
    }
    const result<endpoint> address = endpoint::parse(text.substr(equals + 1, slash - equals - 1));
    if (!isOk(address)) {
        return errorOf(address);
    }
    caller_service service;
    service.name = text.substr(0, equals);
    service.address = valueOf(address);
    service.protocol = protocol == "tcp" ? transport_protocol::Tcp : transport_protocol::Udp;
    return service;
}

result<traffic_class> traffic_class::parse(const std::string &text)
{
    const std::size_t first = text.find(':');
    const std::size_t last = text.rfind(':');
    if (first == std::string::npos || first == last) {
        return invalidTraffic(text);
    }
    traffic_class traffic;
    traffic.service = text.substr(first + 1, last - first - 1);
    std::istringstream amount(text.substr(last + 1));
    if (!(amount >> traffic.amount) || !amount.eof() || traffic.amount < 0) {
        return invalidTraffic(text);
    }
    for (const auto &[kind, name] : KindNames) {
        if (text.substr(0, first) == name) {
            traffic.kind = kind;
            return traffic;
        }
    }
    return invalidTraffic(text);
}

caller_model::caller_model(caller_settings settings, std::uint64_t seed, time_point start)
    : m_settings(std::move(settings))
    , m_random(seed)
{
    for (const caller_service &service : m_settings.services) {
        m_counters[service.name];
    }
    m_arrivals.resize(m_settings.traffic.size());
    for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
        scheduleArrival(i, start);
    }
}

void caller_model::scheduleArrival(std::size_t trafficIndex, time_point now)
{
    const traffic_class &traffic = m_settings.traffic[trafficIndex];
    const bool isLong = traffic.kind == flow_kind::Long;
    const double rate = isLong ? m_settings.longFlowRate : traffic.amount;
    m_arrivals[trafficIndex].next = traffic.amount > 0 && rate > 0
                                            ? now + seconds(m_random.exponential(1.0 / rate))
                                            : time_point::max();
}

void caller_model::onTimer(time_point now)
{
    for (std::size_t i = 0; i < m_arrivals.size() && !m_stopped; ++i) {
        const traffic_class &traffic = m_settings.traffic[i];
        while (m_arrivals[i].next <= now) {
            const time_point planned = m_arrivals[i].next;
            const bool full = traffic.kind == flow_kind::Long
                              && static_cast<double>(m_arrivals[i].open) >= traffic.amount;
            if (full) {
                m_arrivals[i].next = time_point::max(); // removeFlow() schedules the next one.
                break;
            }
            startFlow(i, now);
            scheduleArrival(i, planned);
        }
    }
    for (const std::uint64_t id : m_timers.takeDue(now)) {
        const auto found = m_flows.find(id);
        if (found != m_flows.end()) {
            onFlowTimer(found->second, now);
            update(id, now);
        }
    }
}

time_point caller_model::nextTimer() const
{
    time_point next = m_timers.next();
    for (const arrival &planned : m_arrivals) {
        next = m_stopped ? next : std::min(next, planned.next);
    }
    return next;
}

void caller_model::startFlow(std::size_t trafficIndex, time_point now)
{
    const traffic_class &traffic = m_settings.traffic[trafficIndex];
    const caller_service *service = serviceNamed(traffic.service);
    if (service == nullptr) {
        return;
    }
    caller_flow flow;
    flow.id = m_nextFlow;
    flow.key = newKey(*service);
    flow.kind = traffic.kind;
    flow.trafficIndex = trafficIndex;
    flow.service = service->name;
    ++m_counters[flow.service].started;
    ++m_arrivals[trafficIndex].open;
    m_flowsByKey[flow.key] = flow.id;
    caller_flow &stored = m_flows.emplace(flow.id, std::move(flow)).first->second;
    if (stored.key.protocol == transport_protocol::Tcp) {
        const auto initialSequence = static_cast<std::uint32_t>(m_random.next());
        stored.connection = tcp_connection::connect(initialSequence, m_settings.timing, now);
    }
    sendRequest(stored, now);
    update(stored.id, now);
}

const caller_service *caller_model::serviceNamed(const std::string &name) const
{
    for (const caller_service &service : m_settings.services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

flow_key caller_model::newKey(const caller_service &service)
{
    const std::uint64_t number = m_nextFlow++;
    const std::uint64_t addresses = std::max<std::uint64_t>(1, m_settings.addressCount);
    flow_key key;
    key.caller =
            addressAfter(m_settings.firstAddress, static_cast<std::uint32_t>(number % addresses));
    key.callerPort = static_cast<std::uint16_t>(FirstPort + (number / addresses) % PortCount);
    key.service = service.address.address;
    key.servicePort = service.address.port;
    key.protocol = service.protocol;
    return key;
}

request_line caller_model::nextRequestOf(const caller_flow &flow) const
{
    const std::string number = std::to_string(flow.requestsSent);
    request_line request;
    request.id = m_settings.name + "-" + std::to_string(flow.id) + "-" + number;
    request.deadline = m_settings.deadline;
    const bool datagram = flow.key.protocol == transport_protocol::Udp;
    if (flow.kind == flow_kind::Long || (datagram && flow.kind != flow_kind::Hold)) {
        request.verb = request_verb::Ping;
        request.argument = number;
    } else if (flow.kind == flow_kind::Upload) {
        request.verb = request_verb::Put;
        request.argument = std::to_string(m_settings.uploadBytes);
    } else if (flow.kind == flow_kind::Hold) {
        request.verb = request_verb::Hold;
        request.argument = request.id;
    } else {
        request.verb = request_verb::Get;
        request.argument = "price " + std::to_string(flow.id % 100);
    }
    return request;
}

void caller_model::sendRequest(caller_flow &flow, time_point now)
{
    flow.request = nextRequestOf(flow);
    ++flow.requestsSent;
    flow.waiting = true;
    flow.nextRequest = time_point::max();
    flow.copiesSent = 0;
    if (!flow.connection) {
        sendDatagram(flow, now);
        return;
    }
    flow.answerDue = now + m_settings.answerTimeout;
    flow.connection->send(formatRequestLine(flow.request) + "\n", now);
    std::uint64_t missing = bodyLength(flow.request);
    while (missing > 0) {
        const std::size_t length = std::min<std::uint64_t>(missing, UploadSegmentBytes);
        flow.connection->send(std::string(length, 'u'), now);
        missing -= length;
    }
}

void caller_model::sendDatagram(caller_flow &flow, time_point now)
{
    ++flow.copiesSent;
    flow.answerDue = now + m_settings.datagramTimeout;
    m_packets.push_back(buildDatagramPacket(flow.key, packet_direction::ToService,
                                            formatRequestLine(flow.request) + "\n"));
}

void caller_model::onPacket(std::span<const std::byte> bytes, time_point now)
{
    const auto parsed = parsePacket(bytes, packet_direction::ToCaller);
    const auto *packet = std::get_if<packet_view>(&parsed);
    const auto known = packet == nullptr ? m_flowsByKey.end() : m_flowsByKey.find(packet->key);
    if (known == m_flowsByKey.end()) {
        ++m_strayPackets;
        return;
    }
    const std::uint64_t id = known->second;
    caller_flow &flow = m_flows.at(id);
    if (packet->kind == packet_kind::IcmpError) {
        settleUnanswered(flow, &flow_counters::brokenByIcmp, &flow_counters::refused, "icmp", now);
        if (flow.connection) {
            flow.connection->onNetworkError();
        }
    } else if (packet->kind == packet_kind::Udp) {
        std::string line = readUdpPayload(*packet);
        line.resize(line.ends_with('\n') ? line.size() - 1 : line.size());
        onLine(flow, line, now);
    } else if (flow.connection) {
        onTcp(flow, *packet, now);
    }
    update(id, now);
}

void caller_model::onTcp(caller_flow &flow, const packet_view &packet, time_point now)
{
    const std::optional<stream_segment> segment = readSegment(packet);
    if (!segment) {
        return;
    }
    flow.connection->onSegment(*segment, now);
    if (flow.connection->wasEstablished()) {
        markOpened(flow);
    }
    flow.buffer += flow.connection->takeReceived();
    for (std::size_t end = flow.buffer.find('\n'); end != std::string::npos;
         end = flow.buffer.find('\n')) {
        const std::string line = flow.buffer.substr(0, end);
        flow.buffer.erase(0, end + 1);
        onLine(flow, line, now);
    }
    afterTcp(flow, now);
}

void caller_model::afterTcp(caller_flow &flow, time_point now)
{
    const tcp_connection &connection = *flow.connection;
    if (connection.end() == tcp_end::Reset) {
        settleUnanswered(flow, &flow_counters::brokenByReset, &flow_counters::refused, "reset",
                         now);
    } else if (connection.end() == tcp_end::TimedOut) {
        settleUnanswered(flow, &flow_counters::brokenByTimeout, &flow_counters::unreachable,
                         "timeout", now);
    } else if (connection.peerFinished() && !flow.closing && !flow.settled) {
        settle(flow, &flow_counters::brokenByReset, "flow_broken", "finished by the service", now);
        flow.connection->finish(now);
    }
}

void caller_model::onLine(caller_flow &flow, const std::string &line, time_point now)
{
    const std::optional<answer_line> answer = parseAnswerLine(line);
    const bool duplicate = answer && !flow.waiting && !flow.connection;
    if (duplicate || flow.settled) {
        return; // A late copy of a datagram's answer, or the flow has already failed.
    }
    const bool own = answer && flow.waiting && answer->service == flow.service
                     && answer->id == flow.request.id;
    if (!own) {
        const bool lateDatagram =
                answer && !flow.connection && answer->service == flow.service
                && answer->id.starts_with(m_settings.name + "-" + std::to_string(flow.id) + "-");
        if (!lateDatagram) {
            settle(flow, &flow_counters::misdelivered, "answer_misdelivered",
                   "expected " + flow.service + " " + flow.request.id + ", got: " + line, now);
            closeFlow(flow, now);
        }
        return;
    }
    markOpened(flow);
    noteServer(flow, answer->server);
    onAnswer(flow, *answer, now);
}

void caller_model::onAnswer(caller_flow &flow, const answer_line &answer, time_point now)
{
    flow.waiting = false;
    flow.answerDue = time_point::max();
    if (answer.verdict == answer_verdict::NotRun) {
        settle(flow, &flow_counters::refused, "request_not_run", answer.detail, now);
        closeFlow(flow, now);
        return;
    }
    if (answer.verdict == answer_verdict::Failed) {
        settle(flow, &flow_counters::failed, "request_failed", answer.detail, now);
        closeFlow(flow, now);
        return;
    }
    planNext(flow, now);
}

void caller_model::planNext(caller_flow &flow, time_point now)
{
    const bool datagramSeries = !flow.connection && flow.kind == flow_kind::Short
                                && flow.requestsSent < m_settings.datagramPings;
    const bool continues = flow.kind == flow_kind::Long || datagramSeries;
    if (continues && !m_stopped) {
        flow.nextRequest = now + m_settings.pingInterval;
        return;
    }
    settle(flow, &flow_counters::answered, nullptr, {}, now);
    closeFlow(flow, now);
}

void caller_model::markOpened(caller_flow &flow)
{
    if (!flow.opened) {
        flow.opened = true;
        ++m_counters[flow.service].opened;
    }
}

void caller_model::noteServer(caller_flow &flow, const std::string &server)
{
    if (!flow.server.empty()) {
        return;
    }
    flow.server = server;
    server_share &share = m_spread[flow.service][server];
    ++share.flows;
    share.longFlowsOpen += flow.kind == flow_kind::Long ? 1 : 0;
}

void caller_model::closeFlow(caller_flow &flow, time_point now)
{
    flow.closing = true;
    flow.nextRequest = time_point::max();
    flow.answerDue = time_point::max();
    if (flow.connection) {
        flow.connection->finish(now);
    }
}

void caller_model::settleUnanswered(caller_flow &flow, std::uint64_t flow_counters::*broken,
                                    std::uint64_t flow_counters::*beforeOpening, const char *cause,
                                    time_point now)
{
    if (flow.opened) {
        settle(flow, broken, "flow_broken", cause, now);
    } else {
        settle(flow, beforeOpening, "flow_not_opened", cause, now);
    }
    flow.closing = true;
}

void caller_model::settle(caller_flow &flow, std::uint64_t flow_counters::*counter,
                          const char *event, const std::string &detail, time_point now)
{
    if (flow.settled) {
        return;
    }
    flow.settled = true;
    ++(m_counters[flow.service].*counter);
    if (event != nullptr) {
        m_events.push_back({now, event, flow.id, flow.key,
                            std::string(flowKindName(flow.kind)) + ", " + detail
                                    + (flow.server.empty() ? "" : ", server " + flow.server)});
    }
}

void caller_model::onFlowTimer(caller_flow &flow, time_point now)
{
    if (flow.connection) {
        flow.connection->onTimer(now);
        afterTcp(flow, now);
    }
    if (flow.answerDue <= now) {
        flow.answerDue = time_point::max();
        onDatagramTimer(flow, now);
    }
    if (flow.nextRequest > now || flow.closing) {
        return;
    }
    if (m_stopped) {
        settle(flow, &flow_counters::answered, nullptr, {}, now);
        closeFlow(flow, now);
        return;
    }
    sendRequest(flow, now);
}

void caller_model::onDatagramTimer(caller_flow &flow, time_point now)
{
    const bool repeatable = !flow.connection && flow.kind != flow_kind::Hold;
    if (repeatable && flow.copiesSent < m_settings.datagramCopies) {
        sendDatagram(flow, now);
        return;
    }
    settleUnanswered(flow, &flow_counters::brokenByTimeout, &flow_counters::unreachable,
                     "no answer", now);
    if (flow.connection) {
        flow.connection->abort();
    }
}

void caller_model::update(std::uint64_t id, time_point now)
{
    caller_flow &flow = m_flows.at(id);
    if (!flow.connection) {
        if (flow.closing) {
            removeFlow(id, now);
            return;
        }
        m_timers.schedule(std::min(flow.answerDue, flow.nextRequest), id);
        return;
    }
    for (const stream_segment &segment : flow.connection->takeOutput()) {
        m_packets.push_back(buildSegmentPacket(flow.key, packet_direction::ToService, segment));
    }
    if (flow.connection->state() == tcp_state::Closed) {
        removeFlow(id, now);
        return;
    }
    const time_point next =
            std::min({flow.connection->nextTimer(), flow.answerDue, flow.nextRequest});
    m_timers.schedule(std::max(next, now), id);
}

void caller_model::removeFlow(std::uint64_t id, time_point now)
{
    const auto found = m_flows.find(id);
    const caller_flow &flow = found->second;
    arrival &planned = m_arrivals[flow.trafficIndex];
    --planned.open;
    if (flow.kind == flow_kind::Long && planned.next == time_point::max()) {
        planned.next = now + ReplaceDelay;
    }
    if (flow.kind == flow_kind::Long && !flow.server.empty()) {
        --m_spread[flow.service][flow.server].longFlowsOpen;
    }
    m_flowsByKey.erase(flow.key);
    m_flows.erase(found);
}

void caller_model::stop(time_point now)
{
    m_stopped = true;
    for (auto &[id, flow] : m_flows) {
        if (flow.nextRequest != time_point::max()) {
            flow.nextRequest = now;
            m_timers.schedule(now, id);
        }
    }
}

std::vector<std::vector<std::byte>> caller_model::takePackets()
{
    return std::exchange(m_packets, {});
}

std::vector<caller_event> caller_model::takeEvents()
{
    return std::exchange(m_events, {});
}

flow_counters caller_model::total() const
{
    flow_counters total;
    for (const auto &[service, counters] : m_counters) {
        add(total, counters);
    }
    return total;
}

} // namespace ebonyway::standins
