#pragma once

#include "forwarding/connection/domain_spread.h"
#include "forwarding/connection/expected_wait.h"
#include "forwarding/connection/flow_admission.h"
#include "forwarding/connection/server_evidence.h"
#include "forwarding/connection/shared_load.h"
#include "forwarding/version/directory.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Load of one service, as placement uses it. */
struct service_room
{
    std::vector<domain_room> domains; ///< Domains in reach with servers or callers of the service.
    std::vector<double> shares; ///< domainShares() of these domains.
    usual_queue usual;
    /**
     * By priority: share of the servers that is left to more urgent flows as long as others are not
     * much busier.
     */
    std::map<std::uint32_t, double> reservedShares;
    /** Requests under way per slot of the servers that are reserved against any flows, and others.
     */
    double reservedRequestsPerSlot = 0;
    double otherRequestsPerSlot = 0;

    /** Returns the reserved share for flows of a priority. */
    double reservedShare(std::uint32_t priority) const;
    /** Returns the reserved share for the least urgent flows. */
    double largestReservedShare() const;
    /** Returns what servers of the same group, reserved or not, usually have. */
    usual_queue usualOf(server_key server) const;
};

/**
 * Returns whether a server belongs to the given share of the servers that is left to more urgent
 * flows. All instances reserve the same servers, up to small differences of the share.
 */
bool isReserved(server_key server, double share);

/**
 * Relates the load that the instances share to the services and servers of the directory: the only
 * reader of shared_load. Placement and admission take their inputs from here.
 */
class deployment_load
{
public:
    /** `failureDomain` is the one of this instance. */
    explicit deployment_load(std::string failureDomain);

    /** Recomputes the load of all services. Call it for each new estimate. */
    void update(const directory &servers, const server_evidence &evidence,
                const shared_load &shared, const std::set<std::string> &silentDomains,
                time_point now);

    /** Returns the load of a service, or nullptr without demand for it. */
    const service_room *find(const std::string &service) const;
    /** Returns the usual answer time of a service; zero if unknown. */
    duration usualAnswerTime(const std::string &service) const;

    /** Returns how peers use the server, or nullptr if no report names it. */
    const server_usage *usageOf(server_key server) const;
    /** Returns the number of peers whose reports are included. */
    std::uint32_t reporters() const { return m_reporters; }

    /** Returns the inputs of flow_admission for all services with demand. */
    const std::vector<admission_input> &admissionInputs() const { return m_admissionInputs; }
    /** Returns the name of a service with demand, or an empty text. */
    const std::string &serviceName(std::uint32_t tag) const;

private:
    void adoptRoutes(const route_table &routes);
    /** Follows the demand of the more urgent priorities slowly, as open flows cannot move. */
    void updateReservedShares(service_room &room, const admission_input &input,
                              const service_room *before, duration elapsed) const;
    void addService(const std::string &service, const directory &servers,
                    const server_evidence &evidence, const std::vector<domain_demand> &demands,
                    const std::set<std::string> &silentDomains, const service_room *before,
                    duration elapsed, time_point now);

    std::string m_failureDomain;
    std::uint64_t m_routesVersion = 0; ///< Version of the desired state that the tags are from.
    std::unordered_map<std::uint32_t, std::string> m_serviceNames; ///< By tag.
    std::unordered_map<std::uint32_t, std::uint32_t> m_priorities; ///< By the tag of the route.
    std::unordered_map<std::string, service_room> m_services;
    time_point m_updatedAt;
    std::unordered_map<server_key, server_usage> m_usage;
    std::uint32_t m_reporters = 0;
    std::vector<admission_input> m_admissionInputs;
};

} // namespace ebonyway
