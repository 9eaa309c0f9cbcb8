#pragma once

#include "connection/answer_decision.h"
#include "connection/service_lookup.h"
#include "core/keyed_hash.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace ebonyway {

class udp_seen_set;

/**
 * Fast path: routing table for the packets that can be decided without flow state. Traffic threads
 * share one published, immutable copy; decisions take no lock and do not allocate. Packets that
 * cannot be decided here are passed to the flow engine on its own thread.
 */
class settled_route
{
public:
    /** How the packets of one slot are handled. */
    struct slot_entry
    {
        enum flag : std::uint8_t {
            Settled = 1, ///< Every packet goes to the target.
            RelayHome = 2, ///< Packets are relayed to the home, which is another instance.
        };
        backend_server_id target = NoBackendServer;
        std::uint16_t home = NoHome; ///< Index of a member, or NoHome.
        std::uint8_t flags = 0;

        bool operator==(const slot_entry &) const = default;
    };
    static constexpr std::uint16_t NoHome = 0xffff;

    /** Routing data of a member that may be the home of slots. */
    struct home_entry
    {
        instance_id id;
        time_point freshUntil; ///< Until when its settled slots may be routed directly.
    };

    /** `seenUdp` must outlive this object and its copies. */
    settled_route(const keyed_hash &hash, udp_seen_set &seenUdp);

    /** Returns what to do with a packet to a service; empty if the flow engine must decide. */
    std::optional<route_decision> decide(const packet_view &packet, const packet_origin &origin,
                                         time_point now) const;

    /** Same as decide(), for a packet from a backend server. */
    std::optional<answer_decision> checkAnswer(const packet_view &packet, backend_server_id sender,
                                               const packet_origin &origin, time_point now) const;

    /** Resets the table to the services of a plan; no slot can be decided until setSlot(). */
    void setPlan(const route_plan &plan);
    void setSlot(slot_id slot, const slot_entry &entry);
    void setHomes(std::vector<home_entry> homes) { m_homes = std::move(homes); }
    /** Sets which backend servers may receive packets, indexed by id. */
    void setUsableServers(std::vector<std::uint8_t> usable) { m_usableServers = std::move(usable); }
    /** Sets when the table expires, so that a stalled flow engine stops direct routing. */
    void setValidUntil(time_point time) { m_validUntil = time; }

    bool isUsable(backend_server_id server) const;

private:
    struct located_packet
    {
        const slot_entry *entry = nullptr;
        service_id service;
        flow_hash hash;
    };

    located_packet locate(const packet_view &packet) const;
    bool isHomeFresh(const slot_entry &entry, time_point now) const;

    keyed_hash m_hash;
    udp_seen_set *m_seenUdp;
    service_lookup m_lookup;
    std::vector<std::vector<slot_entry>> m_services; ///< Indexed by service id.
    std::vector<home_entry> m_homes;
    std::vector<std::uint8_t> m_usableServers;
    time_point m_validUntil{};
};

} // namespace ebonyway
