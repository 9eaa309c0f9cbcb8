#include "emulator/emulated_caller.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Times and sizes of the platform's protocol.
constexpr duration FirstCopy = 200ms;
constexpr duration SecondCopy = 600ms;
constexpr duration OpeningTime = 1400ms;
constexpr duration FirstRepeat = 200ms;
constexpr duration LongestRepeat = 1600ms;
constexpr std::uint32_t PacketBytes = 1'200;
constexpr std::uint32_t WindowPackets = 16;

// Between a failed attempt and the next one.
constexpr duration RetryPause = 50ms;

// Any positive size shows the instances that an answer has arrived.
constexpr std::uint32_t AnswerBytes = 1'000;

constexpr std::uint32_t CallerNetwork = 0x64400000; // 100.64.0.0
constexpr std::uint64_t PortsPerCaller = 60'000;
constexpr std::uint64_t FirstPort = 1'024;

} // namespace

emulated_callers::emulated_callers(const scenario &plan, event_queue &queue, seeded_random &random,
                                   caller_port &port)
    : m_plan(plan)
    , m_queue(queue)
    , m_random(random)
    , m_port(port)
    , m_rateFactors(plan.traffic.size(), std::vector<double>(plan.failureDomains.size(), 1))
{ }

void emulated_callers::setRate(double factor, const std::string &failureDomain,
                               const std::string &traffic)
{
    for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
        if (!traffic.empty() && kindOf(i).name != traffic) {
            continue;
        }
        for (std::size_t domain = 0; domain < m_plan.failureDomains.size(); ++domain) {
            if (failureDomain.empty() || m_plan.failureDomains[domain] == failureDomain) {
                m_rateFactors[i][domain] = factor;
            }
        }
    }
}

double emulated_callers::rateFactor(std::size_t traffic) const
{
    const std::vector<double> &factors = m_rateFactors[traffic];
    return std::accumulate(factors.begin(), factors.end(), 0.0)
           / static_cast<double>(factors.size());
}

std::size_t emulated_callers::drawDomain(std::size_t traffic)
{
    const std::vector<double> &factors = m_rateFactors[traffic];
    if (std::all_of(factors.begin(), factors.end(),
                    [&](double factor) { return factor == factors.front(); })) {
        return m_random.below(factors.size());
    }
    double rest = m_random.unit() * std::accumulate(factors.begin(), factors.end(), 0.0);
    for (std::size_t i = 0; i + 1 < factors.size(); ++i) {
        if (rest < factors[i]) {
            return i;
        }
        rest -= factors[i];
    }
    return factors.size() - 1;
}

endpoint emulated_callers::sourceOf(const request &wanted)
{
    const std::uint64_t number =
            m_plan.callersPerDomain > 0 ? m_portsUsed[wanted.caller]++ : m_nextFlow++;
    const std::uint64_t address =
            m_plan.callersPerDomain > 0 ? wanted.caller : number / PortsPerCaller;
    return {ip_address::fromV4(CallerNetwork + static_cast<std::uint32_t>(address)),
            static_cast<std::uint16_t>(FirstPort + number % PortsPerCaller)};
}

void emulated_callers::start(time_point end)
{
    m_end = end;
    for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
        scheduleNext(i);
    }
}

void emulated_callers::scheduleNext(std::size_t traffic)
{
    const double rate = kindOf(traffic).rate * rateFactor(traffic);
    if (rate <= 0) {
        return;
    }
    const std::chrono::duration<double> pause(m_random.exponential(1.0 / rate));
    m_queue.after(std::chrono::duration_cast<duration>(pause), [this, traffic] {
        if (m_queue.now() >= m_end) {
            return;
        }
        const std::size_t domain = drawDomain(traffic);
        request wanted = newRequest(traffic, m_plan.failureDomains[domain]);
        if (m_plan.callersPerDomain > 0) {
            wanted.caller =
                    domain * m_plan.callersPerDomain + m_random.below(m_plan.callersPerDomain);
        }
        open(wanted, kindOf(traffic).requestsPerFlow);
        scheduleNext(traffic);
    });
}

