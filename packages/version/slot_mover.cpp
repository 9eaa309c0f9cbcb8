#include "version/slot_mover.h"

#include "core/keyed_hash.h"

#include <algorithm>
#include <array>

namespace ebonyway {

namespace {

/**
 * Most takers that a slot compares. It bounds the cost of the first table of a very large service;
 * services with at most this many takers get plain rendezvous hashing.
 */
constexpr std::size_t ComparedTakers = 64;

/** The scores need no secret: callers cannot choose slots, because the flow hash is keyed. */
const keyed_hash &scoreHash()
{
    static constexpr std::array<std::byte, 4> Key{std::byte{'s'}, std::byte{'l'}, std::byte{'o'},
                                                  std::byte{'t'}};
    static const keyed_hash Hash{Key};
    return Hash;
}

std::uint64_t slotKey(service_id service, std::uint16_t slot)
{
    return (std::uint64_t{service.value} << 16) | slot;
}

/** Never equals a backend server id, so that the start of a window is independent of scores. */
constexpr std::uint64_t WindowSalt = 1U << 16;

} // namespace

slot_mover::slot_mover(const slot_table &table, const std::vector<slot_share> &shares)
    : m_table(table)
    , m_shares(shares)
    , m_targets(table.targets)
{ }

std::vector<backend_server_id> slot_mover::moveSlots()
{
    if (m_shares.empty()) {
        m_targets.assign(m_targets.size(), NoBackendServer);
        return m_targets;
    }
    countHeld();
    m_quotas = slotQuotas(m_shares, m_held, static_cast<std::uint32_t>(m_targets.size()));
    collectTakers();
    releaseSlots();

    std::vector<std::uint16_t> homeless;
    for (const std::uint16_t slot : m_released) {
        if (!returnToFormerTarget(slot)) {
            homeless.push_back(slot);
        }
    }
    collectTakers();
    for (const std::uint16_t slot : homeless) {
        const std::size_t position = bestTakerOf(slot).position;
        const std::size_t share = m_takers[position];
        assign(slot, share);
        if (!takesSlots(share)) {
            m_takers.erase(m_takers.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    return m_targets;
}

std::optional<std::size_t> slot_mover::shareIndexOf(backend_server_id server) const
{
    const auto found = std::lower_bound(m_shares.begin(), m_shares.end(), server,
                                        [](const slot_share &share, backend_server_id wanted) {
                                            return share.backendServer < wanted;
                                        });
    if (found == m_shares.end() || found->backendServer != server) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_shares.begin());
}

bool slot_mover::takesSlots(std::size_t share) const
{
    return m_held[share] < m_quotas[share];
}

void slot_mover::countHeld()
{
    m_held.assign(m_shares.size(), 0);
    for (const backend_server_id target : m_targets) {
        if (const auto share = shareIndexOf(target)) {
            ++m_held[*share];
        }
    }
}

void slot_mover::collectTakers()
{
    m_takers.clear();
    for (std::size_t share = 0; share < m_shares.size(); ++share) {
        if (takesSlots(share)) {
            m_takers.push_back(share);
        }
    }
}

slot_mover::candidate slot_mover::rateSlot(std::uint16_t slot) const
{
    candidate rated{slot, EarlierTargetLimit, 0};
    const auto history = m_table.earlierTargetsOf(slot);
    for (std::size_t rank = 0; rank < history.size(); ++rank) {
        const auto share = shareIndexOf(history[history.size() - 1 - rank].target);
        if (share && takesSlots(*share)) {
            rated.historyRank = rank;
            break;
        }
    }
    rated.score = bestTakerOf(slot).score;
    return rated;
}

slot_mover::best_taker slot_mover::bestTakerOf(std::uint16_t slot) const
{
    const std::uint64_t key = slotKey(m_table.service, slot);
    std::size_t position = 0;
    if (m_takers.size() > ComparedTakers) {
        position = scoreHash()(key, WindowSalt) % m_takers.size();
    }
    best_taker best;
    for (std::size_t i = 0; i < std::min(m_takers.size(), ComparedTakers); ++i) {
        const std::uint64_t server = m_shares[m_takers[position]].backendServer.value;
        const std::uint64_t score = scoreHash()(key, server);
        if (i == 0 || score > best.score) {
            best = {position, score};
        }
        position = position + 1 == m_takers.size() ? 0 : position + 1;
    }
    return best;
}

void slot_mover::releaseSurplus(std::size_t share, std::vector<candidate> &candidates)
{
    const std::size_t surplus = m_held[share] - m_quotas[share];
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(surplus);
    std::nth_element(candidates.begin(), end, candidates.end(),
                     [](const candidate &left, const candidate &right) {
                         if (left.historyRank != right.historyRank) {
                             return left.historyRank < right.historyRank;
                         }
                         if (left.score != right.score) {
                             return left.score > right.score;
                         }
                         return left.slot < right.slot;
                     });
    for (auto released = candidates.begin(); released != end; ++released) {
        m_released.push_back(released->slot);
        --m_held[share];
    }
}

void slot_mover::releaseSlots()
{
    std::vector<std::vector<candidate>> candidates(m_shares.size());
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const auto slot = static_cast<std::uint16_t>(index);
        const auto share = shareIndexOf(m_targets[index]);
        if (!share) {
            m_released.push_back(slot);
        } else if (m_held[*share] > m_quotas[*share]) {
            candidates[*share].push_back(rateSlot(slot));
        }
    }
    for (std::size_t share = 0; share < m_shares.size(); ++share) {
        if (m_held[share] > m_quotas[share]) {
            releaseSurplus(share, candidates[share]);
        }
    }
    std::sort(m_released.begin(), m_released.end());
}

bool slot_mover::returnToFormerTarget(std::uint16_t slot)
{
    const auto history = m_table.earlierTargetsOf(slot);
    for (auto former = history.rbegin(); former != history.rend(); ++former) {
        const auto share = shareIndexOf(former->target);
        if (share && takesSlots(*share)) {
            assign(slot, *share);
            return true;
        }
    }
    return false;
}

void slot_mover::assign(std::uint16_t slot, std::size_t share)
{
    m_targets[slot] = m_shares[share].backendServer;
    ++m_held[share];
}

} // namespace ebonyway
