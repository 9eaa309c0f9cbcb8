#include "engine_driver.h"

#include "baseline_strategies.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

const std::vector<std::byte> DeploymentKey(16, std::byte{7});
constexpr duration TickInterval = 100ms;
constexpr duration HeartbeatInterval = 500ms;
constexpr duration SuspectAfter = 1500ms;
constexpr duration DeadAfter = 4s;
/** Time until a new flow is copied: copy interval, tick, and two packets of the flow. */
constexpr duration MaxCopyDelay = 700ms;

service makeService(std::uint16_t id, transport_protocol protocol, std::chrono::seconds idle)
{
    service made;
    made.id = service_id{id};
    made.name = "service" + std::to_string(id);
    made.addresses = {ip_address::fromV4(0xc0000200U + id)};
    made.protocol = protocol;
    made.port = 80;
    made.idleTimeout = idle;
    return made;
}

} // namespace

engine_driver::engine_driver(const driver_options &options)
    : packetLoss(options.packetLoss)
    , m_options(options)
    , m_random(options.seed)
    , m_hash(DeploymentKey)
{
    intent first;
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(options.idleTimeout);
    first.services = {makeService(0, transport_protocol::Tcp, idle),
                      makeService(1, transport_protocol::Udp, idle)};
    first.nextServiceId = 2;
    for (std::uint16_t id = 0; id < options.domains; ++id) {
        first.failureDomains.push_back({failure_domain_id{id}, "d" + std::to_string(id), true});
    }
    first.nextFailureDomainId = static_cast<std::uint16_t>(options.domains);
    for (std::uint16_t id = 0; id < options.servers + 4; ++id) {
        backend_server server;
        server.id = backend_server_id{id};
        server.service = service_id{static_cast<std::uint16_t>(id < options.servers ? 0 : 1)};
        server.failureDomain = failure_domain_id{static_cast<std::uint16_t>(id % options.domains)};
        first.backendServers.push_back(server);
    }
    first.nextBackendServerId = static_cast<std::uint16_t>(options.servers + 4);
    first.number = note_number{1};
    m_plan = std::make_shared<const route_plan>(route_plan{}, first);
    for (std::uint16_t index = 0; index < options.instances; ++index) {
        addInstance(failure_domain_id{static_cast<std::uint16_t>(index % options.domains)},
                    member_state::Ready);
    }
    for (instance &each : m_instances) {
        each.strategy->adoptPlan(m_plan, m_now);
        each.note = note_number{1};
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            each.peers[other] = {
                    m_now, note_number{1}, member_state::Ready, member_state::Ready, m_now, true};
        }
    }
    run(4s);
    counts = {};
}

void engine_driver::addInstance(failure_domain_id domain, member_state state)
{
    instance added;
    const std::size_t index = m_instances.size();
    added.id = instance_id{static_cast<std::uint32_t>(index + 1)};
    added.domain = domain;
    added.state = state;
    switch (m_options.strategy) {
    case strategy_kind::Engine: {
        flow_engine_options options;
        options.self = added.id;
        options.session = ++m_session;
        options.deploymentKey = DeploymentKey;
        options.establishedCapacity = m_options.establishedCapacity;
        options.probationCapacity = m_options.probationCapacity;
        options.udpSeenCapacity = 8192;
        options.placement = m_options.placement;
        auto made = std::make_unique<flow_engine>(options, admission);
        added.engine = made.get();
        added.strategy = std::move(made);
        break;
    }
    case strategy_kind::Table:
        added.strategy = std::make_unique<table_strategy>(m_hash);
        break;
    case strategy_kind::FlowTable:
        added.strategy = std::make_unique<flow_table_strategy>(m_hash);
        break;
    }
    m_instances.push_back(std::move(added));
    at(duration{static_cast<std::int64_t>(m_random.below(100'000'000))},
       [this, index] { tick(index); });
    at(duration{static_cast<std::int64_t>(m_random.below(400'000'000))},
       [this, index] { sendHeartbeats(index); });
}

