#include "process/edge/health_prober.h"

#include "core/json_text.h"
#include "process/edge/http_platform_store.h"
#include "version/route_plan.h"

#include <utility>

namespace ebonyway {

namespace {

constexpr std::chrono::milliseconds ProbeInterval{500};
constexpr std::chrono::milliseconds ProbeTimeout{400};
constexpr const char *HealthPath = "/health";

std::uint64_t numberIn(const Json::Value &page, const char *key)
{
    const Json::Value &value = page[key];
    return value.isUInt64() ? value.asUInt64() : 0;
}

} // namespace

load_report parseHealthPage(backend_server_id server, const std::string &body)
{
    load_report report;
    report.backendServer = server;
    report.reachable = true;
    const result<Json::Value> parsed = parseJsonObject(body);
    if (!isOk(parsed)) {
        return report;
    }
    const Json::Value &page = valueOf(parsed);
    report.ready = page["ready"].isBool() && page["ready"].asBool();
    report.openConnections = static_cast<std::uint32_t>(numberIn(page, "open_connections"));
    report.busySlots = static_cast<std::uint32_t>(numberIn(page, "busy_slots"));
    report.startCount = numberIn(page, "start_count");
    return report;
}

health_prober::health_prober(call_worker &calls, report_handler handler)
    : m_calls(calls)
    , m_handler(std::move(handler))
{ }

void health_prober::setTargets(std::vector<backend_server_id> targets)
{
    m_targets = std::move(targets);
}

void health_prober::onTick(const route_plan &plan, time_point now)
{
    if (now < m_next) {
        return;
    }
    m_next = now + ProbeInterval;
    for (const backend_server_id id : m_targets) {
        const backend_server *server = findBackendServer(plan.currentIntent(), id);
        if (!server || server->health.port == 0 || m_running.count(id) > 0) {
            continue;
        }
        probe(id, server->health);
    }
}

void health_prober::onFinished(backend_server_id server)
{
    m_running.erase(server);
}

void health_prober::probe(backend_server_id server, const endpoint &health)
{
    const bool queued = m_calls.submit([handler = m_handler, server, health] {
        const result<std::string> page = readHttpPage(health, HealthPath, ProbeTimeout);
        load_report report;
        report.backendServer = server;
        handler(isOk(page) ? parseHealthPage(server, valueOf(page)) : report);
    });
    if (queued) {
        m_running.insert(server);
    }
}

} // namespace ebonyway
