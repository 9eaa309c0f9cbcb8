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
    Cold, ///< Cold, and within this instance's share of its rate.
    Doubtful, ///< Overdue or on trial.
    SetAside, ///< Taken only if nothing else is left.
};

/** Returns the stable lower-case name of a tier for logs. */
const char *placementTierName(placement_tier tier);

/** A backend server chosen for a new flow, with what decided. */
struct placement_choice
{
    const directory_server *server = nullptr;
    placement_tier tier = placement_tier::Warm;
    double load = 0; ///< Requests per slot that it works on, as this instance estimates.
    std::size_t candidates = 0; ///< Backend servers that could have taken the flow.
};

/**
 * Chooses backend servers for new flows: the least loaded one that answers, those in the own
 * failure domain first. Prefers warm servers and gives cold ones no more than they bear.
 */
class placement
{
public:
    /** `failureDomain` is this instance's own. */
    placement(std::string failureDomain, std::uint64_t seed);

    /** Sets the failure domains that are probably cut off; their servers are doubtful. */
    void setSilentDomains(std::set<std::string> domains);

    /**
     * Chooses a backend server of the service that the flow was not offered to before (`previous`
     * may be nullptr). Returns nothing if there is none.
     */
    std::optional<placement_choice> choose(const directory &known, const server_evidence &evidence,
                                           const cold_start_budget &coldStarts,
                                           const std::string &service,
                                           const followed_flow *previous, time_point now);

    /** Chooses one of the services of a route by weight. Returns nullptr if it has none. */
    const std::string *chooseService(const route &from);

private:
    double loadOf(const directory_server &server, const server_condition &state) const;

    std::string m_failureDomain;
    std::set<std::string> m_silentDomains;
    seeded_random m_random;
};

} // namespace ebonyway