void engine_driver::at(duration delay, std::function<void()> action)
{
    m_events.push({m_now + delay, ++m_order, std::move(action)});
}

void engine_driver::run(duration length)
{
    const time_point end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

duration engine_driver::latency()
{
    return 1ms
           + std::chrono::duration_cast<duration>(
                   std::chrono::duration<double, std::milli>(m_random.exponential(0.5)));
}

bool engine_driver::isCutBetween(failure_domain_id left, failure_domain_id right) const
{
    return left != right && (m_cut.contains(left) || m_cut.contains(right));
}

void engine_driver::deliverToInstance(std::size_t index, std::function<void()> action)
{
    at(latency(), [this, index, action = std::move(action)] {
        instance &target = m_instances[index];
        if (!target.running) {
            return;
        }
        if (target.frozen) {
            target.inbox.push_back(action);
            return;
        }
        action();
    });
}

void engine_driver::tick(std::size_t index)
{
    instance &self = m_instances[index];
    if (!self.running) {
        return;
    }
    at(TickInterval, [this, index] { tick(index); });
    if (self.frozen) {
        return;
    }
    self.strategy->updateCluster(viewOf(index), m_now);
    if (self.engine == nullptr) {
        return;
    }
    self.engine->onTick(m_now);
    sendMessages(index);
    if (self.state == member_state::Joining && self.engine->readyToJoin()) {
        self.state = member_state::Ready;
    }
    if (self.state == member_state::Leaving && self.engine->readyToLeave(m_now)) {
        self.running = false;
    }
}

void engine_driver::sendHeartbeats(std::size_t index)
{
    instance &self = m_instances[index];
    if (!self.running) {
        return;
    }
    at(HeartbeatInterval, [this, index] { sendHeartbeats(index); });
    if (self.frozen) {
        return;
    }
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        const bool lost = m_random.unit() < m_options.messageLoss;
        if (other == index || lost || isCutBetween(self.domain, m_instances[other].domain)) {
            continue;
        }
        deliverToInstance(other, [this, other, index, note = self.note, state = self.state] {
            peer_knowledge &known = m_instances[other].peers[index];
            if (known.known && known.seenAs == member_state::Dead && state != member_state::Joining
                && state != member_state::Leaving) {
                // The sender has been declared dead and must join again.
                deliverToInstance(index, [this, index] {
                    m_instances[index].state = member_state::Joining;
                    m_instances[index].strategy->updateCluster(viewOf(index), m_now);
                });
                return;
            }
            if (!known.known || known.state != state) {
                known.stateSince = m_now;
            }
            known.known = true;
            known.lastHeard = m_now;
            known.note = std::max(known.note, note);
            known.state = state;
        });
    }
}

cluster_view engine_driver::viewOf(std::size_t index)
{
    instance &self = m_instances[index];
    cluster_view view;
    view.self = self.id;
    std::map<failure_domain_id, std::pair<int, int>> silentPerDomain;
    for (auto &[other, known] : self.peers) {
        if (other == index || !known.known || known.seenAs == member_state::Dead
            || known.state == member_state::Leaving) {
            continue;
        }
        auto &[silent, all] = silentPerDomain[m_instances[other].domain];
        silent += m_now - known.lastHeard > SuspectAfter ? 1 : 0;
        ++all;
    }
    for (const auto &[domain, silent] : silentPerDomain) {
        if (silent.first == silent.second && domain != self.domain) {
            view.suspectedPartitions.push_back(domain);
            self.cutOffAt[domain] = m_now;
        }
    }
    for (auto &[other, known] : self.peers) {
        member each{m_instances[other].id, m_instances[other].domain, known.state, known.note,
                    known.lastHeard,       known.stateSince};
        if (other == index) {
            each.state = self.state;
            each.adoptedNote = self.note;
            each.lastHeard = m_now;
        } else if (!known.known) {
            continue;
        } else {
            const bool suspected =
                    std::find(view.suspectedPartitions.begin(), view.suspectedPartitions.end(),
                              m_instances[other].domain)
                    != view.suspectedPartitions.end();
            const duration silence = m_now - known.lastHeard;
            const duration sinceCut = m_now - self.cutOffAt[m_instances[other].domain];
            const bool graceOver = suspected || sinceCut > DeadAfter;
            if (silence > (suspected ? m_options.partitionDeadAfter : DeadAfter) && graceOver) {
                each.state = member_state::Dead;
            } else if (silence > SuspectAfter && known.state == member_state::Ready) {
                each.state = member_state::Suspect;
            }
        }
        if (each.state != known.seenAs) {
            known.seenAs = each.state;
            known.stateSince = m_now;
        }
        each.stateSince = known.stateSince;
        view.members.push_back(each);
    }
    return view;
}

