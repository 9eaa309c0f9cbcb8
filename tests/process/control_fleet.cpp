#include "process/control_fleet.h"

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration TickPeriod = 100ms;
constexpr std::size_t HeaderBytes = 28; ///< IPv4 and UDP.
constexpr std::uint16_t GossipPort = 7000;
constexpr std::uint32_t SeedCount = 3; ///< Instances 1..3 are the seeds in everyone's settings.
constexpr std::uint32_t BaseAddress = 0x0a000000;

std::string noteKey(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return "notes/" + std::string(10 - digits.size(), '0') + digits;
}

} // namespace

result<intent_snapshot> fake_intent::current() const
{
    if (inForce.number == note_number{}) {
        return error{error_kind::NotFound, "no note is in force", "Wait"};
    }
    std::string bytes(inForce.digest.begin(), inForce.digest.end());
    for (const failure_domain &domain : inForce.failureDomains) {
        bytes += "out:" + domain.name + ";";
    }
    return intent_snapshot{inForce.number, inForce.digest, bytes};
}

result<intent_snapshot> fake_intent::check(note_number number, std::string bytes) const
{
    intent_snapshot snapshot{number, {}, std::move(bytes)};
    if (snapshot.bytes.size() < snapshot.digest.size()) {
        return error{error_kind::InvalidInput, "the snapshot is malformed", "Take another one"};
    }
    std::copy_n(snapshot.bytes.begin(), snapshot.digest.size(), snapshot.digest.begin());
    return snapshot;
}

void fake_intent::fold(note_number number, const note_digest &digest, const std::string &text)
{
    inForce.number = number;
    inForce.digest = digest;
    const std::string marker = "out:";
    std::size_t at = 0;
    while ((at = text.find(marker, at)) != std::string::npos) {
        at += marker.size();
        const std::string name = text.substr(at, text.find(';', at) - at);
        inForce.failureDomains.push_back({failure_domain_id{}, name, false});
    }
}

control_fleet::control_fleet(std::uint64_t seed, network_settings settings)
    : network(settings)
    , platform([this](time_point at, std::function<void()> run) { schedule(at, std::move(run)); })
    , m_random(seed)
    , m_seed(seed)
{ }

endpoint control_fleet::endpointOf(std::uint32_t id)
{
    return {ip_address::fromV4(BaseAddress + id), GossipPort};
}

control_settings control_fleet::settingsOf(std::uint32_t id, const std::string &domain,
                                           std::uint64_t incarnation, std::uint64_t seed)
{
    control_settings settings;
    settings.membership.self = instance_id{id};
    settings.membership.incarnation = incarnation;
    settings.membership.profile = {domain, endpointOf(id).address, GossipPort, 7001, 7002, 7003};
    for (std::uint32_t seedId = 1; seedId <= SeedCount; ++seedId) {
        settings.membership.seeds.push_back(endpointOf(seedId));
    }
    settings.deploymentKey.assign(32, std::byte{0x5a});
    settings.seed = seed * 1000003 + id * 1009 + incarnation;
    return settings;
}

void control_fleet::start(std::uint32_t id, const std::string &domain)
{
    fleet_node &added = m_nodes[id];
    added = fleet_node{};
    const std::uint64_t incarnation = m_incarnations[id] += 100;
    added.plan = std::make_unique<fake_intent>();
    added.core = std::make_unique<control_core>(settingsOf(id, domain, incarnation, m_seed),
                                                *added.plan, m_now);
    added.domain = domain;
    added.isRunning = true;
    const duration phase{static_cast<std::int64_t>(m_random.below(duration(TickPeriod).count()))};
    schedule(m_now + phase, [this, id, incarnation] { scheduleTick(id, incarnation); });
}

void control_fleet::startWithLowIncarnation(std::uint32_t id, const std::string &domain)
{
    m_incarnations[id] -= 150;
    start(id, domain);
}

void control_fleet::startMany(std::uint32_t count)
{
    for (std::uint32_t id = 1; id <= count; ++id) {
        start(id, "domain-" + std::to_string(id % 3));
    }
}

void control_fleet::kill(std::uint32_t id)
{
    node(id).isRunning = false;
}

void control_fleet::freeze(std::uint32_t id, duration time)
{
    node(id).frozenUntil = m_now + time;
}

void control_fleet::cut(std::function<bool(std::uint32_t, std::uint32_t)> isCut)
{
    m_isCut = std::move(isCut);
}

