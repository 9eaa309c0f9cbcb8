#pragma once

#include "version/intent.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Most earlier targets that a slot table keeps per slot. */
constexpr std::size_t EarlierTargetLimit = 8;

/**
 * Notes after which a replaced target is forgotten: about three days of changes at the large size.
 * Without this limit, the history alone would outgrow the memory bound of the control state.
 */
constexpr std::uint64_t EarlierTargetNotes = 2048;

/** A former target of a slot: it was the target from note `since` until the next entry or change.
 */
struct earlier_target
{
    note_number since;
    std::uint16_t slot = 0;
    backend_server_id target;

    auto operator<=>(const earlier_target &) const = default;
};

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
     * Former targets of all slots, ordered by slot, then oldest first. Limited to the latest
     * EarlierTargetLimit per slot and to targets replaced in the last EarlierTargetNotes notes.
     */
    std::vector<earlier_target> earlierTargets;

    bool operator==(const slot_table &) const = default;

    /** Returns the former targets of one slot, oldest first. Valid until the table changes. */
    std::span<const earlier_target> earlierTargetsOf(std::uint16_t index) const;

    /**
     * Returns the slot's target at an earlier note. Returns nothing if the note is older than the
     * history; the packet of an unsettled slot must then not be forwarded by guess.
     */
    std::optional<backend_server_id> targetAt(std::uint16_t index, note_number at) const;
};

/** Smallest power of two that is at least 64 per backend server, within 64..65536. */
std::uint32_t slotCountFor(std::size_t backendServerCount);

/**
 * Computes the table of a service at the next intent from its previous table, or from nothing.
 * A table keeps its slot count while the service exists.
 */
slot_table nextSlotTable(const slot_table *previous, const intent &next, service_id service);

/** Immutable routing data of one note: the intent, its slot tables and the address lookup. */
class route_plan
{
public:
    route_plan() = default;

    /**
     * Computes the plan of the next intent. The previous plan may be empty. Tables of services that
     * the note does not touch are shared with the previous plan.
     */
    route_plan(const route_plan &previous, intent next);

    /** Takes over an intent and its tables from a snapshot that has been checked. */
    route_plan(intent current, std::vector<slot_table> tables);

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

    void indexServices();

    intent m_intent;
    /** Indexed by service id; empty pointers for withdrawn services. Plans share the tables. */
    std::vector<std::shared_ptr<const slot_table>> m_tables;
    std::unordered_map<service_address, service_id, service_address_hash> m_services;
};

} // namespace ebonyway
