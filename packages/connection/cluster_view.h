#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <vector>

namespace ebonyway {

/** State of an instance as the membership protocol sees it. */
enum class member_state : std::uint8_t {
    Joining, ///< Routes packets but owns no slot homes yet.
    Ready, ///< Eligible as home and backup.
    Leaving, ///< Planned stop: hands its homes over, then exits.
    Suspect, ///< Silent, but not yet declared dead.
    Dead, ///< Kept as a tombstone so that succession lists stay stable.
};

/** Returns the stable lower-case name of a state, as used in status pages. */
const char *memberStateName(member_state state);

/** What one instance knows about one member, including itself. */
struct member
{
    instance_id id;
    failure_domain_id failureDomain;
    member_state state = member_state::Joining;
    note_number adoptedNote; ///< Highest note that the member has reported.
    time_point lastHeard; ///< When a newer heartbeat was last learned, directly or by gossip.
    time_point stateSince;
};

/** One instance's view of its deployment. The views of two instances may differ for a while. */
struct cluster_view
{
    instance_id self;
    std::vector<member> members; ///< Ordered by id; contains self.
    /** Failure domains whose members all fell silent together; possibly cut off, not crashed. */
    std::vector<failure_domain_id> suspectedPartitions;
    /** False from a start or a jump of the monotonic clock until peers have confirmed the view. */
    bool isFresh = true;
    /** Silence of a member beyond this limit means that its heartbeat is not fresh. */
    duration freshnessLimit = std::chrono::seconds(2);
};

} // namespace ebonyway
