#pragma once

#include "forwarding/connection/service_demand.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Demand of the callers of one failure domain, estimated over all instances there. */
struct domain_demand
{
    std::string failureDomain;
    service_demand demand;
};

/** Use of one backend server by the other instances, estimated over all of them. */
struct server_usage
{
    server_key server;
    double flows = 0; ///< Open and opening flows.
    double underWay = 0; ///< Mean number of requests that wait for their answers.
    duration answerTime{}; ///< Mean over the reporters that have one; zero if there is none.
    std::uint32_t answerReporters = 0; ///< Instances whose answer times are in the mean.
};

/** What the instances together know of the load, as seen by one of them. */
struct shared_load
{
    std::vector<domain_demand> demands; ///< Includes the demand at this instance.
    std::vector<server_usage> servers; ///< Without the flows of this instance.
    /** Other instances whose reports are included; the confidence in `servers` depends on it. */
    std::uint32_t reporters = 0;
};

} // namespace ebonyway