void control_fleet::heal()
{
    m_isCut = nullptr;
}

void control_fleet::schedule(time_point at, std::function<void()> run)
{
    m_queue.push({at, m_eventCount++, std::move(run)});
}

void control_fleet::run(duration time)
{
    const time_point end = m_now + time;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const event next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void control_fleet::scheduleTick(std::uint32_t id, std::uint64_t incarnation)
{
    fleet_node &ticking = node(id);
    if (!ticking.isRunning || incarnation != m_incarnations[id]) {
        return;
    }
    if (m_now < ticking.frozenUntil) {
        schedule(ticking.frozenUntil, [this, id, incarnation] { scheduleTick(id, incarnation); });
        return;
    }
    ticking.core->onTick(m_now);
    carryOut(id);
    schedule(m_now + TickPeriod, [this, id, incarnation] { scheduleTick(id, incarnation); });
}

bool control_fleet::isReachable(std::uint32_t from, std::uint32_t to) const
{
    return !m_isCut || !m_isCut(from, to);
}

void control_fleet::transmit(std::uint32_t from, std::uint32_t to,
                             const std::vector<std::byte> &bytes)
{
    if (!isReachable(from, to) || m_random.unit() < network.loss) {
        return;
    }
    const int copies = m_random.unit() < network.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto jitter = static_cast<std::int64_t>(m_random.below(network.jitter.count() + 1));
        schedule(m_now + network.delay + duration{jitter},
                 [this, from, to, bytes] { deliver(from, to, bytes); });
    }
}

void control_fleet::inject(std::uint32_t from, std::uint32_t to, std::vector<std::byte> bytes)
{
    deliver(from, to, std::move(bytes));
}

void control_fleet::deliver(std::uint32_t from, std::uint32_t to, std::vector<std::byte> bytes)
{
    const auto place = m_nodes.find(to);
    if (place == m_nodes.end() || !place->second.isRunning) {
        return;
    }
    if (m_now < place->second.frozenUntil) {
        schedule(place->second.frozenUntil, [this, from, to, bytes] { deliver(from, to, bytes); });
        return;
    }
    place->second.core->onDatagram(endpointOf(from), bytes, m_now);
    carryOut(to);
}

void control_fleet::carryOut(std::uint32_t id)
{
    for (control_action &action : node(id).core->takeActions()) {
        carryOut(id, action);
    }
}

void control_fleet::carryOut(std::uint32_t id, control_action &action)
{
    fleet_node &acting = node(id);
    if (auto *datagram = std::get_if<send_datagram>(&action)) {
        acting.wireBytesSent += datagram->bytes.size() + HeaderBytes;
        acting.datagramsSent++;
        transmit(id, datagram->to.address.toV4() - BaseAddress, datagram->bytes);
    } else if (auto *view = std::get_if<publish_view>(&action)) {
        acting.view = std::move(view->view);
    } else if (auto *log = std::get_if<log_event>(&action)) {
        acting.events[log->name]++;
        events[log->name]++;
        if (log->name == "no_intent_source") {
            lastNoSourceReason = log->fields.front().second;
        }
    } else if (auto *message = std::get_if<deliver_engine_message>(&action)) {
        acting.engineMessages.emplace_back(message->from, std::move(message->bytes));
    } else if (auto *load = std::get_if<deliver_load_report>(&action)) {
        acting.loads.push_back(load->report);
    } else if (auto *targets = std::get_if<set_probe_targets>(&action)) {
        acting.probeTargets = targets->backendServers;
    } else if (auto *request = std::get_if<send_sync_request>(&action)) {
        carryOutSync(id, *request);
    } else if (auto *call = std::get_if<call_platform>(&action)) {
        carryOutCall(id, *call);
    } else if (auto *note = std::get_if<adopt_note>(&action)) {
        adopt(id, note->number, note->digest, note->text);
    } else if (auto *snapshot = std::get_if<adopt_snapshot>(&action)) {
        adopt(id, snapshot->number, snapshot->digest, snapshot->bytes);
    }
}

void control_fleet::resume(std::uint32_t id, std::uint64_t incarnation,
                           const std::function<void(control_core &)> &run)
{
    fleet_node &resuming = node(id);
    if (!resuming.isRunning || incarnation != m_incarnations[id]) {
        return;
    }
    if (m_now < resuming.frozenUntil) {
        schedule(resuming.frozenUntil,
                 [this, id, incarnation, run] { resume(id, incarnation, run); });
        return;
    }
    run(*resuming.core);
    carryOut(id);
}

