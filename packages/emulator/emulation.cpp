#include "emulator/emulation.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Times of the platform's protocol.
constexpr duration RouterPoll = 500ms;
constexpr duration RestartTime = 600ms; // Until the platform starts a process again.
constexpr std::size_t SeedInstances = 3;

// After the load has ended, the last requests finish.
constexpr duration Ending = 5s;

constexpr std::uint32_t ServerNetwork = 0x0a800000; // 10.128.0.0
constexpr std::uint16_t ServerPort = 8'080;
constexpr std::chrono::milliseconds IdleTimeout{15'000};

const place CallersPlace{place_kind::Callers, 0, ""};

} // namespace

emulation::emulation(const scenario &plan, emulation_options options)
    : m_plan(plan)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_callerRandom(m_options.seed + 1)
    , m_network(m_queue, m_random, {})
    , m_store(m_queue, m_network)
    , m_monitor(plan, m_queue.clock())
    , m_router(plan.hash)
    , m_callers(plan, m_queue, m_callerRandom, *this)
{ }

emulation::~emulation() = default;

emulation_report emulation::run()
{
    writeDesiredState();
    startServers();
    std::uint64_t id = 0;
    for (std::uint32_t i = 0; i < m_plan.instancesPerDomain; ++i) {
        for (const std::string &domain : m_plan.failureDomains) {
            m_router.add(++id, domain);
            startInstance(id);
        }
    }
    m_queue.every(RouterPoll, [this] {
        m_router.poll([this](std::uint64_t instance) { return m_instances[instance]->isReady(); });
        return true;
    });
    m_queue.runUntil(m_queue.now() + m_plan.settle);
    m_loadStart = m_queue.now();
    for (const scenario_event &event : m_plan.events) {
        schedule(event);
    }
    m_callers.start(m_loadStart + m_plan.length);
    m_queue.runUntil(m_loadStart + m_plan.length + Ending);
    judgeRecovery();
    m_report.storeCalls = m_store.callCount();
    m_report.broken = m_monitor.broken();
    return m_report;
}

void emulation::writeDesiredState()
{
    desired_state state;
    state.version = ++m_desiredVersion;
    state.idleTimeout = IdleTimeout;
    for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
        if (m_withdrawnTraffic.contains(i)) {
            continue;
        }
        const traffic_kind &kind = m_plan.traffic[i];
        route to;
        to.name = kind.name;
        to.address = trafficAddress(i);
        to.shares = {{kind.service, 1}};
        to.priority = kind.priority;
        to.idempotent = kind.idempotent;
        to.goal = kind.goal;
        to.timeout = kind.timeLimit;
        state.routes.push_back(to);
    }
    for (const scenario_service &service : m_plan.services) {
        state.services.push_back({service.name, service.maxConnections, service.coldTime,
                                  static_cast<double>(service.coldRate)});
    }
    m_store.put(store_kind::DesiredState, "main", state);
}

void emulation::startServers()
{
    for (const scenario_service &service : m_plan.services) {
        for (std::uint32_t i = 0; i < service.servers; ++i) {
            addServer(service, m_plan.failureDomains[i % m_plan.failureDomains.size()], false);
        }
    }
}

server_key emulation::addServer(const scenario_service &service, const std::string &failureDomain,
                                bool cold, std::optional<endpoint> address)
{
    const std::uint64_t number = m_nextServer++;
    registered_server entry;
    entry.key = server_key{number};
    entry.service = service.name;
    entry.address = address.value_or(endpoint{
            ip_address::fromV4(ServerNetwork + static_cast<std::uint32_t>(number)), ServerPort});
    entry.failureDomain = failureDomain;
    entry.slots = service.slots;
    entry.startedAt = std::chrono::milliseconds(number);
    work_times work{service.work, {}, service.workSpread};
    for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
        const traffic_kind &kind = m_plan.traffic[i];
        if (kind.service == service.name && kind.work > kind.work.zero()) {
            work.byAddress[trafficAddress(i)] = kind.work;
        }
    }
    // Seeded apart from m_random, so that varying work times change no other draw.
    const std::uint64_t workSeed = seeded_random(m_options.seed ^ (number << 32U)).next();
    m_servers.emplace(entry.key, emulated_server(entry, std::move(work), workSeed));
    if (cold) {
        makeCold(entry.key);
        entry.coldRemaining = service.coldTime;
    }
    m_serverAt[entry.address] = entry.key;
    m_store.put(store_kind::BackendServers, storeName(entry.key), entry);
    return entry.key;
}

