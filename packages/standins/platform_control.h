#pragma once

#include "core/result.h"
#include "core/time.h"

#include <json/forwards.h>

namespace ebonyway::standins {

class platform_model;

/**
 * Applies the JSON body of POST /control to the platform. Fails with InvalidInput.
 *
 * Keys: "latency_ms"; "outage" ("none", "unavailable", "timeout" or "refused"); "lose_responses"
 * (number of the next writes whose response is lost); "stale_read_ratio" (0 to 1);
 * "stale_revisions"; "instances_lag_ms"; "instances" (list of objects with id, state,
 * failure_domain and gossip). Keys that are absent keep their value.
 */
status applyPlatformControl(platform_model &platform, const Json::Value &body, time_point now);

/** Returns the faults in force, the calls counted and the waiting watches. */
Json::Value platformCounters(const platform_model &platform);

} // namespace ebonyway::standins