void engine_driver::sendMessages(std::size_t index)
{
    instance &self = m_instances[index];
    for (outgoing_message &message : self.engine->takeMessages(m_now)) {
        counts.messageBytes += message.bytes.size();
        ++counts.messages;
        const std::size_t other = message.to.value - 1;
        const bool lost = m_random.unit() < m_options.messageLoss;
        if (lost || isCutBetween(self.domain, m_instances[other].domain)) {
            continue;
        }
        deliverToInstance(other, [this, other, from = self.id, bytes = std::move(message.bytes)] {
            m_instances[other].engine->onMessage(from, bytes, m_now);
            sendMessages(other);
        });
    }
}

std::optional<std::size_t> engine_driver::sprayTarget()
{
    std::vector<std::size_t> live;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        const instance &each = m_instances[index];
        const bool detected = each.frozen && m_now - each.frozenSince > 1s;
        const bool joined = each.state != member_state::Joining || each.engine->isSynchronised();
        const bool reached = !callersReachOnly || *callersReachOnly == each.domain;
        if (each.running && !detected && joined && reached) {
            live.push_back(index);
        }
    }
    if (live.empty()) {
        return std::nullopt;
    }
    return live[m_random.below(live.size())];
}

std::size_t engine_driver::startFlow(service_id service, int requests, duration gap)
{
    caller_flow flow;
    flow.service = service;
    ++m_nextPort;
    flow.key.caller = ip_address::fromV4(0x0a000000U + m_nextPort / 60'000);
    flow.key.callerPort = static_cast<std::uint16_t>(1024 + m_nextPort % 60'000);
    flow.key.service = m_plan->currentIntent().services[service.value].addresses[0];
    flow.key.servicePort = 80;
    flow.key.protocol = m_plan->currentIntent().services[service.value].protocol;
    flow.requests = requests;
    flow.gap = gap;
    flow.startedAt = m_now;
    m_flows.push_back(flow);
    const std::size_t index = m_flows.size() - 1;
    ++counts.started;
    if (flow.key.protocol == transport_protocol::Tcp) {
        sendSyn(index, 0);
    } else {
        m_flows[index].state = flow_state::Established;
        sendRequest(index, 1, 0);
    }
    return index;
}

void engine_driver::startFlows(double rate, duration length, int requests, duration gap,
                               service_id service)
{
    const time_point end = m_now + length;
    const auto step = std::make_shared<std::function<void()>>();
    *step = [=, this, weak = std::weak_ptr(step)] {
        if (m_now >= end) {
            return;
        }
        startFlow(service, requests, gap);
        at(std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(m_random.exponential(1.0 / rate))),
           [again = weak.lock()] { (*again)(); });
    };
    at(0ms, [step] { (*step)(); });
}

void engine_driver::flood(double rate, duration length, packet_kind kind, service_id service)
{
    const auto count = static_cast<int>(rate * std::chrono::duration<double>(length).count());
    const duration gap = length / count;
    for (int index = 0; index < count; ++index) {
        at(gap * index, [this, kind, service] {
            caller_flow flow;
            flow.service = service;
            flow.spoofed = true;
            flow.key.caller = ip_address::fromV4(static_cast<std::uint32_t>(m_random.next()));
            flow.key.callerPort = static_cast<std::uint16_t>(m_random.next());
            flow.key.service = m_plan->currentIntent().services[service.value].addresses[0];
            flow.key.servicePort = 80;
            flow.key.protocol = m_plan->currentIntent().services[service.value].protocol;
            m_flows.push_back(flow);
            inject(m_flows.size() - 1, kind, 1);
        });
    }
}

void engine_driver::sendSyn(std::size_t flow, int attempt)
{
    constexpr int Attempts = 5;
    if (m_flows[flow].state != flow_state::SynSent) {
        return;
    }
    if (attempt == Attempts) {
        m_flows[flow].state = flow_state::Ended;
        ++counts.unanswered;
        return;
    }
    inject(flow, packet_kind::TcpSyn, 0);
    at(1s * (1 << attempt), [this, flow, attempt] { sendSyn(flow, attempt + 1); });
}

void engine_driver::sendRequest(std::size_t flow, int sequence, int attempt)
{
    constexpr int Attempts = 9;
    caller_flow &sender = m_flows[flow];
    if (sender.state != flow_state::Established || sender.acknowledged >= sequence) {
        return;
    }
    const bool udp = sender.key.protocol == transport_protocol::Udp;
    if (attempt == Attempts) {
        sender.state = flow_state::Ended;
        ++counts.stalled;
        return;
    }
    sender.sequence = sequence;
    const bool last = sequence > sender.requests;
    if (udp) {
        if (last) {
            sender.state = flow_state::Ended;
            ++counts.finished;
            return;
        }
        inject(flow, packet_kind::Udp, sequence);
        at(sender.gap, [this, flow, sequence] { sendRequest(flow, sequence + 1, 0); });
        return;
    }
    inject(flow, last ? packet_kind::TcpFin : packet_kind::TcpMidFlow, sequence);
    at(200ms * (1 << attempt),
       [this, flow, sequence, attempt] { sendRequest(flow, sequence, attempt + 1); });
}

void engine_driver::inject(std::size_t flow, packet_kind kind, int sequence)
{
    const std::optional<std::size_t> index = sprayTarget();
    if (!index || m_random.unit() < packetLoss) {
        return;
    }
    deliverToInstance(*index, [=, this] { routeAt(*index, flow, kind, sequence, {}); });
}

void engine_driver::routeAt(std::size_t index, std::size_t flow, packet_kind kind, int sequence,
                            packet_origin origin)
{
    instance &self = m_instances[index];
    const packet_view packet{m_flows[flow].key, kind, {}};
    const route_decision decision = self.strategy->route(packet, origin, m_now);
    if (const auto *forward = std::get_if<forward_action>(&decision)) {
        ++counts.forwarded;
        const backend_server *server =
                findBackendServer(m_plan->currentIntent(), forward->backendServer);
        if (server == nullptr || isCutBetween(self.domain, server->failureDomain)) {
            return;
        }
        at(latency(),
           [=, this, to = forward->backendServer] { onServerPacket(to, flow, kind, sequence); });
    } else if (const auto *relay = std::get_if<relay_action>(&decision)) {
        ++counts.relayed;
        const std::size_t peer = relay->peer.value - 1;
        if (isCutBetween(self.domain, m_instances[peer].domain)) {
            return;
        }
        const packet_origin next{relay->hops, self.id};
        deliverToInstance(peer, [=, this] { routeAt(peer, flow, kind, sequence, next); });
    } else if (const auto *refuse = std::get_if<refuse_action>(&decision)) {
        onRefused(flow, refuse->reason);
    } else {
        ++counts.drops[std::get<drop_action>(decision).reason];
    }
}

bool engine_driver::isInService(backend_server_id server) const
{
    const backend_server *known = findBackendServer(m_plan->currentIntent(), server);
    return known != nullptr && acceptsPackets(m_plan->currentIntent(), *known);
}

void engine_driver::onRefused(std::size_t index, refusal_reason reason)
{
    caller_flow &flow = m_flows[index];
    if (flow.spoofed || flow.state == flow_state::Ended) {
        return;
    }
    if (reason == refusal_reason::Overloaded) {
        ++counts.refused;
        counts.refusedButSeen += flow.reachedServers.empty() ? 0 : 1;
    } else {
        flow.server ? onReset(flow) : static_cast<void>(++counts.givenUp);
    }
    flow.state = flow_state::Ended;
}

void engine_driver::checkServerPacket(backend_server_id server, const caller_flow &flow,
                                      packet_kind kind)
{
    const backend_server *known = findBackendServer(m_plan->currentIntent(), server);
    counts.wrongService += known == nullptr || known->service != flow.service ? 1 : 0;
    if (known == nullptr) {
        return;
    }
    const auto out = m_outOfServiceSince.find(known->failureDomain);
    counts.latePackets += out != m_outOfServiceSince.end() && m_now - out->second > 3s ? 1 : 0;
    const server_state &state = m_servers[server];
    const bool first = flow.reachedServers.empty();
    const bool opens = kind == packet_kind::TcpSyn || kind == packet_kind::Udp;
    if (first && opens && state.drainingSince && m_now - *state.drainingSince > 3s) {
        ++counts.lateNewFlows;
    }
    // A second SYN may go to another server once the first one's domain is out of service.
    const bool elsewhere =
            flow.server ? *flow.server != server
                        : std::any_of(flow.reachedServers.begin(), flow.reachedServers.end(),
                                      [&](backend_server_id other) {
                                          return other != server && isInService(other);
                                      });
    if (elsewhere && flow.state != flow_state::Ended && !mayBeUncopied(flow)) {
        ++(flow.server ? counts.secondServer : counts.secondSyn);
    }
}

void engine_driver::onServerPacket(backend_server_id server, std::size_t index, packet_kind kind,
                                   int sequence)
{
    caller_flow &flow = m_flows[index];
    checkServerPacket(server, flow, kind);
    flow.reachedServers.insert(server);
    server_state &state = m_servers[server];
    const auto connection = state.connections.find(index);
    if (kind == packet_kind::TcpSyn) {
        if (connection == state.connections.end()) {
            state.connections[index] = 0;
        }
        at(synAnswerDelay, [=, this] { answer(server, index, packet_kind::TcpSyn, 0); });
        return;
    }
    if (kind == packet_kind::Udp) {
        if (!flow.server) {
            flow.server = server;
        } else if (*flow.server != server && flow.state == flow_state::Established
                   && isInService(*flow.server)) {
            ++counts.broken;
            flow.state = flow_state::Ended;
        }
        counts.repeatedRuns += ++m_runs[{index, sequence}] > 1 ? 1 : 0;
        return;
    }
    if (connection == state.connections.end()) {
        answer(server, index, packet_kind::TcpRst, sequence);
        return;
    }
    if (sequence > connection->second) {
        connection->second = sequence;
        counts.repeatedRuns += ++m_runs[{index, sequence}] > 1 ? 1 : 0;
    }
    answer(server, index, packet_kind::TcpMidFlow, sequence);
}

void engine_driver::answer(backend_server_id server, std::size_t flow, packet_kind kind,
                           int sequence)
{
    const std::optional<std::size_t> index = sprayTarget();
    const backend_server *known = findBackendServer(m_plan->currentIntent(), server);
    if (!index || known == nullptr || m_random.unit() < packetLoss
        || isCutBetween(m_instances[*index].domain, known->failureDomain)) {
        return;
    }
    deliverToInstance(*index,
                      [=, this] { routeAnswerAt(*index, server, flow, kind, sequence, {}); });
    if (m_options.crossedAnswers > 0 && m_random.unit() < m_options.crossedAnswers) {
        answerCrossed(server, flow, kind, sequence);
    }
}

void engine_driver::answerCrossed(backend_server_id server, std::size_t flow, packet_kind kind,
                                  int sequence)
{
    const std::optional<std::size_t> index = sprayTarget();
    const service_id service = m_flows[flow].service;
    for (const backend_server &other : m_plan->currentIntent().backendServers) {
        if (!index || other.service != service || other.id == server
            || m_flows[flow].reachedServers.contains(other.id)) {
            continue;
        }
        ++counts.crossedSent;
        const backend_server_id sender = other.id;
        deliverToInstance(*index,
                          [=, this] { routeAnswerAt(*index, sender, flow, kind, sequence, {}); });
        return;
    }
}

void engine_driver::routeAnswerAt(std::size_t index, backend_server_id server, std::size_t flow,
                                  packet_kind kind, int sequence, packet_origin origin)
{
    instance &self = m_instances[index];
    if (self.engine != nullptr) {
        // The engine treats a SYN-ACK like any other answer.
        const packet_kind seen = kind == packet_kind::TcpSyn ? packet_kind::TcpMidFlow : kind;
        const packet_view packet{m_flows[flow].key, seen, {}};
        const answer_decision decision = self.engine->onAnswer(packet, server, m_now, origin);
        if (std::holds_alternative<drop_crossed_action>(decision)) {
            return;
        }
        if (const auto *relay = std::get_if<relay_action>(&decision)) {
            const std::size_t peer = relay->peer.value - 1;
            if (!isCutBetween(self.domain, m_instances[peer].domain)) {
                const packet_origin next{relay->hops, self.id};
                deliverToInstance(peer, [=, this] {
                    routeAnswerAt(peer, server, flow, kind, sequence, next);
                });
            }
            return;
        }
    }
    at(latency(), [=, this] { onCallerPacket(server, flow, kind, sequence); });
}

void engine_driver::onReset(caller_flow &flow)
{
    flow.state = flow_state::Ended;
    if (!isInService(*flow.server) || admission.dead.contains(*flow.server)) {
        ++counts.givenUp;
        return;
    }
    ++(mayBeUncopied(flow) ? counts.lostUncopied : counts.broken);
}

bool engine_driver::mayBeUncopied(const caller_flow &flow) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](time_point crash) {
        return flow.startedAt < crash && crash - flow.startedAt < MaxCopyDelay;
    });
}

