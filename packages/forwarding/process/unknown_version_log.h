#pragma once

#include "core/ip_address.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>

namespace ebonyway {

/**
 * Remembers which senders have sent messages of which unknown versions, so that each is logged
 * once. Instances of another version send several messages a second during a rolling update.
 */
class unknown_version_log
{
public:
    /**
     * Maximum number of remembered pairs of sender and version. It exceeds the number of instances
     * of the largest deployment (480). Above it, the oldest pair is forgotten.
     */
    static constexpr std::size_t MaxEntries = 512;

    /** Returns whether the sender has not sent this version before, and remembers it. */
    bool addIfNew(const endpoint &sender, std::uint32_t version);

    std::size_t size() const { return m_seen.size(); }

private:
    using entry = std::pair<endpoint, std::uint32_t>;

    std::set<entry> m_seen;
    std::deque<entry> m_order; ///< The entries of m_seen, the oldest first.
};

} // namespace ebonyway
