#pragma once

#include "connection/cluster_view.h"
#include "core/keyed_hash.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace ebonyway {

/** Role of a member in the choice of homes. */
enum class candidate_role : std::uint8_t {
    Eligible, ///< May become home or backup.
    Tombstone, ///< Died recently: keeps its position, so that its backup becomes home.
};

struct home_candidate
{
    instance_id id;
    failure_domain_id failureDomain;
    candidate_role role = candidate_role::Eligible;

    bool operator==(const home_candidate &) const = default;
};

/** Placement of a home's backup. Production uses OtherDomain; the others are test baselines. */
enum class backup_placement : std::uint8_t {
    OtherDomain, ///< First successor in another failure domain than the home.
    SameDomain, ///< First successor in the home's failure domain.
    NextInList, ///< First successor in any domain, which is effectively random.
};

/** Home and backup of a slot. */
struct slot_owners
{
    std::optional<instance_id> home;
    std::optional<instance_id> backup; ///< Holds copies of the home's tracked flows.

    bool operator==(const slot_owners &) const = default;
};

/**
 * Chooses the home and the backup of every slot by rendezvous hashing over the candidates.
 * Instances with the same candidates agree, and a change of candidates moves as few slots as
 * possible. Slots are hashed into a fixed number of groups, which bounds the work for thousands of
 * services.
 */
class home_assignment
{
public:
    home_assignment() = default;
    home_assignment(std::vector<home_candidate> candidates, const keyed_hash &hash,
                    backup_placement placement = backup_placement::OtherDomain);

    slot_owners owners(slot_id slot) const;
    const std::vector<home_candidate> &candidates() const { return m_candidates; }

    /** Returns the slot's first eligible candidate that is in none of the domains. */
    std::optional<instance_id> firstOutside(slot_id slot,
                                            std::span<const failure_domain_id> domains) const;

private:
    struct group_owners
    {
        std::int16_t home = -1; ///< Index into m_candidates; -1 if there is none.
        std::int16_t backup = -1;
    };

    static std::size_t groupOf(slot_id slot);
    std::vector<std::uint16_t> successionOf(std::size_t group) const;
    group_owners chooseOwners(const std::vector<std::uint16_t> &succession) const;
    std::int16_t backupOf(const std::vector<std::uint16_t> &succession, std::size_t position) const;

    std::vector<home_candidate> m_candidates;
    std::optional<keyed_hash> m_hash;
    backup_placement m_placement = backup_placement::OtherDomain;
    std::vector<group_owners> m_groups;
};

} // namespace ebonyway
