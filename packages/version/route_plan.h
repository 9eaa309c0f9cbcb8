#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "version/intent.h"

namespace ebonyway {

/**
 * Slot table of one service: slot index -> backend server for new flows.
 *
 * The table gives each backend server its exact share of slots by weight (within one slot), and
 * a change moves only the slots that must move. It depends on the previous table, so all instances
 * compute it from the same sequence of release notes.
 */
struct slot_table
{
    service_id service;
    std::vector<backend_server_id> targets; ///< Size is a power of two; NoBackendServer if empty.
    std::vector<note_number> changedAt; ///< Per slot: the note that last changed its target.
    /**
     * Per slot: the targets at earlier notes, oldest first, limited to the notes that can still
     * matter for unsettled slots. Entry {n, b}: b was the target from note n on.
     */
    struct earlier_target
    {
        note_number since;
        backend_server_id target;
    };
    std::vector<std::vector<earlier_target>> earlierTargets;
};

/** Smallest power of two that is at least 64 per backend server, within 64..65536. */
std::uint32_t slotCountFor(std::size_t backendServerCount);

/**
 * Computes the table of a service at the next intent from its previous table, or from nothing.
 * The slot count of an existing table grows only when the service has lost all of its slots'
 * history; a table keeps its size while the service exists.
 */
slot_table nextSlotTable(const slot_table *previous, const intent &next, service_id service);

/** Immutable routing data of one note: the intent, its slot tables and the address lookup. */
class route_plan
{
public:
    route_plan() = default;

    /** Computes the plan of the next intent. The previous plan may be empty. */
    route_plan(const route_plan &previous, intent next);

    const intent &currentIntent() const { return m_intent; }

    /** Returns the service that owns the address, protocol and port, if any. */
    std::optional<service_id> serviceFor(const flow_key &key) const;

    /** Returns the service's table, or nullptr. */
    const slot_table *slotTable(service_id service) const;

    /** Returns the slot of a flow of the service. The service must have a table. */
    slot_id slotOf(service_id service, flow_hash hash) const;

private:
    struct service_address
    {
        ip_address address;
        std::uint16_t port = 0;
        transport_protocol protocol = transport_protocol::Tcp;

        bool operator==(const service_address &) const = default;
    };
    struct service_address_hash
    {
        std::size_t operator()(const service_address &address) const;
    };

    intent m_intent;
    std::vector<slot_table> m_tables; ///< Indexed by service id.
    std::unordered_map<service_address, service_id, service_address_hash> m_services;
};

} // namespace ebonyway