void engine_driver::onCallerPacket(backend_server_id server, std::size_t index, packet_kind kind,
                                   int sequence)
{
    caller_flow &flow = m_flows[index];
    if (flow.spoofed || flow.state == flow_state::Ended) {
        return;
    }
    if (!flow.reachedServers.contains(server)) {
        ++counts.crossedAccepted;
        return;
    }
    if (kind == packet_kind::TcpRst) {
        if (flow.state == flow_state::Established) {
            onReset(flow);
        }
        return;
    }
    if (kind == packet_kind::TcpSyn) {
        if (flow.state == flow_state::SynSent) {
            flow.state = flow_state::Established;
            flow.server = server;
            sendRequest(index, 1, 0);
        }
        return;
    }
    if (sequence <= flow.acknowledged) {
        return;
    }
    flow.acknowledged = sequence;
    if (sequence > flow.requests) {
        flow.state = flow_state::Ended;
        ++counts.finished;
        return;
    }
    at(flow.gap, [this, index, sequence] { sendRequest(index, sequence + 1, 0); });
}

intent engine_driver::nextIntent() const
{
    intent next = m_plan->currentIntent();
    ++next.number.value;
    return next;
}

void engine_driver::accept(intent next, duration spread)
{
    m_plan = std::make_shared<const route_plan>(*m_plan, std::move(next));
    for (const backend_server &server : m_plan->currentIntent().backendServers) {
        server_state &state = m_servers[server.id];
        if (!server.draining) {
            state.drainingSince.reset();
        } else if (!state.drainingSince) {
            state.drainingSince = m_now;
        }
    }
    for (const failure_domain &domain : m_plan->currentIntent().failureDomains) {
        if (domain.inService) {
            m_outOfServiceSince.erase(domain.id);
        } else {
            m_outOfServiceSince.try_emplace(domain.id, m_now);
        }
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        const auto delay = duration{static_cast<std::int64_t>(
                m_random.below(static_cast<std::uint64_t>(spread.count()) + 1))};
        at(delay, [this, index, plan = m_plan] {
            deliverToInstance(index, [this, index, plan] {
                m_instances[index].strategy->adoptPlan(plan, m_now);
                m_instances[index].note =
                        std::max(m_instances[index].note, plan->currentIntent().number);
            });
        });
    }
}

