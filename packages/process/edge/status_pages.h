#pragma once

#include "connection/cluster_view.h"
#include "core/time.h"

#include <string>
#include <vector>

namespace ebonyway {

class control_core;
class metrics_registry;
class route_plan;
class traffic_counters;
struct engine_status;
struct settings;

/** What the status pages show. The references are valid while a page is rendered. */
struct instance_summary
{
    const settings &options;
    const route_plan &plan;
    const cluster_view &view;
    const engine_status &engine;
    const control_core &core;
    const metrics_registry &metrics;
    std::vector<const traffic_counters *> counters; ///< One per traffic thread.
    time_point now;
};

/** Returns the JSON of /status: note in force, members, slots and backend servers. */
std::string renderStatusPage(const instance_summary &summary);

/** Returns the Prometheus text of /metrics. */
std::string renderMetricsPage(const instance_summary &summary);

/** Returns why this instance cannot serve traffic and what helps; empty if it can. */
std::string healthProblem(const instance_summary &summary);

} // namespace ebonyway
