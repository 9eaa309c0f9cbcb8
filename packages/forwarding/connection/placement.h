#pragma once

#include "core/seeded_random.h"
#include "forwarding/connection/cold_start_quota.h"
#include "forwarding/connection/deployment_load.h"
#include "forwarding/connection/flow_table.h"
#include "forwarding/connection/server_evidence.h"
#include "forwarding/connection/server_pace.h"
#include "forwarding/version/directory.h"

#include <optional>
#include <set>
#include <string>

namespace ebonyway {

/** How suitable a backend server is for a new flow, best first. */
enum class placement_tier : std::uint8_t {
    Warm,
    SlowStart, ///< Recently started or recovered; its share of new flows is used up for now.
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
    duration wait{}; ///< Expected time until an answer; zero if it was not estimated.
    std::size_t candidates = 0; ///< Backend servers that could have taken the flow.
};

/** What placement knows of the backend servers. */
struct placement_inputs
{
    const directory &servers;
    const server_evidence &evidence;
    const deployment_load &load;
    const server_pace &pace;
    cold_start_quota &coldStarts;
};

/**
 * Chooses backend servers for new flows.
 *
 * A service with few servers, or without a good one among the sampled ones, gets the server of the
 * best tier that has the least load from this instance; servers in the own failure domain are
 * preferred. Otherwise the demand and the room of the failure domains decide on the domain, and of
 * a few servers there that are drawn at random the one with the least expected wait is chosen. What
 * is known of other instances' flows is older than a request takes, so of it only sums of many
 * servers and clear differences of speed count.
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
     * offered to (nullptr for none). `priority` is the one of the flow's route. Returns nothing if
     * no server can take the flow.
     */
    std::optional<placement_choice> choose(const placement_inputs &inputs,
                                           const std::string &service, std::uint32_t priority,
                                           const flow_table_entry *previous, time_point now);

    /** Picks a service of the route at random by weight. Returns nullptr if it has none. */
    const std::string *chooseService(const route &from);

private:
    /** Limits of a service that bind each of its servers. */
    struct server_limits
    {
        double coldRate = 0; ///< Requests per second of a cold server.
        std::uint32_t maxConnections = 0; ///< Zero means unlimited.
        bool isQueueing = false; ///< Requests of the service wait for slots.
    };

    std::optional<placement_choice> chooseFromAll(const placement_inputs &inputs,
                                                  const std::string &service,
                                                  const server_limits &limits,
                                                  const flow_table_entry *previous, time_point now);
    /** `room` is the load of the service, or nullptr without demand for it. */
    std::optional<placement_choice>
    chooseFromSample(const placement_inputs &inputs, const std::string &service,
                     const server_limits &limits, const service_room *room, std::uint32_t priority,
                     const flow_table_entry *previous, time_point now);
    /** Draws the failure domain for a new flow by the shares of the domains. */
    const std::string &drawDomain(const service_room *room);
    /** Returns the tier of a server, or nothing if it cannot take the flow. */
    std::optional<placement_tier> tierOf(const placement_inputs &inputs,
                                         const directory_server &server,
                                         const server_limits &limits,
                                         const flow_table_entry *previous, time_point now);
    double loadOf(const directory_server &server, const server_condition &state) const;
    server_queue queueOf(const deployment_load &load, const directory_server &server,
                         const server_condition &state) const;

    std::string m_failureDomain;
    std::set<std::string> m_silentDomains;
    seeded_random m_random;
};

} // namespace ebonyway
