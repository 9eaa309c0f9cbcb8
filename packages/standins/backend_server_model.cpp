#include "standins/backend_server_model.h"

#include <algorithm>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Longest request line in bytes; a longer one ends the flow. */
constexpr std::size_t LongestLine = 4096;
/** Distance between stored health reports while the endpoint lags. */
constexpr duration HealthSampleInterval = std::chrono::milliseconds(50);
/** Keeps the random numbers of service times apart from those of the packets. */
constexpr std::uint64_t WorkSeedSalt = 0x776f726bU;

std::string detailOf(const request_line &request)
{
    switch (request.verb) {
    case request_verb::Get:
        return "got " + request.argument;
    case request_verb::Hold:
        return "held";
    case request_verb::Put:
        return "stored " + request.argument;
    case request_verb::Ping:
        return "pong " + request.argument;
    }
    return {};
}

} // namespace

backend_server_model::backend_server_model(backend_server_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_work(m_settings.work, seed ^ WorkSeedSalt)
{ }

void backend_server_model::onPacket(std::span<const std::byte> bytes, time_point now)
{
    if (m_down || m_silent) {
        return;
    }
    const auto parsed = parsePacket(bytes, packet_direction::ToService);
    const auto *packet = std::get_if<packet_view>(&parsed);
    if (packet == nullptr) {
        ++m_counters.faultyPackets;
        return;
    }
    const std::vector<ip_address> &own = m_settings.serviceAddresses;
    if (!own.empty() && std::find(own.begin(), own.end(), packet->key.service) == own.end()) {
        ++m_counters.misroutedPackets;
        return;
    }
    if (packet->kind == packet_kind::Udp) {
        onUdp(*packet, now);
    } else if (packet->kind != packet_kind::IcmpError) {
        onTcp(*packet, now);
    }
    finishWork(now);
    if (m_work.hasFailed()) {
        crash(now);
    }
}

void backend_server_model::onTcp(const packet_view &packet, time_point now)
{
    const std::optional<stream_segment> segment = readSegment(packet);
    if (!segment) {
        return;
    }
    const auto found = m_flows.find(packet.key);
    if (found != m_flows.end()) {
        found->second.connection.onSegment(*segment, now);
        serveFlow(packet.key, found->second, now);
        return;
    }
    if (packet.kind == packet_kind::TcpSyn) {
        onFirstSyn(packet, *segment, now);
        return;
    }
    std::vector<std::byte> reset = buildTcpReset(packet);
    if (!reset.empty()) {
        ++m_counters.unknownFlowResets;
        sendPacket(std::move(reset));
    }
}

void backend_server_model::onFirstSyn(const packet_view &packet, const stream_segment &segment,
                                      time_point now)
{
    if (m_draining || m_flows.size() >= m_settings.connectionLimit) {
        ++m_counters.flowsRefused;
        sendPacket(buildTcpReset(packet));
        return;
    }
    const auto initialSequence = static_cast<std::uint32_t>(m_random.next());
    server_flow flow{
            tcp_connection::accept(segment, initialSequence, m_settings.timing, now), {}, {}, 0, 0};
    ++m_counters.flowsAccepted;
    server_flow &stored = m_flows.emplace(packet.key, std::move(flow)).first->second;
    flush(packet.key, stored, now);
}

void backend_server_model::serveFlow(const flow_key &key, server_flow &flow, time_point now)
{
    flow.buffer += flow.connection.takeReceived();
    consume(key, flow, now);
    if (flow.connection.peerFinished() && flow.openRequests == 0) {
        flow.connection.finish(now);
    }
    flush(key, flow, now);
    if (flow.connection.state() != tcp_state::Closed) {
        return;
    }
    if (flow.connection.end() != tcp_end::Finished) {
        ++m_counters.abortedFlows;
    }
    cancelRequestsOf(key, now);
    m_flows.erase(key);
}

void backend_server_model::consume(const flow_key &key, server_flow &flow, time_point now)
{
    while (consumeBody(key, flow, now) || consumeLine(key, flow, now)) { }
    if (!flow.upload && flow.buffer.size() > LongestLine) {
        flow.connection.abort();
    }
}

bool backend_server_model::consumeBody(const flow_key &key, server_flow &flow, time_point now)
{
    if (!flow.upload) {
        return false;
    }
    const std::uint64_t taken = std::min<std::uint64_t>(flow.bodyMissing, flow.buffer.size());
    flow.buffer.erase(0, taken);
    flow.bodyMissing -= taken;
    if (flow.bodyMissing > 0) {
        return false;
    }
    const request_line request = *flow.upload;
    flow.upload.reset();
    startRequest(key, request, now);
    return true;
}

bool backend_server_model::consumeLine(const flow_key &key, server_flow &flow, time_point now)
{
    const std::size_t end = flow.buffer.find('\n');
    if (flow.upload || end == std::string::npos) {
        return false;
    }
    const std::optional<request_line> request = parseRequestLine(flow.buffer.substr(0, end));
    flow.buffer.erase(0, end + 1);
    if (!request) {
        flow.connection.abort();
        return false;
    }
    ++flow.openRequests;
    if (bodyLength(*request) > 0) {
        flow.upload = request;
        flow.bodyMissing = bodyLength(*request);
        return true;
    }
    startRequest(key, *request, now);
    return true;
}

void backend_server_model::onUdp(const packet_view &packet, time_point now)
{
    std::string line = readUdpPayload(packet);
    if (!line.empty() && line.back() == '\n') {
        line.pop_back();
    }
    const std::optional<request_line> request = parseRequestLine(line);
    if (!request) {
        ++m_counters.faultyPackets;
        return;
    }
    startRequest(packet.key, *request, now);
}

void backend_server_model::startRequest(const flow_key &key, const request_line &request,
                                        time_point now)
{
    if (request.verb == request_verb::Ping) {
        answer(key, request, answer_verdict::Done, detailOf(request), now);
        return;
    }
    work_item item;
    item.id = m_nextWork++;
    item.countedId = request.verb == request_verb::Hold ? request.id : std::string();
    item.deadline = request.deadline ? now + *request.deadline : time_point::max();
    m_pending.emplace(item.id, pending_request{key, request});
    m_work.submit(item, now);
}

void backend_server_model::finishWork(time_point now)
{
    for (const finished_work &finished : m_work.takeFinished()) {
        const auto found = m_pending.find(finished.id);
        if (found == m_pending.end()) {
            continue;
        }
        const pending_request pending = std::move(found->second);
        m_pending.erase(found);
        switch (finished.outcome) {
        case work_outcome::Done:
            answer(pending.flow, pending.request, answer_verdict::Done, detailOf(pending.request),
                   now);
            break;
        case work_outcome::Shed:
            ++m_counters.requestsShed;
            answer(pending.flow, pending.request, answer_verdict::NotRun, "overloaded", now);
            break;
        case work_outcome::ExpiredWaiting:
            ++m_counters.requestsExpired;
            answer(pending.flow, pending.request, answer_verdict::NotRun, "deadline", now);
            break;
        case work_outcome::ExpiredRunning:
            ++m_counters.requestsExpired;
            answer(pending.flow, pending.request, answer_verdict::Failed, "deadline", now);
            break;
        }
    }
}

void backend_server_model::answer(const flow_key &key, const request_line &request,
                                  answer_verdict verdict, const std::string &detail, time_point now)
{
    const answer_line line{verdict, m_settings.service, m_settings.name, request.id, detail};
    const std::string text = formatAnswerLine(line) + "\n";
    m_counters.requestsAnswered += verdict == answer_verdict::Done ? 1 : 0;
    if (key.protocol == transport_protocol::Udp) {
        sendPacket(buildDatagramPacket(key, packet_direction::ToCaller, text));
        return;
    }
    answerTcp(key, text, now);
}

void backend_server_model::answerTcp(const flow_key &key, const std::string &line, time_point now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    server_flow &flow = found->second;
    --flow.openRequests;
    flow.connection.send(line, now);
    if (flow.connection.peerFinished() && flow.openRequests == 0) {
        flow.connection.finish(now);
    }
    flush(key, flow, now);
}

void backend_server_model::cancelRequestsOf(const flow_key &key, time_point now)
{
    std::vector<work_id> cancelled;
    for (const auto &[id, pending] : m_pending) {
        if (pending.flow == key) {
            cancelled.push_back(id);
        }
    }
    for (const work_id id : cancelled) {
        m_pending.erase(id);
        m_work.cancel(id, now);
    }
}

void backend_server_model::flush(const flow_key &key, server_flow &flow, time_point now)
{
    for (const stream_segment &segment : flow.connection.takeOutput()) {
        sendPacket(buildSegmentPacket(key, packet_direction::ToCaller, segment));
    }
    m_timers.schedule(std::max(flow.connection.nextTimer(), now), key);
}

void backend_server_model::sendPacket(std::vector<std::byte> bytes)
{
    if (m_settings.answerEndpoints.empty()) {
        return;
    }
    const std::uint64_t index = m_random.below(m_settings.answerEndpoints.size());
    m_packets.push_back({m_settings.answerEndpoints[index], std::move(bytes)});
}

void backend_server_model::onTimer(time_point now)
{
    if (m_down) {
        if (now >= m_downUntil) {
            startAgain(now);
        }
        return;
    }
    m_work.onTimer(now);
    finishWork(now);
    for (const flow_key &key : m_timers.takeDue(now)) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        found->second.connection.onTimer(now);
        serveFlow(key, found->second, now);
    }
    if (m_silent) {
        m_packets.clear();
    }
}

