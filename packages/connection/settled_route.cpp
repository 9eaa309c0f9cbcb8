#include "connection/settled_route.h"

#include "connection/udp_seen_set.h"
#include "core/precondition.h"
#include "version/route_plan.h"

namespace ebonyway {

namespace {

/** Maximum number of times that a packet is relayed, as in flow_engine.cpp. */
constexpr std::uint8_t HopLimit = 2;

} // namespace

settled_route::settled_route(const keyed_hash &hash, udp_seen_set &seenUdp)
    : m_hash(hash)
    , m_seenUdp(&seenUdp)
{ }

void settled_route::setPlan(const route_plan &plan)
{
    const intent &current = plan.currentIntent();
    m_lookup = service_lookup(current);
    m_services.clear();
    m_services.resize(current.nextServiceId);
    for (const service &known : current.services) {
        const slot_table *table = plan.slotTable(known.id);
        if (table != nullptr) {
            m_services[known.id.value].resize(table->targets.size());
        }
    }
}

void settled_route::setSlot(slot_id slot, const slot_entry &entry)
{
    const std::size_t service = slot.service.value;
    EBONYWAY_FAIL_IF(service >= m_services.size() || slot.index >= m_services[service].size(),
                     "the slot is not in the plan");
    m_services[service][slot.index] = entry;
}

bool settled_route::isUsable(backend_server_id server) const
{
    return server.value < m_usableServers.size() && m_usableServers[server.value] != 0;
}

settled_route::located_packet settled_route::locate(const packet_view &packet) const
{
    const std::optional<service_id> service = m_lookup.find(packet.key);
    if (!service || m_services[service->value].empty()) {
        return {};
    }
    const std::vector<slot_entry> &slots = m_services[service->value];
    const flow_hash hash = hashFlow(packet.key, m_hash);
    return {&slots[hash.value & (slots.size() - 1)], *service, hash};
}

bool settled_route::isHomeFresh(const slot_entry &entry, time_point now) const
{
    return entry.home < m_homes.size() && now <= m_homes[entry.home].freshUntil;
}

std::optional<route_decision>
settled_route::decide(const packet_view &packet, const packet_origin &origin, time_point now) const
{
    if (now > m_validUntil) {
        return std::nullopt;
    }
    const located_packet located = locate(packet);
    if (located.entry == nullptr || !isHomeFresh(*located.entry, now)) {
        return std::nullopt;
    }
    const slot_entry &entry = *located.entry;
    const bool relays = (entry.flags & slot_entry::RelayHome) != 0 && origin.hops < HopLimit;
    const bool settled = (entry.flags & slot_entry::Settled) != 0 && isUsable(entry.target);
    if (!relays && !settled) {
        return std::nullopt;
    }
    bool first = packet.kind == packet_kind::TcpSyn;
    if (packet.kind == packet_kind::Udp) {
        first = !m_seenUdp->record(located.service, located.hash, now);
    }
    if (settled) {
        return forward_action{entry.target, first};
    }
    return relay_action{m_homes[entry.home].id, static_cast<std::uint8_t>(origin.hops + 1)};
}

std::optional<answer_decision> settled_route::checkAnswer(const packet_view &packet,
                                                          backend_server_id sender,
                                                          const packet_origin &origin,
                                                          time_point now) const
{
    if (now > m_validUntil) {
        return std::nullopt;
    }
    const located_packet located = locate(packet);
    if (located.entry == nullptr || !isHomeFresh(*located.entry, now)) {
        return std::nullopt;
    }
    const slot_entry &entry = *located.entry;
    if ((entry.flags & slot_entry::Settled) != 0) {
        if (sender == entry.target) {
            return pass_action{};
        }
        return drop_crossed_action{};
    }
    if ((entry.flags & slot_entry::RelayHome) == 0 || origin.hops >= HopLimit) {
        return std::nullopt;
    }
    return relay_action{m_homes[entry.home].id, static_cast<std::uint8_t>(origin.hops + 1)};
}

} // namespace ebonyway
