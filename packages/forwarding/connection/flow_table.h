#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Maximum number of backend servers that the opening packets of one flow are offered to. */
constexpr std::size_t MaxOffers = 3;

/**
 * State of a flow in the flow table. A flow that no server could take yet has an entry without
 * offers.
 */
struct flow_table_entry
{
    enum class phase : std::uint8_t {
        Opening, ///< An opening packet was seen, but no later packet.
        Open,
        Finished, ///< The caller has finished or reset the flow.
    };

    phase state = phase::Opening;
    server_key server; ///< Backend server that receives the packets of the flow.
    std::array<server_key, MaxOffers> offers{}; ///< Servers in the order of the offers; rest zero.
    std::uint8_t offerCount = 0;
    /** The caller has sent a request and acknowledged no part of the answer. */
    bool requestPending = false;
    /** The last request no longer counts as pending, but an answer may still arrive. */
    bool requestOverdue = false;
    bool hasCarriedRequest = false; ///< The caller has sent a request before.
    std::uint32_t serviceTag = 0; ///< demandTag() of the service that the flow was placed in.
    std::uint32_t routeTag = 0; ///< demandTag() of the public address.
    std::optional<std::uint32_t> openingSequence; ///< Of the opening packet, if it passed here.
    std::uint32_t nextSequence = 0; ///< End of the data that the caller has sent.
    std::uint32_t deliveredSequence = 0; ///< The server must have received all data before this.
    std::uint32_t acknowledged = 0; ///< Highest acknowledgement number of the caller.
    time_point offeredAt; ///< When the last opening packet was forwarded.
    time_point requestedAt; ///< If requestPending or requestOverdue: when the first packet of the
                            ///< request was seen.
    time_point lastRetransmission; ///< Start of the caller's last round of retransmissions.
    time_point firstSeen;
    time_point lastSeen;

    bool wasOfferedTo(server_key key) const;
    /**
     * Returns whether an opening packet with the sequence belongs to a new flow of a caller that
     * uses the port again, and not to this flow.
     */
    bool isReusedBy(std::uint32_t newSequence) const;
};

/**
 * Tracks the flows that pass through this instance, to measure load and to detect unresponsive
 * servers. Packets of open flows can be forwarded without an entry. The capacity is fixed; when the
 * table is full, further flows are forwarded but not tracked.
 */
class flow_table
{
public:
    explicit flow_table(std::size_t capacity);

    flow_table_entry *find(const flow_id &flow);
    const flow_table_entry *find(const flow_id &flow) const;
    /** Adds an entry for the flow. Returns nullptr if the table is full. */
    flow_table_entry *add(const flow_id &flow, time_point now);

    /** Removes flows that ended or timed out and returns them. */
    std::vector<flow_table_entry> removeIdle(time_point now, duration idleTimeout);

    std::size_t size() const { return m_flows.size(); }
    bool isFull() const { return m_flows.size() >= m_capacity; }

private:
    std::size_t m_capacity;
    std::unordered_map<flow_id, flow_table_entry> m_flows;
};

} // namespace ebonyway