emulated_callers::request emulated_callers::newRequest(std::size_t traffic,
                                                       const std::string &failureDomain)
{
    request made{++m_nextRequest, traffic, failureDomain, m_queue.now(), 0, 0};
    m_queue.after(kindOf(traffic).timeLimit, [this, number = made.number] { onTimeLimit(number); });
    return made;
}

void emulated_callers::open(const request &wanted, std::uint32_t requestsLeft)
{
    const flow_id flow{sourceOf(wanted), trafficAddress(wanted.traffic)};
    caller_flow &state = m_flows[flow];
    state.current = wanted;
    ++state.current.attempts;
    state.requestsLeft = requestsLeft;
    m_flowOf[wanted.number] = flow;
    sendOpening(flow, 0);
    m_queue.after(FirstCopy, [this, flow] { sendOpening(flow, 1); });
    m_queue.after(SecondCopy, [this, flow] { sendOpening(flow, 2); });
    m_queue.after(OpeningTime, [this, flow] {
        const auto found = m_flows.find(flow);
        if (found != m_flows.end() && !found->second.opened) {
            onFailure(flow);
        }
    });
}

caller_packet emulated_callers::packetOf(const flow_id &flow, const caller_flow &state) const
{
    caller_packet packet;
    packet.header.flow = flow;
    packet.header.token = state.token;
    packet.header.acknowledged = state.answered;
    packet.header.acknowledges = true;
    packet.chosen = state.chosen;
    packet.attempt = state.attempt;
    packet.requestEnd = state.requestEnd;
    packet.sentAt = m_queue.now();
    return packet;
}

void emulated_callers::sendOpening(const flow_id &flow, std::uint32_t copy)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.opened) {
        return;
    }
    caller_packet packet = packetOf(flow, found->second);
    packet.header.opens = true;
    packet.header.acknowledges = false;
    packet.header.acknowledged = copy;
    m_port.sendPacket(packet, found->second.current.failureDomain);
}

void emulated_callers::sendControl(const flow_id &flow, const caller_flow &state, bool finishes)
{
    caller_packet packet = packetOf(flow, state);
    packet.header.sequence = state.sentUpTo;
    packet.header.finishes = finishes;
    m_port.sendPacket(packet, state.current.failureDomain);
}

void emulated_callers::beginRequest(const flow_id &flow, caller_flow &state)
{
    state.attempt = {state.current.number * AttemptsPerRequest + state.current.attempts};
    state.waiting = true;
    state.requestStart = state.requestEnd;
    state.requestEnd += std::max(1U, kindOf(state.current.traffic).requestBytes);
    --state.requestsLeft;
    sendWindow(flow, state, false);
    armRepeat(flow, state, FirstRepeat);
}

void emulated_callers::sendWindow(const flow_id &flow, caller_flow &state, bool again)
{
    if (again) {
        state.sentUpTo = state.acknowledgedByServer;
    }
    while (state.sentUpTo < state.requestEnd
           && state.sentUpTo - state.acknowledgedByServer < WindowPackets * PacketBytes) {
        caller_packet packet = packetOf(flow, state);
        packet.header.sequence = state.sentUpTo;
        packet.header.dataLength = static_cast<std::uint16_t>(
                std::min(PacketBytes, state.requestEnd - state.sentUpTo));
        state.sentUpTo += packet.header.dataLength;
        m_port.sendPacket(packet, state.current.failureDomain);
    }
}

void emulated_callers::armRepeat(const flow_id &flow, caller_flow &state, duration pause)
{
    state.timer = ++m_nextTimer;
    m_queue.after(pause, [this, flow, pause, timer = state.timer] {
        const auto found = m_flows.find(flow);
        if (found == m_flows.end() || found->second.timer != timer || !found->second.waiting) {
            return;
        }
        caller_flow &waiting = found->second;
        if (waiting.acknowledgedByServer >= waiting.requestEnd) {
            // The server has all of it and works.
            return;
        }
        sendWindow(flow, waiting, true);
        armRepeat(flow, waiting, std::min(LongestRepeat, pause * 2));
    });
}