void engine_driver::setDraining(backend_server_id server, bool draining)
{
    intent next = nextIntent();
    next.backendServers[server.value].draining = draining;
    accept(std::move(next));
}

void engine_driver::setInService(failure_domain_id domain, bool inService)
{
    intent next = nextIntent();
    next.failureDomains[domain.value].inService = inService;
    accept(std::move(next));
}

void engine_driver::setWeight(backend_server_id server, std::uint32_t weight)
{
    intent next = nextIntent();
    next.backendServers[server.value].weight = weight;
    accept(std::move(next));
}

void engine_driver::addServer(service_id service, failure_domain_id domain)
{
    intent next = nextIntent();
    backend_server server;
    server.id = backend_server_id{next.nextBackendServerId++};
    server.service = service;
    server.failureDomain = domain;
    next.backendServers.push_back(server);
    accept(std::move(next));
}

void engine_driver::crash(std::size_t index)
{
    m_instances[index].running = false;
    m_crashes.push_back(m_now);
}

void engine_driver::freeze(std::size_t index, duration length)
{
    m_instances[index].frozen = true;
    m_instances[index].frozenSince = m_now;
    at(length, [this, index] {
        instance &resumed = m_instances[index];
        resumed.frozen = false;
        for (const std::function<void()> &action : std::exchange(resumed.inbox, {})) {
            action();
        }
    });
}

