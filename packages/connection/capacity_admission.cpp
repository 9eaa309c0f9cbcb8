#include "connection/capacity_admission.h"

#include "version/intent.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Time for which the load summary of a service is used before it is recomputed. Recomputing takes
// time proportional to the number of backend servers, and new flows hardly change the summary
// within this time.
constexpr std::chrono::milliseconds SummaryLifetime{100};

// Fraction of the load bound's margin that is reserved for the error of the load estimate. Flows
// are turned away once the remaining margin is used up.
constexpr double EstimateReserve = 0.5;

// Fraction of the connection limit at which the homes start to decide on every new flow.
constexpr double ConnectionWatermark = 0.9;

// Fraction of busy slots at which the homes start to decide on every new flow. Below it, new flows
// may double between two load reports without reaching the limit. Above it, only a home that knows
// its unanswered flows reacts quickly enough to stop a surge.
constexpr double SlotWatermark = 0.5;

// Time since the last answer of a service after which missing answers are no longer evidence: its
// answers then do not pass through the load balancer (direct server return or one-way UDP).
constexpr std::chrono::minutes AnswerLifetime{10};

// Time for which the homes keep deciding on every new flow of a service that was busy or failing.
// It covers the maximum age of a load report, so that an old report does not end this, and a cold
// start that may follow.
constexpr std::chrono::seconds ControlPeriod{30};

// Number of consecutive refusals in a service after which the load bound is ignored for the next
// flow: the bound may move a flow to another backend server but must never cause it to be refused.
constexpr std::size_t MaximumBoundRefusals = 8;

// A backend server whose first load report shows at least this fraction of the mean load is warm.
constexpr double WarmShare = 0.5;

// Mean number of open flows per backend server below which a low first load report does not
// indicate a cold start, because it may be due to chance: half of 50 flows is 3.5 standard
// deviations below the mean.
constexpr double MinimumFlowsForWarmth = 50;

// Lowest concurrency limit over all instances; below one flow at a time nothing is served.
constexpr double MinimumConcurrency = 1;

/**
 * Returns the share of all flows that this instance sees, used to extrapolate from its own flows to
 * those of all instances. Returns 1 without a home share, so that its own flows are not scaled up.
 */
double ownFlowShare(double homeShare)
{
    return homeShare > 0 ? homeShare : 1;
}

} // namespace

capacity_admission::capacity_admission(admission_settings settings)
    : m_settings(settings)
{ }

void capacity_admission::adoptIntent(const intent &current, time_point now)
{
    for (auto &[id, service] : m_services) {
        service.servers.clear();
    }
    for (const backend_server &server : current.backendServers) {
        if (findService(current, server.service) != nullptr) {
            adoptServer(current, server, now);
        }
    }
    std::erase_if(m_servers, [&current](const auto &entry) {
        return findBackendServer(current, entry.first) == nullptr
               || findService(current, entry.second.service) == nullptr;
    });
    std::erase_if(m_services, [&current](const auto &entry) {
        return findService(current, entry.first) == nullptr;
    });
    for (auto &[id, service] : m_services) {
        service.summarisedAt = now - SummaryLifetime;
        refreshLoad(service, now);
    }
    m_hasIntent = true;
}

void capacity_admission::adoptServer(const intent &current, const backend_server &server,
                                     time_point now)
{
    const auto [entry, added] = m_servers.try_emplace(server.id, m_settings.startShare);
    server_state &state = entry->second;
    state.service = server.service;
    state.weight = server.weight;
    state.connectionLimit = server.connectionLimit;
    state.slotLimit = server.slotLimit;
    if (added && m_hasIntent) {
        // A backend server added by a later note is cold. Those in the first intent were already
        // running, and their first load reports show which of them are cold.
        state.ramp.restart(now);
        state.coldStartChecked = true;
    }
    service_state &service = m_services[server.service];
    if (acceptsNewFlows(current, server) && server.weight > 0) {
        service.servers.push_back(server.id);
    }
}

void capacity_admission::setHomeShare(backend_server_id backendServer, double share, time_point now)
{
    (void)now;
    server_state *server = find(backendServer);
    if (server != nullptr) {
        server->homeShare = std::clamp(share, 0.0, 1.0);
    }
}