time_point backend_server_model::nextTimer() const
{
    return m_down ? m_downUntil : std::min(m_timers.next(), m_work.nextTimer());
}

std::vector<answer_packet> backend_server_model::takePackets()
{
    return std::exchange(m_packets, {});
}

void backend_server_model::crash(time_point now)
{
    m_flows.clear();
    m_pending.clear();
    m_timers = {};
    m_packets.clear();
    m_work.restart();
    m_down = true;
    m_downUntil = now + m_settings.restartTime;
}

void backend_server_model::startAgain(time_point now)
{
    m_down = false;
    m_downUntil = time_point::max();
    ++m_startCount;
    ++m_counters.restarts;
    sampleHealth(now);
}

std::uint32_t backend_server_model::openConnections() const
{
    return static_cast<std::uint32_t>(m_flows.size());
}

void backend_server_model::sampleHealth(time_point now)
{
    const health_report truth{!m_draining, openConnections(), m_work.busySlots(), m_startCount};
    if (m_healthHistory.empty() || now - m_healthHistory.back().at >= HealthSampleInterval) {
        m_healthHistory.push_back({now, truth});
    }
    while (m_healthHistory.size() > 1 && m_healthHistory[1].at + m_healthLag <= now) {
        m_healthHistory.pop_front();
    }
}

std::optional<health_report> backend_server_model::health(time_point now)
{
    if (m_down || m_silent) {
        return std::nullopt;
    }
    sampleHealth(now);
    health_report report = m_healthHistory.front().report;
    if (m_healthLag == duration::zero()) {
        report = {!m_draining, openConnections(), m_work.busySlots(), m_startCount};
    }
    report.ready = m_healthLie.ready.value_or(report.ready);
    report.openConnections = m_healthLie.openConnections.value_or(report.openConnections);
    report.busySlots = m_healthLie.busySlots.value_or(report.busySlots);
    report.startCount = m_healthLie.startCount.value_or(report.startCount);
    return report;
}

void backend_server_model::setAnswerEndpoints(std::vector<endpoint> endpoints)
{
    m_settings.answerEndpoints = std::move(endpoints);
}

} // namespace ebonyway::standins
