#pragma once

#include "connection/admission_policy.h"
#include "core/ip_address.h"
#include "core/time.h"
#include "process/edge/call_worker.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace ebonyway {

class route_plan;

/** Parses the body of a health endpoint. An unreadable body counts as reachable but not ready. */
load_report parseHealthPage(backend_server_id server, const std::string &body);

/**
 * Asks the health and load endpoints of the backend servers that this instance probes, over HTTP.
 * At most one probe per backend server is under way, so a hanging endpoint costs one call.
 */
class health_prober
{
public:
    /** Takes finished reports; called on a worker thread. */
    using report_handler = std::function<void(const load_report &)>;

    health_prober(call_worker &calls, report_handler handler);

    /** Sets the backend servers to probe, by id. */
    void setTargets(std::vector<backend_server_id> targets);

    /** Starts the probes that are due. Call it regularly on the control thread. */
    void onTick(const route_plan &plan, time_point now);

    /** Tells on the control thread that a probe has finished. */
    void onFinished(backend_server_id server);

private:
    void probe(backend_server_id server, const endpoint &health);

    call_worker &m_calls;
    report_handler m_handler;
    std::vector<backend_server_id> m_targets;
    std::set<backend_server_id> m_running;
    time_point m_next;
};

} // namespace ebonyway
