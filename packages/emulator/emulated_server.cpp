#include "emulator/emulated_server.h"

#include <chrono>
#include <cmath>
#include <numbers>
#include <utility>

namespace ebonyway {

namespace {

// A server that has just started works this much slower.
constexpr std::uint32_t ColdFactor = 2;

// Requests that wait for a slot, for each slot.
constexpr std::size_t QueuePerSlot = 4;

} // namespace

emulated_server::emulated_server(registered_server entry, work_times work, std::uint64_t seed)
    : m_entry(std::move(entry))
    , m_work(std::move(work))
    , m_random(seed)
{ }

duration emulated_server::drawWork(const endpoint &address)
{
    const auto found = m_work.byAddress.find(address);
    const duration mean = found == m_work.byAddress.end() ? m_work.usual : found->second;
    if (m_work.spread <= 0) {
        return mean;
    }
    // The normal deviate of Box and Muller; 1 - unit() is never zero.
    const double radius = std::sqrt(-2 * std::log(1 - m_random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * m_random.unit());
    const double variance = std::log(1 + m_work.spread * m_work.spread);
    return std::chrono::duration_cast<duration>(
            mean * std::exp(std::sqrt(variance) * normal - variance / 2));
}

void emulated_server::setMood(server_mood mood)
{
    m_mood = mood;
    if (mood != server_mood::Crashed && mood != server_mood::Departed) {
        return;
    }
    ++m_life;
    m_working = 0;
    m_offered.clear();
    m_flows.clear();
    m_queue.clear();
}

server_packet emulated_server::reply(const caller_packet &packet, server_packet::content what) const
{
    server_packet made;
    made.what = what;
    made.flow = packet.header.flow;
    made.server = m_entry.key;
    made.token = packet.header.token;
    made.attempt = packet.attempt;
    return made;
}

server_reaction emulated_server::onPacket(const caller_packet &packet)
{
    server_reaction reaction;
    const flow_id &flow = packet.header.flow;
    if (m_mood == server_mood::Crashed || m_mood == server_mood::Departed) {
        return reaction;
    }
    if (packet.header.opens) {
        if (isFull()) {
            reaction.ignored = true;
            return reaction;
        }
        m_offered[flow] = packet.header.token;
        reaction.packets.push_back(reply(packet, server_packet::content::Accepted));
        return reaction;
    }
    if (packet.chosen == m_entry.key && m_offered.erase(flow) > 0) {
        m_flows.emplace(flow, held_flow{});
        reaction.opened = true;
    }
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        if (!packet.header.finishes) {
            reaction.packets.push_back(reply(packet, server_packet::content::Reset));
        }
        return reaction;
    }
    held_flow &held = found->second;
    held.token = packet.header.token;
    if (packet.header.finishes) {
        m_flows.erase(found);
        return reaction;
    }
    if (packet.header.dataLength == 0) {
        return reaction;
    }
    if (packet.header.sequence == held.received) {
        held.received += packet.header.dataLength;
    }
    if (held.received < packet.requestEnd) {
        server_packet received = reply(packet, server_packet::content::Received);
        received.acknowledged = held.received;
        reaction.packets.push_back(received);
        return reaction;
    }
    server_reaction answered = onRequest(packet, held);
    answered.opened = reaction.opened;
    return answered;
}

bool emulated_server::isFull() const
{
    return m_queue.size() >= m_entry.slots * QueuePerSlot;
}

server_reaction emulated_server::onRequest(const caller_packet &packet, held_flow &held)
{
    server_reaction reaction;
    if (held.queued == packet.attempt) {
        if (held.lastAnswer) {
            reaction.packets.push_back(*held.lastAnswer);
        }
        return reaction;
    }
    held.queued = packet.attempt;
    held.lastAnswer.reset();
    if (isFull()) {
        reaction.rejected = true;
        held.lastAnswer = reply(packet, server_packet::content::NotRun);
        held.lastAnswer->acknowledged = held.received;
        reaction.packets.push_back(*held.lastAnswer);
        return reaction;
    }
    m_queue.push_back(reply(packet, server_packet::content::Answer));
    reaction.began = packet.attempt;
    return reaction;
}

std::vector<started_work> emulated_server::startWork(time_point now)
{
    std::vector<started_work> started;
    if (m_mood == server_mood::Hanging) {
        return started;
    }
    while (m_working < m_entry.slots && !m_queue.empty()) {
        ++m_working;
        const double factor = m_workFactor * (isCold(now) ? ColdFactor : 1);
        const duration work = drawWork(m_queue.front().flow.service);
        started.push_back({m_queue.front(), std::chrono::duration_cast<duration>(work * factor)});
        m_queue.pop_front();
    }
    return started;
}

std::optional<server_packet> emulated_server::finishWork(const server_packet &answer)
{
    --m_working;
    const auto found = m_flows.find(answer.flow);
    if (found == m_flows.end()) {
        return std::nullopt;
    }
    server_packet finished = answer;
    finished.token = found->second.token;
    finished.acknowledged = found->second.received;
    finished.closes = m_mood == server_mood::Draining;
    found->second.lastAnswer = finished;
    return finished;
}

} // namespace ebonyway
