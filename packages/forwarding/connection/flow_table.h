#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Backend servers that one flow's opening packets were offered to. */
constexpr std::size_t MaxOffers = 3;

/** What an instance remembers of a flow whose packets it forwards. */
struct followed_flow
{
    enum class phase : std::uint8_t {
        Opening, ///< An opening packet was forwarded; no later packet has been seen.
        Open,
        Finished, ///< The caller has finished or reset the flow.
    };

    phase state = phase::Opening;
    server_key server; ///< Where its packets go.
    std::array<server_key, MaxOffers> offers{}; ///< In order; unused ones are zero.
    std::uint8_t offerCount = 0;
    bool busy = false; ///< The caller has sent a request and seen nothing of the answer.
    std::uint32_t nextSequence = 0; ///< End of the data that the caller has sent.
    std::uint32_t deliveredSequence = 0; ///< Up to here the server must have received the data.
    std::uint32_t acknowledged = 0; ///< Last acknowledgement of the caller.
    time_point offeredAt; ///< Of the last opening packet.
    time_point requestedAt; ///< If busy: when the caller began to send the request.
    time_point lastRepeat; ///< When the caller last began to repeat packets.
    time_point firstSeen;
    time_point lastSeen;

    bool wasOfferedTo(server_key key) const;
};

/**
 * The flows that pass this instance, for load and evidence. Forwarding an open flow does not need
 * it. Holds at most a fixed number of flows; when it is full, further flows are not remembered.
 */
class flow_table
{
public:
    explicit flow_table(std::size_t capacity);

    followed_flow *find(const flow_id &flow);
    const followed_flow *find(const flow_id &flow) const;
    /** Adds a record. Returns nullptr if the table is full. */
    followed_flow *add(const flow_id &flow, time_point now);

    /** Removes flows that ended or fell silent and returns them. */
    std::vector<followed_flow> removeIdle(time_point now, duration idleTimeout);

    std::size_t size() const { return m_flows.size(); }

private:
    std::size_t m_capacity;
    std::unordered_map<flow_id, followed_flow> m_flows;
};

} // namespace ebonyway