admission capacity_admission::admitFlow(backend_server_id backendServer, time_point now)
{
    server_state *server = find(backendServer);
    if (server == nullptr || server->homeShare <= 0) {
        return admission::TryNext;
    }
    service_state &service = m_services[server->service];
    expireOffers(*server, service, now);
    refreshLoad(service, now);
    const bool firstChoice =
            service.servers.empty() || service.consecutiveRefusals % service.servers.size() == 0;
    server->ramp.onProposal(firstChoice, server->homeShare, now);
    if (!mayAdmit(*server, service, now)) {
        ++service.consecutiveRefusals;
        return admission::TryNext;
    }
    service.consecutiveRefusals = 0;
    server->ramp.onAdmitted();
    server->window.onOffered(now);
    server->load.onAdmitted(now);
    return admission::Admit;
}

bool capacity_admission::mayAdmit(server_state &server, const service_state &service,
                                  time_point now) const
{
    // Without probes, only the limited flows of a cold start can show that a server has recovered.
    const bool awaitsProbe = isDead(server, service) && server.monitor.isProbed(now);
    if (awaitsProbe || !server.ramp.mayAdmit()) {
        return false;
    }
    if (!hasConnectionRoom(server, now) || !hasSlotRoom(server, service, now)) {
        return false;
    }
    const std::size_t boundRefusalLimit =
            std::min((service.servers.size() + 1) / 2, MaximumBoundRefusals);
    const bool boundApplies = service.consecutiveRefusals < boundRefusalLimit;
    const double oneOwnFlow = 1 / server.homeShare;
    return !boundApplies || !isOverBound(server, service, oneOwnFlow, now);
}

bool capacity_admission::hasConnectionRoom(const server_state &server, time_point now) const
{
    return server.load.openFlows(ownFlowShare(server.homeShare), now) < server.connectionLimit;
}

bool capacity_admission::nearsConnectionLimit(const server_state &server, time_point now) const
{
    return server.load.projectedFlows(ownFlowShare(server.homeShare), now)
           >= ConnectionWatermark * server.connectionLimit;
}

bool capacity_admission::hasSlotRoom(server_state &server, const service_state &service,
                                     time_point now) const
{
    if (!seesAnswers(service, now)) {
        return true;
    }
    const double slots = server.slotLimit * server.ramp.share();
    const double concurrency = std::max(MinimumConcurrency, slots * server.window.queueFactor());
    return server.window.hasRoom(concurrency * server.homeShare, now);
}

bool capacity_admission::isOverBound(const server_state &server, const service_state &service,
                                     double slack, time_point now) const
{
    const double mean = service.load.flowsPerWeight * server.weight;
    if (mean <= 0 || !server.load.hasReport(now)) {
        return false;
    }
    const double bound = 1 + (m_settings.loadBound - 1) * (1 - EstimateReserve);
    return server.load.openFlows(ownFlowShare(server.homeShare), now) > bound * mean + slack;
}

bool capacity_admission::needsDeviation(backend_server_id backendServer, time_point now) const
{
    const server_state *server = find(backendServer);
    if (server == nullptr) {
        return false;
    }
    const service_state &service = m_services.at(server->service);
    if (health(backendServer, now) != backend_health::Healthy) {
        return true;
    }
    return now < service.controlledUntil || nearsConnectionLimit(*server, now)
           || isOverBound(*server, service, 0, now);
}

backend_health capacity_admission::health(backend_server_id backendServer, time_point now) const
{
    const server_state *server = find(backendServer);
    if (server == nullptr) {
        return backend_health::Dead;
    }
    const service_state &service = m_services.at(server->service);
    if (isDead(*server, service)) {
        return backend_health::Dead;
    }
    if (server->ramp.isCold()) {
        return backend_health::Cold;
    }
    if (isFailing(*server, service, now) || !hasConnectionRoom(*server, now)) {
        return backend_health::Overloaded;
    }
    return backend_health::Healthy;
}

void capacity_admission::onEvidence(backend_server_id backendServer, flow_evidence evidence,
                                    time_point now)
{
    server_state *server = find(backendServer);
    if (server == nullptr) {
        return;
    }
    service_state &service = m_services[server->service];
    expireOffers(*server, service, now);
    const bool ownOffer = server->window.resolveOldest(now);
    if (evidence == flow_evidence::Answered) {
        onAnswered(*server, service, ownOffer, now);
    } else {
        onFailed(*server, service, ownOffer, evidence == flow_evidence::Reset, now);
    }
}

void capacity_admission::onAnswered(server_state &server, service_state &service, bool ownOffer,
                                    time_point now)
{
    service.lastAnswer = now;
    service.everAnswered = true;
    server.window.onAnswered();
    server.monitor.onAnswered(now);
    if (ownOffer && !server.monitor.isUnready()) {
        server.ramp.onAnswered(server.homeShare, service.load.toleratedRatio);
    }
}