void emulated_callers::onPacket(const server_packet &packet)
{
    const auto found = m_flows.find(packet.flow);
    if (found == m_flows.end()) {
        return;
    }
    caller_flow &state = found->second;
    if (packet.what == server_packet::content::Accepted) {
        onAccepted(packet.flow, state, packet);
        return;
    }
    if (!state.opened || packet.server != state.chosen) {
        if (packet.what == server_packet::content::Reset) {
            onReset(packet.flow);
        }
        return;
    }
    switch (packet.what) {
    case server_packet::content::Received:
        state.token = packet.token;
        if (packet.acknowledged > state.acknowledgedByServer) {
            state.acknowledgedByServer = packet.acknowledged;
            sendWindow(packet.flow, state, false);
            armRepeat(packet.flow, state, FirstRepeat);
        }
        return;
    case server_packet::content::Answer:
        onAnswer(packet.flow, state, packet);
        return;
    case server_packet::content::NotRun:
        if (state.waiting && packet.attempt == state.attempt) {
            // Any request may be repeated that has not run.
            state.opened = false;
            sendControl(packet.flow, state, true);
            onFailure(packet.flow);
        }
        return;
    case server_packet::content::Reset:
        onReset(packet.flow);
        return;
    case server_packet::content::Accepted:
        return;
    }
}

void emulated_callers::onAccepted(const flow_id &flow, caller_flow &state,
                                  const server_packet &packet)
{
    if (state.opened) {
        return;
    }
    state.opened = true;
    state.chosen = packet.server;
    state.token = packet.token;
    beginRequest(flow, state);
}

void emulated_callers::onAnswer(const flow_id &flow, caller_flow &state,
                                const server_packet &packet)
{
    if (!state.waiting || packet.attempt != state.attempt) {
        return;
    }
    state.token = packet.token;
    state.waiting = false;
    state.acknowledgedByServer = state.requestEnd;
    state.answered += AnswerBytes;
    const request finished = state.current;
    const bool isLate = m_queue.now() - finished.startedAt > kindOf(finished.traffic).goal;
    const bool ends = packet.closes || state.requestsLeft == 0 || m_queue.now() >= m_end;
    sendControl(flow, state, ends);
    end(finished, isLate ? request_outcome::Late : request_outcome::InGoal);
    if (!ends) {
        state.current.number = 0;
        m_queue.after(kindOf(finished.traffic).pause, [this, flow] {
            const auto found = m_flows.find(flow);
            if (found == m_flows.end()) {
                return;
            }
            caller_flow &next = found->second;
            const std::uint64_t caller = next.current.caller;
            next.current = newRequest(next.current.traffic, next.current.failureDomain);
            next.current.caller = caller;
            next.current.attempts = 1;
            m_flowOf[next.current.number] = flow;
            beginRequest(flow, next);
        });
        return;
    }
    m_flows.erase(flow);
}

void emulated_callers::onReset(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        return;
    }
    if (found->second.opened && !found->second.waiting) {
        // Between two requests; the next one would open a new flow.
        m_flows.erase(found);
        return;
    }
    onFailure(flow);
}

void emulated_callers::onFailure(const flow_id &flow)
{
    const caller_flow failed = m_flows[flow];
    m_flows.erase(flow);
    const traffic_kind &kind = kindOf(failed.current.traffic);
    const bool mayRetry = kind.idempotent || !failed.opened;
    const time_point limit = failed.current.startedAt + kind.timeLimit;
    if (!mayRetry || failed.current.attempts > kind.retries
        || m_queue.now() + RetryPause >= limit) {
        end(failed.current, request_outcome::Failed);
        return;
    }
    m_flowOf.erase(failed.current.number);
    m_queue.after(RetryPause, [this, again = failed.current, left = failed.requestsLeft] {
        open(again, std::max(1U, left));
    });
}

void emulated_callers::onTimeLimit(std::uint64_t number)
{
    const auto found = m_flowOf.find(number);
    if (found == m_flowOf.end()) {
        return;
    }
    const flow_id flow = found->second;
    const caller_flow given = m_flows[flow];
    if (given.opened) {
        sendControl(flow, given, true);
    }
    m_flows.erase(flow);
    end(given.current, request_outcome::Failed);
}

void emulated_callers::end(const request &finished, request_outcome outcome)
{
    m_flowOf.erase(finished.number);
    m_port.onRequestEnd(finished.traffic, finished.failureDomain, finished.startedAt, outcome);
}

} // namespace ebonyway
