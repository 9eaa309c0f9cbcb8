#pragma once

#include <json/json.h>

namespace ebonyway::standins {

class caller_model;
struct caller_event;

/** Totals, totals per service and the spread over backend servers. */
Json::Value callerSummary(const caller_model &callers);

/** An event as JSON fields; "event" holds its name. */
Json::Value callerEventFields(const caller_event &event);

} // namespace ebonyway::standins
