#pragma once

#include "version/route_plan.h"
#include "version/slot_shares.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ebonyway {

/**
 * Moves the slots of one table from the backend servers that hold more than their quota to those
 * that hold less, and no other slot. A slot prefers its latest former target, so that a returning
 * failure domain gets its slots back; otherwise rendezvous scores decide.
 */
class slot_mover
{
public:
    /** The table must have at least one slot; `shares` may be empty. */
    slot_mover(const slot_table &table, const std::vector<slot_share> &shares);

    /** Returns the new target of every slot. */
    std::vector<backend_server_id> moveSlots();

private:
    /** A slot that an overfull backend server may give up. */
    struct candidate
    {
        std::uint16_t slot = 0;
        std::size_t historyRank = 0; ///< 0 if its latest former target takes slots.
        std::uint64_t score = 0; ///< Highest rendezvous score among the takers.
    };
    struct best_taker
    {
        std::size_t position = 0; ///< Index into m_takers.
        std::uint64_t score = 0;
    };

    std::optional<std::size_t> shareIndexOf(backend_server_id server) const;
    bool takesSlots(std::size_t share) const;
    void countHeld();
    void collectTakers();
    candidate rateSlot(std::uint16_t slot) const;
    best_taker bestTakerOf(std::uint16_t slot) const;
    void releaseSurplus(std::size_t share, std::vector<candidate> &candidates);
    void releaseSlots();
    bool returnToFormerTarget(std::uint16_t slot);
    void assign(std::uint16_t slot, std::size_t share);

    const slot_table &m_table;
    const std::vector<slot_share> &m_shares;
    std::vector<backend_server_id> m_targets;
    std::vector<std::uint32_t> m_held; ///< Per share.
    std::vector<std::uint32_t> m_quotas; ///< Per share.
    std::vector<std::size_t> m_takers; ///< Indexes of shares below their quota, in id order.
    std::vector<std::uint16_t> m_released; ///< Slots without a target for now.
};

} // namespace ebonyway
