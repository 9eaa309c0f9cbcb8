#include "emulator/emulated_instance.h"

#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// As the daemon runs them.
constexpr duration ControlTick = 50ms;
constexpr duration TrafficTick = 20ms;
constexpr duration SlowTrafficTick = 200ms;
constexpr duration PullTimeout = 500ms;

constexpr std::uint32_t InstanceNetwork = 0x0a010000; // 10.1.0.0
constexpr std::uint16_t PeerPort = 7'720;
constexpr std::size_t FlowCapacity = 65'536;

std::uint64_t millisOf(time_point time)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

} // namespace

endpoint emulated_instance::addressOf(std::uint64_t instance)
{
    return {ip_address::fromV4(InstanceNetwork + static_cast<std::uint32_t>(instance)), PeerPort};
}

emulated_instance::emulated_instance(place where, std::uint64_t boot, std::uint64_t seed,
                                     event_queue &queue, emulated_store &store, instance_port &port,
                                     event_log *log, const std::set<omitted_mechanism> &omitted)
    : m_where(std::move(where))
    , m_boot(boot)
    , m_queue(queue)
    , m_store(store)
    , m_port(port)
    , m_omitted(omitted)
    , m_log("instance-" + std::to_string(m_where.id), queue, log)
    , m_control({"instance-" + std::to_string(m_where.id), m_where.failureDomain,
                 addressOf(m_where.id), millisOf(queue.now()), seed, boot == 1},
                {}, *this, m_log)
    , m_forwarder(
              {m_where.failureDomain, seed, FlowCapacity, "instance-" + std::to_string(m_where.id)},
              m_log.observer())
{ }

void emulated_instance::start(const std::vector<endpoint> &seeds)
{
    m_control.start(seeds, m_queue.now());
    m_queue.every(ControlTick, [this] {
        if (m_alive && !m_frozen) {
            m_control.tick(m_queue.now());
        }
        return m_alive;
    });
    m_queue.every(TrafficTick, [this] {
        if (m_alive && !m_frozen) {
            tickTraffic();
        }
        return m_alive;
    });
}

void emulated_instance::freeze(bool frozen)
{
    m_frozen = frozen;
    if (frozen || !m_alive) {
        return;
    }
    m_control.onPause(m_queue.now());
    for (const event_queue::action &what : std::exchange(m_waiting, {})) {
        what();
    }
}

void emulated_instance::whenRunning(event_queue::action what)
{
    if (!m_alive) {
        return;
    }
    if (m_frozen) {
        m_waiting.push_back(std::move(what));
        return;
    }
    what();
}

void emulated_instance::tickTraffic()
{
    const time_point now = m_queue.now();
    for (const further_offer &offer : m_forwarder.offerAgain(now)) {
        const auto packet = m_openingPackets.find(offer.flow);
        if (packet == m_openingPackets.end()) {
            continue;
        }
        m_port.sendToServer(m_where, offer.target, packet->second);
    }
    if (now < m_nextSlowTick) {
        return;
    }
    m_nextSlowTick = now + SlowTrafficTick;
    m_forwarder.tick(now);
    std::erase_if(m_openingPackets,
                  [this](const auto &item) { return !m_forwarder.isOpening(item.first); });
    m_control.setLoads(m_forwarder.loads(now), m_forwarder.demands(), now);
}

void emulated_instance::onPacket(const caller_packet &packet)
{
    whenRunning([this, packet] { handle(packet); });
}

void emulated_instance::handle(const caller_packet &packet)
{
    m_lastPacket = m_queue.now();
    flow_packet header = packet.header;
    if (omits(omitted_mechanism::Token) && !header.opens) {
        // Only an instance that has placed the flow itself knows its server then.
        header.opens = true;
        header.acknowledges = false;
        header.acknowledged = 0;
    }
    const forwarding_decision decision = m_forwarder.decide(header, m_queue.now());
    if (const auto *target = std::get_if<forward_packet>(&decision)) {
        if (packet.header.opens) {
            m_openingPackets[packet.header.flow] = packet;
        }
        m_port.sendToServer(m_where, *target, packet);
        return;
    }
    if (const auto *reset = std::get_if<reset_flow>(&decision)) {
        m_port.sendReset(m_where, packet, reset->reason);
    }
}