void emulation::startInstance(std::uint64_t id)
{
    const std::string &domain = m_plan.failureDomains[(id - 1) % m_plan.failureDomains.size()];
    instance_port &port = *this;
    m_processes.push_back(std::make_unique<emulated_instance>(
            place{place_kind::Instance, id, domain}, ++m_boots[id], m_random.next(), m_queue,
            m_store, port, m_options.log, m_options.omitted));
    m_instances[id] = m_processes.back().get();
    std::vector<endpoint> seeds;
    for (std::uint64_t seed = 1; seed <= SeedInstances; ++seed) {
        seeds.push_back(emulated_instance::addressOf(seed));
    }
    m_instances[id]->start(seeds);
}

emulated_instance *emulation::instanceAt(const endpoint &address)
{
    for (const auto &[id, instance] : m_instances) {
        if (instance->address() == address && instance->isAlive()) {
            return instance;
        }
    }
    return nullptr;
}

place emulation::placeOf(server_key key) const
{
    return {place_kind::Server, key.value, m_servers.at(key).entry().failureDomain};
}

void emulation::sendPacket(const caller_packet &packet, const std::string &failureDomain)
{
    const auto id = m_router.choose(packet.header.flow, failureDomain);
    if (!id) {
        return;
    }
    emulated_instance *instance = m_instances[*id];
    m_network.send(CallersPlace, instance->where(),
                   [instance, packet] { instance->onPacket(packet); });
}

void emulation::sendToServer(const place &from, const forward_packet &target,
                             const caller_packet &packet)
{
    const auto found = m_serverAt.find(target.address);
    if (found == m_serverAt.end()) {
        return;
    }
    caller_packet carried = packet;
    carried.header.token = target.token;
    m_network.send(from, placeOf(found->second), [this, carried, target, instance = from.id] {
        const auto server = m_serverAt.find(target.address);
        const bool isMeant = server != m_serverAt.end()
                             && (server->second == target.server
                                 || m_options.omitted.contains(omitted_mechanism::ServerCheck));
        if (isMeant) {
            onServerPacket(server->second, carried, instance);
        }
    });
}

void emulation::onServerPacket(server_key key, const caller_packet &packet, std::uint64_t instance)
{
    emulated_server &server = m_servers.at(key);
    if (packet.header.opens) {
        m_monitor.onOpeningArrived(packet, server.entry(), instance);
    } else {
        const auto holder = m_servers.find(packet.chosen);
        const bool isHeld = holder != m_servers.end() && holder->second.serves()
                            && holder->second.holds(packet.header.flow);
        m_monitor.onPacketArrived(packet, key, isHeld, instance);
    }
    const server_reaction reaction = server.onPacket(packet);
    m_report.ignoredOpenings += reaction.ignored ? 1 : 0;
    m_report.rejectedByServers += reaction.rejected ? 1 : 0;
    if (reaction.opened) {
        m_holder[packet.header.flow] = key;
        m_monitor.onOpened(packet, server.entry(), server.isCold(m_queue.now()));
    }
    if (reaction.began) {
        for (std::size_t i = 0; i < m_plan.traffic.size(); ++i) {
            const bool runsOnce = trafficAddress(i) == packet.header.flow.service
                                  && !m_plan.traffic[i].idempotent;
            if (runsOnce && !m_begunOnce.insert(requestOf(*reaction.began)).second) {
                ++m_report.requestsRunTwice;
            }
        }
    }
    for (const server_packet &answer : reaction.packets) {
        sendToCaller(answer);
    }
    runServer(key);
}

void emulation::runServer(server_key key)
{
    for (const started_work &work : m_servers.at(key).startWork(m_queue.now())) {
        m_queue.after(work.length,
                      [this, key, answer = work.answer, life = m_servers.at(key).life()] {
                          emulated_server &server = m_servers.at(key);
                          if (server.life() != life) {
                              return;
                          }
                          if (const auto finished = server.finishWork(answer)) {
                              sendToCaller(*finished);
                          }
                          runServer(key);
                      });
    }
}