std::size_t engine_driver::join(failure_domain_id domain)
{
    addInstance(domain, member_state::Joining);
    const std::size_t index = m_instances.size() - 1;
    instance &added = m_instances[index];
    added.note = m_plan->currentIntent().number;
    added.peers[index] = {m_now, added.note, member_state::Joining, member_state::Joining,
                          m_now, true};
    for (std::size_t other = 0; other < index; ++other) {
        // The platform lists the running instances to an instance that starts.
        if (m_instances[other].running) {
            added.peers[other] = {m_now, {},  m_instances[other].state, member_state::Ready,
                                  m_now, true};
        }
    }
    added.strategy->adoptPlan(m_plan, m_now);
    return index;
}

void engine_driver::stop(std::size_t index)
{
    m_instances[index].state = member_state::Leaving;
}

void engine_driver::setCutOff(failure_domain_id domain, bool isCut)
{
    if (isCut) {
        m_cut.insert(domain);
    } else {
        m_cut.erase(domain);
    }
}

std::size_t engine_driver::homeOf(slot_id slot) const
{
    std::vector<home_candidate> candidates;
    for (const instance &each : m_instances) {
        if (each.running) {
            candidates.push_back({each.id, each.domain, candidate_role::Eligible});
        }
    }
    return home_assignment(candidates, m_hash).owners(slot).home->value - 1;
}

std::size_t engine_driver::unsettledSlots()
{
    std::size_t most = 0;
    for (instance &each : m_instances) {
        std::size_t sum = 0;
        if (!each.running) {
            continue;
        }
        for (const service_slot_status &entry : each.engine->slotStatus()) {
            sum += entry.unsettled;
        }
        most = std::max(most, sum);
    }
    return most;
}

std::size_t engine_driver::trackedFlows()
{
    std::size_t sum = 0;
    for (instance &each : m_instances) {
        sum += each.running ? each.engine->trackedFlowCount() : 0;
    }
    return sum;
}

std::size_t engine_driver::openFlowsOn(failure_domain_id domain)
{
    return static_cast<std::size_t>(
            std::count_if(m_flows.begin(), m_flows.end(), [&](const caller_flow &flow) {
                return flow.state == flow_state::Established && flow.server
                       && findBackendServer(m_plan->currentIntent(), *flow.server)->failureDomain
                                  == domain;
            }));
}

} // namespace ebonyway