void emulated_instance::onPeerMessage(const peer_message &message)
{
    whenRunning([this, message] { m_control.onPeerMessage(message, m_queue.now()); });
}

void emulated_instance::onKnowledge(const endpoint &from, const exported_knowledge &known)
{
    whenRunning([this, from, known] {
        if (std::exchange(m_pullNumber, 0) != 0) {
            m_control.onKnowledge(from, known, m_queue.now());
        }
    });
}

std::optional<exported_knowledge> emulated_instance::pass(const known_positions &since) const
{
    return m_alive && !m_frozen ? m_control.exportKnowledge(m_queue.now(), since) : std::nullopt;
}

void emulated_instance::startStoreCall(const store_call &call)
{
    if (omits(omitted_mechanism::StoreAfterRestart) && m_boot > 1) {
        return;
    }
    m_store.start(m_where, call, [this](store_kind kind, const store_answer &answer) {
        whenRunning([this, kind, answer] {
            m_control.onStoreAnswer(kind, withoutOmitted(kind, answer), m_queue.now());
        });
    });
}

void emulated_instance::cancelStoreCall(store_kind kind)
{
    m_store.cancel(m_where, kind);
}

store_answer emulated_instance::withoutOmitted(store_kind kind, store_answer answer)
{
    if (omits(omitted_mechanism::StoreEra)) {
        setEra(answer, 0);
    }
    auto *page = std::get_if<store_page>(&answer);
    if (!page) {
        return answer;
    }
    if (kind == store_kind::Evacuations && omits(omitted_mechanism::EvacuationNews)) {
        page->objects.clear();
    }
    if (kind == store_kind::DesiredState && omits(omitted_mechanism::DesiredStateNews)) {
        if (m_knowsDesiredState) {
            page->objects.clear();
        }
    }
    if (kind == store_kind::BackendServers && omits(omitted_mechanism::DrainNews)) {
        std::erase_if(page->objects, [](const store_object &object) { return object.deleted; });
        for (store_object &object : page->objects) {
            std::get<registered_server>(*object.value).draining = false;
        }
    }
    return answer;
}

void emulated_instance::sendHeartbeat(const peer_message &message,
                                      std::span<const endpoint> targets)
{
    for (const endpoint &target : targets) {
        m_port.sendHeartbeat(m_where, target, message);
    }
}

void emulated_instance::pullKnowledge(const endpoint &from, const known_positions &since,
                                      time_point)
{
    if (omits(omitted_mechanism::StoreAfterRestart) && m_boot > 1) {
        return;
    }
    m_pullNumber = ++m_pulls;
    m_port.pullKnowledge(m_where, from, since);
    m_queue.after(PullTimeout, [this, from, number = m_pullNumber] {
        if (!m_alive || m_pullNumber != number) {
            return;
        }
        m_pullNumber = 0;
        m_control.onKnowledge(from,
                              error{error_kind::Unavailable, "no answer in time",
                                    "Another instance is asked next."},
                              m_queue.now());
    });
}

void emulated_instance::publish(std::shared_ptr<const directory> known)
{
    m_knowsDesiredState = true;
    m_forwarder.adopt(std::move(known), m_queue.now());
}

void emulated_instance::publishPeerView(peer_view view)
{
    if (omits(omitted_mechanism::PeerEvidence)) {
        view.loads.clear();
        for (const peer_server_load &own : m_forwarder.loads(m_queue.now())) {
            view.loads.push_back({own.server, 0, 1});
        }
    }
    if (omits(omitted_mechanism::SharedColdRate)) {
        view.instances = {{m_where.failureDomain, {"instance-" + std::to_string(m_where.id)}}};
    }
    const time_point now = m_queue.now();
    m_forwarder.setSilentDomains(std::move(view.silentDomains));
    m_forwarder.setSharedLoad(view.shared, now);
    m_forwarder.setPeerLoads(view.loads, now);
    m_forwarder.setInstances(std::move(view.instances), now);
    m_forwarder.setRefusalRound(
            refusalRound(std::chrono::system_clock::time_point(now.time_since_epoch())));
}

} // namespace ebonyway
