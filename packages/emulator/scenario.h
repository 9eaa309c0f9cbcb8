#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "core/time.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** How routers spread flows over instances. */
enum class router_hash : std::uint8_t {
    Modulo, ///< Nearly all flows move when an instance joins or leaves.
    Steady, ///< Only the flows of that instance move.
};

struct scenario_service
{
    std::string name;
    std::uint32_t servers = 6; ///< Over all failure domains.
    std::uint32_t slots = 4;
    std::uint32_t maxConnections = 2'000; ///< Of one server.
    std::chrono::milliseconds work{50}; ///< Mean of one request.
    double workSpread = 0; ///< Coefficient of variation of the work times (log-normal).
    std::chrono::milliseconds coldTime{2'000};
    std::uint32_t coldRate = 10; ///< Requests per second that a cold server bears.
};

/** One kind of request. */
struct traffic_kind
{
    std::string name;
    std::string service;
    std::uint32_t rate = 20; ///< New flows per second over all failure domains.
    std::uint32_t requestsPerFlow = 1;
    std::chrono::milliseconds pause{0}; ///< Between the requests of a flow.
    std::uint32_t requestBytes = 300;
    std::chrono::milliseconds work{0}; ///< Mean of one request; zero: as the service says.
    bool idempotent = false;
    std::uint32_t priority = 0; ///< Zero is the most important.
    std::chrono::milliseconds goal{300};
    std::chrono::milliseconds timeLimit{4'000};
    std::uint32_t retries = 2;
};

/** One disturbance or planned change. */
struct scenario_event
{
    std::string kind;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{5'000};
    std::chrono::milliseconds gap{1'000}; ///< Between the steps of rolling work.
    std::uint32_t count = 1; ///< Of instances or servers.
    double strength = 1; ///< A factor, a loss in percent, or the age of a copy in seconds.
    std::string failureDomain; ///< Empty: the seed chooses, and a burst has callers of all.
    std::string traffic; ///< Kind of request of a burst; empty: all kinds.
};

/** Times within which the promises hold. */
struct scenario_bounds
{
    std::chrono::milliseconds drain{3'000};
    std::chrono::milliseconds apply{3'000};
    std::chrono::milliseconds evacuate{5'000};
    std::chrono::milliseconds contact{4'000};
    std::chrono::milliseconds recovery{12'000};
};

/** A deployment, its load and what happens to it. */
struct scenario
{
    std::vector<std::string> failureDomains{"a", "b", "c"};
    std::uint32_t instancesPerDomain = 2;
    router_hash hash = router_hash::Modulo;
    /**
     * Caller addresses of each failure domain. Zero: one address for 60,000 flows. Admission
     * control decides by the caller's address, so a scenario with overload needs many.
     */
    std::uint32_t callersPerDomain = 0;
    std::chrono::milliseconds length{20'000};
    std::chrono::milliseconds settle{3'000}; ///< Between the start of the instances and the load.
    std::vector<scenario_service> services;
    std::vector<traffic_kind> traffic;
    std::vector<scenario_event> events;
    scenario_bounds bounds;
};

/** Returns the kinds of events that the emulation can play. */
const std::vector<std::string> &scenarioEventKinds();

/**
 * Reads a scenario from JSON with comments. Fails with InvalidInput; the message names the file,
 * the key, the value and the remedy.
 */
result<scenario> readScenario(const std::string &file, const Json::Value &root);

/** Returns the public address of a kind of request. */
endpoint trafficAddress(std::size_t traffic);

} // namespace ebonyway