void emulation::sendToCaller(const server_packet &packet)
{
    m_network.send(placeOf(packet.server), CallersPlace, [this, packet] {
        server_key holder;
        if (packet.what == server_packet::content::Reset && isServed(packet.flow, &holder)
            && holder != packet.server) {
            m_monitor.onResetOfServedFlow(packet.flow, holder, 0, forwarding_refusal::UnknownToken);
        }
        m_callers.onPacket(packet);
    });
}

bool emulation::isServed(const flow_id &flow, server_key *holder) const
{
    const auto found = m_holder.find(flow);
    if (found == m_holder.end()) {
        return false;
    }
    *holder = found->second;
    const emulated_server &server = m_servers.at(found->second);
    return server.serves() && server.holds(flow);
}

void emulation::sendReset(const place &from, const caller_packet &packet, forwarding_refusal reason)
{
    ++m_report.resets;
    m_report.loadShed += reason == forwarding_refusal::LoadShed ? 1 : 0;
    m_network.send(from, CallersPlace, [this, packet, reason, instance = from.id] {
        const flow_id &flow = packet.header.flow;
        server_key holder;
        if (isServed(flow, &holder)) {
            m_monitor.onResetOfServedFlow(flow, holder, instance, reason);
        }
        if (reason == forwarding_refusal::NoRoute) {
            m_monitor.onRouteRefused(flow, packet.sentAt, instance);
        }
        m_callers.onReset(flow);
    });
}

void emulation::sendHeartbeat(const place &from, const endpoint &to, const peer_message &message)
{
    emulated_instance *target = instanceAt(to);
    if (!target) {
        return;
    }
    ++m_report.peerMessages;
    m_network.send(from, target->where(), [target, message] { target->onPeerMessage(message); });
}

void emulation::pullKnowledge(const place &from, const endpoint &to, const known_positions &since)
{
    emulated_instance *source = instanceAt(to);
    if (!source) {
        return;
    }
    m_network.send(from, source->where(), [this, from, to, since, source] {
        const auto known = source->pass(since);
        if (!known) {
            return;
        }
        m_network.send(source->where(), from,
                       [this, from, to, known] { m_instances[from.id]->onKnowledge(to, *known); });
    });
}

void emulation::onRequestEnd(std::size_t traffic, const std::string &failureDomain,
                             time_point startedAt, request_outcome outcome)
{
    const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(startedAt - m_loadStart).count();
    const std::string &kind = m_plan.traffic[traffic].name;
    if (outcome != request_outcome::Failed) {
        const duration wait = m_queue.now() - startedAt;
        m_report.waitsByTraffic[kind].add(wait);
        m_report.waitsByDomain[failureDomain].add(wait);
    }
    for (outcome_counts *counts : {&m_report.all, &m_report.byTraffic[kind],
                                   &m_report.byDomain[failureDomain], &m_report.bySecond[second]}) {
        switch (outcome) {
        case request_outcome::InGoal:
            ++counts->inGoal;
            break;
        case request_outcome::Late:
            ++counts->late;
            break;
        case request_outcome::Failed:
            ++counts->failed;
            break;
        }
    }
}

void emulation::judgeRecovery()
{
    if (!m_allKilledAt) {
        return;
    }
    outcome_counts before;
    outcome_counts after;
    const duration killed = *m_allKilledAt - m_loadStart;
    for (const auto &[second, counts] : m_report.bySecond) {
        const duration sent = std::chrono::seconds(second);
        outcome_counts *part = nullptr;
        if (sent + 1s <= killed) {
            part = &before;
        } else if (sent >= killed + RestartTime + m_plan.bounds.recovery) {
            part = &after;
        }
        if (!part) {
            continue;
        }
        part->inGoal += counts.inGoal;
        part->late += counts.late;
        part->failed += counts.failed;
    }
    m_monitor.onRecovery(before.servedShare(), after.servedShare());
}

} // namespace ebonyway
