#pragma once

#include "connection/routing_strategy.h"
#include "core/ids.h"
#include "core/result.h"

#include <json/value.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How a flow, or a packet that would have started one, ended for its caller. */
enum class flow_outcome : std::uint8_t {
    Good,
    RefusedOverloaded, ///< No backend server had room.
    GivenUp, ///< Its backend server was dead or its failure domain was taken out.
    ResetByBackendServer,
    NoAnswer, ///< Its packets were forwarded, but no answer passed.
    Dropped, ///< Plus a drop_reason: dropped by an instance.
};

/** Number of counters: the outcomes up to NoAnswer, then one per drop reason. */
constexpr std::size_t FlowOutcomeCount =
        static_cast<std::size_t>(flow_outcome::Dropped) + DropReasonCount;

/** Flows by outcome; see flowOutcomeIndex(). */
using flow_counters = std::array<std::uint64_t, FlowOutcomeCount>;

/** Returns the index of an outcome in flow_counters. Dropped needs droppedIndex(). */
constexpr std::size_t flowOutcomeIndex(flow_outcome outcome)
{
    return static_cast<std::size_t>(outcome);
}

/** Returns the index of flows that were dropped for a reason. */
constexpr std::size_t droppedIndex(drop_reason reason)
{
    return flowOutcomeIndex(flow_outcome::Dropped) + static_cast<std::size_t>(reason);
}

/** Returns the text of a counter in reports, for example "refused: no room". */
const char *flowOutcomeText(std::size_t index);

/** Windows over which the burn report looks back. */
constexpr std::array<std::chrono::seconds, 5> BurnWindows{
        std::chrono::minutes{5}, std::chrono::hours{1}, std::chrono::hours{6},
        std::chrono::hours{72}, std::chrono::hours{30 * 24}};

/**
 * Counts flows by service and outcome in fixed time buckets, one small ring of buckets for each of
 * BurnWindows (3.5 KB per service). A window covers the running bucket and the full ones before it,
 * so it is longer than its name by up to one bucket.
 *
 * The log is in memory: an instance that restarts starts from nothing.
 */
class flow_outcome_log
{
public:
    /** Wall time in UTC; the buckets of all instances start at the same moments. */
    using wall_time = std::chrono::sys_seconds;

    /** Adds flows to the bucket of the time. Older times than a ring holds are ignored. */
    void count(service_id service, std::size_t outcomeIndex, std::uint32_t flows, wall_time at);

    /** Returns the flows of a service in one of BurnWindows, ending now. */
    flow_counters flowsIn(service_id service, std::size_t window, wall_time now) const;

    /** Returns the services with flows, in order of their ids. */
    std::vector<service_id> services() const;

    /** Writes all buckets, for /flow_outcomes of an instance. */
    Json::Value toJson() const;

    /**
     * Adds the buckets that another instance has written. Fails with InvalidInput and then adds
     * nothing.
     */
    status merge(const Json::Value &written);

private:
    struct bucket
    {
        std::uint32_t number = 0; ///< Bucket lengths since 1970.
        std::array<std::uint32_t, FlowOutcomeCount> flows{};
    };
    using ring = std::vector<bucket>;
    using service_rings = std::array<ring, BurnWindows.size()>;

    static bucket *bucketFor(ring &buckets, std::size_t window, std::uint32_t number);
    static result<bucket> readBucket(const Json::Value &numbers);
    void add(service_id service, std::size_t window, const bucket &added);
    status mergeService(const Json::Value &item);

    std::map<service_id, service_rings> m_rings;
};

} // namespace ebonyway
