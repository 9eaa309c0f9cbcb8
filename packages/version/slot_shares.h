#pragma once

#include "version/intent.h"

#include <cstdint>
#include <vector>

namespace ebonyway {

/** Weight of one backend server that accepts new flows. */
struct slot_share
{
    backend_server_id backendServer;
    std::uint32_t weight = 0;

    bool operator==(const slot_share &) const = default;
};

/** The input of one service's slot table. */
struct service_shares
{
    std::vector<slot_share> shares; ///< Ordered by backend server id.
    std::size_t backendServerCount = 0; ///< Includes those that accept no new flow.
};

/** Returns the shares of every service, indexed by service id up to nextServiceId. */
std::vector<service_shares> collectShares(const intent &current);

/** Returns the shares of one service. */
service_shares sharesOf(const intent &current, service_id service);

/**
 * Splits the slots by weight with the largest remainder method, in integers. Ties go to the backend
 * servers that hold more than their whole part already, then to the lower ids.
 *
 * @param held Slots that each backend server holds now, in the order of the shares.
 * @return Slots per share; they add up to slotCount unless there is no share.
 */
std::vector<std::uint32_t> slotQuotas(const std::vector<slot_share> &shares,
                                      const std::vector<std::uint32_t> &held,
                                      std::uint32_t slotCount);

} // namespace ebonyway