void control_fleet::carryOutSync(std::uint32_t id, const send_sync_request &request)
{
    const std::uint32_t peer = request.to.address.toV4() - BaseAddress;
    const std::uint64_t incarnation = m_incarnations[id];
    result<std::vector<std::byte>> response =
            error{error_kind::Unavailable, "the peer refuses the connection", "Ask another one"};
    const auto place = m_nodes.find(peer);
    const bool isAnswered = place != m_nodes.end() && place->second.isRunning
                            && m_now >= place->second.frozenUntil && isReachable(id, peer);
    if (isAnswered) {
        response = place->second.core->onSyncRequest(request.bytes);
    }
    // A connection costs a round trip before the request.
    const time_point at = isAnswered ? m_now + 4 * network.delay : request.deadline;
    schedule(at, [this, id, incarnation, requestId = request.id, response] {
        resume(id, incarnation, [this, requestId, response](control_core &core) {
            core.onSyncResponse(requestId, response, m_now);
        });
    });
}

void control_fleet::carryOutCall(std::uint32_t id, const call_platform &call)
{
    const std::uint64_t incarnation = m_incarnations[id];
    const auto done = [this, id, incarnation,
                       callId = call.id](const result<platform_answer> &outcome) {
        resume(id, incarnation, [this, callId, outcome](control_core &core) {
            core.onPlatformResult(callId, outcome, m_now);
        });
    };
    if (!node(id).mayReachPlatform) {
        schedule(call.deadline, [done] {
            done(error{error_kind::Unavailable, "the platform does not answer", "Wait"});
        });
        return;
    }
    platform.call(call.request, m_now, call.deadline, done);
}

void control_fleet::adopt(std::uint32_t id, note_number number, const note_digest &digest,
                          const std::string &text)
{
    fleet_node &adopting = node(id);
    if (number <= adopting.plan->inForce.number) {
        breaches.notesFell++;
    }
    const auto [place, isNew] = m_digests.try_emplace(number.value, digest);
    if (!isNew && place->second != digest) {
        breaches.notesForked++;
    }
    adopting.plan->fold(number, digest, text);
    adopting.adoptedAt[number.value] = m_now;
    adopting.core->onIntentAdopted(adopting.plan->inForce);
    carryOut(id);
}

std::uint64_t control_fleet::acceptNote(const std::string &effect, std::size_t size)
{
    m_notes++;
    std::string text = "{\"note\": " + std::to_string(m_notes) + "}" + effect;
    text.resize(std::max(size, text.size()), ' ');
    platform.create(noteKey(m_notes), text, m_now);
    return m_notes;
}

bool control_fleet::haveAll(std::uint64_t note)
{
    const std::vector<std::uint32_t> ids = running();
    return std::all_of(ids.begin(), ids.end(), [&](std::uint32_t id) {
        return node(id).plan->inForce.number.value >= note;
    });
}

duration control_fleet::runUntilAllHave(std::uint64_t note, duration limit)
{
    const time_point start = m_now;
    while (m_now - start < limit && !haveAll(note)) {
        run(50ms);
    }
    return m_now - start;
}

fleet_node &control_fleet::node(std::uint32_t id)
{
    return m_nodes.at(id);
}

std::vector<std::uint32_t> control_fleet::running() const
{
    std::vector<std::uint32_t> ids;
    for (const auto &[id, running] : m_nodes) {
        if (running.isRunning) {
            ids.push_back(id);
        }
    }
    return ids;
}

member_state control_fleet::stateSeen(std::uint32_t observer, std::uint32_t id)
{
    for (const member &seen : node(observer).view.members) {
        if (seen.id == instance_id{id}) {
            return seen.state;
        }
    }
    return member_state::Dead;
}

bool control_fleet::hasConverged()
{
    const std::vector<std::uint32_t> expected = running();
    for (const std::uint32_t observer : expected) {
        std::vector<std::uint32_t> live;
        for (const member &seen : node(observer).view.members) {
            if (seen.state != member_state::Dead && seen.state != member_state::Suspect) {
                live.push_back(seen.id.value);
            }
        }
        if (live != expected) {
            return false;
        }
    }
    return true;
}

} // namespace ebonyway
