#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <vector>

namespace ebonyway {

/** State of an instance in the membership protocol. */
enum class member_state : std::uint8_t {
    Joining, ///< Routes packets but is not the home of any slot yet.
    Ready, ///< Eligible as home and backup.
    Leaving, ///< Planned stop: hands over its homes, then exits.
    Suspect, ///< No recent heartbeat, but not yet declared dead.
    Dead, ///< Kept as a tombstone so that succession lists stay stable.
};

/** Returns the stable lower-case name of a state, as shown on status pages. */
const char *memberStateName(member_state state);

/** What one instance knows about one member, including itself. */
struct member
{
    instance_id id;
    failure_domain_id failureDomain;
    member_state state = member_state::Joining;
    note_number adoptedNote; ///< Highest note that the member has reported.
    time_point lastHeard; ///< When a newer heartbeat last arrived, directly or by gossip.
    time_point stateSince;
};

/** One instance's view of the cluster. Views of different instances may differ temporarily. */
struct cluster_view
{
    instance_id self;
    std::vector<member> members; ///< Ordered by id; contains self.
    /**
     * Failure domains whose members all became silent together: possibly partitioned, not crashed.
     */
    std::vector<failure_domain_id> suspectedPartitions;
    /** False after a start or a jump of the monotonic clock until peers have confirmed the view. */
    bool isFresh = true;
    /** A member's heartbeat is fresh if it arrived within this time. */
    duration freshnessLimit = std::chrono::seconds(2);
};

} // namespace ebonyway
