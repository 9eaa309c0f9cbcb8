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
 * Immutable picture of what an instance may decide without flow state. Traffic threads share one
 * published copy: decisions take no lock and allocate nothing. A packet that it cannot decide goes
 * to the flow engine on its own thread.
 */
class settled_route
{
public:
    /** How the packets of one slot are handled. */
    struct slot_entry
    {
        enum flag : std::uint8_t {
            Settled = 1, ///< The target serves every packet.
            RelayHome = 2, ///< The home decides, and it is another instance.
        };
        backend_server_id target = NoBackendServer;
        std::uint16_t home = NoHome; ///< Index of a member, or NoHome.
        std::uint8_t flags = 0;

        bool operator==(const slot_entry &) const = default;
    };
    static constexpr std::uint16_t NoHome = 0xffff;

    /** A member as far as routing needs it. */
    struct home_entry
    {
        instance_id id;
        time_point freshUntil; ///< Until when its settled slots may be routed directly.
    };

    /** The set must outlive this object and its copies. */
    settled_route(const keyed_hash &hash, udp_seen_set &seenUdp);

    /** Decides a packet to a service, or returns nothing if the flow engine must. */
    std::optional<route_decision> decide(const packet_view &packet, const packet_origin &origin,
                                         time_point now) const;

    /** Judges a packet from a backend server, or returns nothing if the flow engine must. */
    std::optional<answer_decision> checkAnswer(const packet_view &packet, backend_server_id sender,
                                               const packet_origin &origin, time_point now) const;

    /** Starts anew with the services of a plan; all slots are undecided. */
    void setPlan(const route_plan &plan);
    void setSlot(slot_id slot, const slot_entry &entry);
    void setHomes(std::vector<home_entry> homes) { m_homes = std::move(homes); }
    /** Sets which backend servers may receive packets, indexed by id. */
    void setUsableServers(std::vector<std::uint8_t> usable) { m_usable = std::move(usable); }
    /** Nothing is decided after this time, so that a stalled flow engine stops direct routing.
     */
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
    std::vector<std::uint8_t> m_usable;
    time_point m_validUntil{};
};

} // namespace ebonyway
