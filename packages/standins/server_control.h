#pragma once

#include "core/result.h"
#include "core/time.h"

#include <json/forwards.h>

namespace ebonyway::standins {

class backend_server_model;

/**
 * Applies the JSON body of POST /control to a backend server. Fails with InvalidInput.
 *
 * Keys: "draining", "silent" (true or false); "turn_cold", "crash" (true); "health_lag_ms"
 * (number); "health_lie" (object with the keys of /health, {} ends the lie);
 * "answer_endpoints" (list of ADDRESS:PORT).
 */
status applyServerControl(backend_server_model &server, const Json::Value &body, time_point now);

/** Returns the body of /health. */
Json::Value healthBody(const struct health_report &report);

/** Returns the totals of a backend server for the summary. */
Json::Value serverCounters(const backend_server_model &server);

} // namespace ebonyway::standins
