#pragma once

#include "core/seeded_random.h"
#include "forwarding/connection/cold_start_budget.h"
#include "forwarding/connection/flow_table.h"
#include "forwarding/connection/server_evidence.h"
#include "forwarding/version/directory.h"

#include <optional>
#include <set>
#include <string>

namespace ebonyway {

/** How suitable a backend server is for a new flow, best first. */
enum class placement_tier : std::uint8_t {
    Warm,
    Cold, ///< Recently started; this instance may send another flow now.
    Doubtful, ///< Overdue, on trial, or in a silent failure domain.
    SetAside, ///< Used only if no other server is left.
};

/** Returns the lower-case name of a tier as it appears in logs. */
const char *placementTierName(placement_tier tier);

/** A backend server chosen for a new flow, with the reasons for the choice. */
struct placement_choice
{
    const directory_server *server = nullptr;
    placement_tier tier = placement_tier::Warm;
    double load = 0; ///< Estimated number of this instance's active requests per slot.
    std::size_t candidates = 0; ///< Backend servers that could have taken the flow.
};

/**
 * Chooses backend servers for new flows: the least loaded server of the best tier. Servers in the
 * instance's own failure domain are preferred, and cold servers are rate limited.
 */
class placement
{
public:
    /** `failureDomain` is the failure domain of this instance. */
    placement(std::string failureDomain, std::uint64_t seed);

    /** Sets the failure domains that are probably unreachable; their servers become doubtful. */
    void setSilentDomains(std::set<std::string> domains);

    /**
     * Chooses a backend server of the service, except those that the flow `previous` was already
     * offered to (nullptr for none). Returns nothing if no server can take the flow.
     */
    std::optional<placement_choice> choose(const directory &serverDirectory,
                                           const server_evidence &evidence,
                                           const cold_start_budget &coldStarts,
                                           const std::string &service,
                                           const flow_table_entry *previous, time_point now);

    /** Picks a service of the route at random by weight. Returns nullptr if it has none. */
    const std::string *chooseService(const route &from);

private:
    double loadOf(const directory_server &server, const server_condition &state) const;

    std::string m_failureDomain;
    std::set<std::string> m_silentDomains;
    seeded_random m_random;
};

} // namespace ebonyway