void capacity_admission::onFailed(server_state &server, service_state &service, bool ownOffer,
                                  bool shed, time_point now)
{
    server.monitor.onFailed(now);
    if (shed || isFailing(server, service, now)) {
        server.window.onFailed();
    }
    if (ownOffer) {
        server.ramp.onFailed(service.load.toleratedRatio, now);
    }
    restartIfFailing(server, service, now);
}

void capacity_admission::restartIfFailing(server_state &server, service_state &service,
                                          time_point now)
{
    if (server.ramp.isCold() || !isFailing(server, service, now)) {
        return;
    }
    service.summarisedAt = now - SummaryLifetime;
    refreshLoad(service, now);
    if (!service.load.mostAreFailing()) {
        server.ramp.stepBack(server.monitor.failedRatio(now), now);
    }
}

void capacity_admission::expireOffers(server_state &server, service_state &service, time_point now)
{
    const std::uint32_t missing = server.window.expire(now);
    if (!seesAnswers(service, now)) {
        return;
    }
    for (std::uint32_t i = 0; i < missing; ++i) {
        onFailed(server, service, true, false, now);
    }
}

void capacity_admission::onLoadReport(const load_report &report, time_point now)
{
    server_state *server = find(report.backendServer);
    if (server == nullptr) {
        return;
    }
    service_state &service = m_services[server->service];
    expireOffers(*server, service, now);
    const report_finding finding = server->monitor.onReport(report, now);
    if (report.reachable) {
        server->load.onReport(report.openConnections, now);
    }
    refreshLoad(service, now);
    if (finding == report_finding::Restarted || (report.reachable && !report.ready)
        || isDead(*server, service)) {
        server->ramp.restart(now);
    } else {
        checkForColdStart(*server, service, report, now);
    }
}

void capacity_admission::checkForColdStart(server_state &server, const service_state &service,
                                           const load_report &report, time_point now)
{
    const bool noAnswersSeen = !seesAnswers(service, now);
    if (server.ramp.isCold() && noAnswersSeen && report.reachable) {
        // No answers pass through this instance, so a ready load report is the only evidence.
        server.ramp.continueFrom(server.ramp.share() * 2, now);
    }
    const double mean = service.load.flowsPerWeight * server.weight;
    if (server.coldStartChecked || !report.reachable || mean <= 0) {
        return;
    }
    server.coldStartChecked = true;
    const double share = report.openConnections / mean;
    if (mean >= MinimumFlowsForWarmth && share < WarmShare) {
        server.ramp.continueFrom(share, now);
    }
}

void capacity_admission::onFlowEnded(backend_server_id backendServer, time_point now)
{
    server_state *server = find(backendServer);
    if (server != nullptr) {
        server->load.onEnded(now);
    }
}

void capacity_admission::refreshLoad(service_state &service, time_point now)
{
    if (now - service.summarisedAt < SummaryLifetime) {
        return;
    }
    service.summarisedAt = now;
    std::vector<server_load> loads;
    loads.reserve(service.servers.size());
    for (const backend_server_id id : service.servers) {
        loads.push_back(loadOf(m_servers.at(id), now));
    }
    service.load = summarise(loads);
    if (service.load.failingServers > 0 || service.load.busyShare >= SlotWatermark) {
        service.controlledUntil = now + ControlPeriod;
    }
}

server_load capacity_admission::loadOf(const server_state &server, time_point now) const
{
    server_load load;
    load.openFlows = server.load.openFlows(ownFlowShare(server.homeShare), now);
    load.weight = server.weight;
    load.busySlots = server.monitor.busySlots();
    load.failedRatio = server.monitor.failedRatio(now);
    load.enoughFailures = server.monitor.hasFailures(now);
    load.dead = server.monitor.isDead();
    load.usableSlots = load.dead ? 0 : server.slotLimit * server.ramp.share();
    load.includedInMean = server.load.hasReport(now) && !server.ramp.isCold() && !load.dead;
    return load;
}

bool capacity_admission::seesAnswers(const service_state &service, time_point now) const
{
    return service.everAnswered && now - service.lastAnswer <= AnswerLifetime;
}

bool capacity_admission::isFailing(const server_state &server, const service_state &service,
                                   time_point now) const
{
    return service.load.isFailing(loadOf(server, now));
}

bool capacity_admission::isDead(const server_state &server, const service_state &service) const
{
    return server.monitor.isDead() && !service.load.mostSeemDead();
}

capacity_admission::server_state *capacity_admission::find(backend_server_id id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const capacity_admission::server_state *capacity_admission::find(backend_server_id id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace ebonyway
