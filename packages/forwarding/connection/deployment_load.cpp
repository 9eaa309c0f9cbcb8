#include "forwarding/connection/deployment_load.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace ebonyway {

namespace {

// Demand of the more urgent priorities for which servers are kept free of less urgent flows,
// relative to their present demand. Open flows stay where they are, so room for a surge of the
// urgent ones has to exist before it comes.
constexpr double UrgentHeadroom = 2;

// Upper bound of the reserved share, so that the less urgent flows keep half of the servers.
constexpr double MaxReservedShare = 0.5;

// Time in which the reserved share follows the demand. Long flows last for some tens of seconds; a
// share that follows each surge would move servers in and out while their flows stay.
constexpr std::chrono::duration<double> ReservationTime = std::chrono::seconds(10);

/** Requests under way and slots of a group of servers. */
struct queue_sum
{
    double underWay = 0;
    double slots = 0;

    double requestsPerSlot() const { return slots > 0 ? underWay / slots : 0; }
};

} // namespace

deployment_load::deployment_load(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{ }

void deployment_load::adoptRoutes(const route_table &routes)
{
    if (m_routesVersion == routes.version && !m_serviceNames.empty()) {
        return;
    }
    m_routesVersion = routes.version;
    m_serviceNames.clear();
    m_priorities.clear();
    for (const auto &[address, to] : routes.routes) {
        m_priorities[demandTag(address)] = to.priority;
        for (const service_share &share : to.shares) {
            m_serviceNames.try_emplace(demandTag(share.service), share.service);
        }
    }
}

void deployment_load::update(const directory &servers, const server_evidence &evidence,
                             const shared_load &shared, const std::set<std::string> &silentDomains,
                             time_point now)
{
    adoptRoutes(servers.routes());
    m_usage.clear();
    for (const server_usage &usage : shared.servers) {
        m_usage[usage.server] = usage;
    }
    m_reporters = shared.reporters;
    std::map<std::string, std::vector<domain_demand>> demands;
    for (const domain_demand &one : shared.demands) {
        const std::string &service = serviceName(one.demand.service);
        // A peer may know a later desired state, and the demand of a silent domain is out of date.
        if (service.empty() || silentDomains.contains(one.failureDomain)) {
            continue;
        }
        demands[service].push_back(one);
    }
    const duration elapsed = now - std::exchange(m_updatedAt, now);
    const auto before = std::exchange(m_services, {});
    m_admissionInputs.clear();
    for (const auto &[service, parts] : demands) {
        const auto known = before.find(service);
        addService(service, servers, evidence, parts, silentDomains,
                   known == before.end() ? nullptr : &known->second, elapsed, now);
    }
}

void deployment_load::addService(const std::string &service, const directory &servers,
                                 const server_evidence &evidence,
                                 const std::vector<domain_demand> &demands,
                                 const std::set<std::string> &silentDomains,
                                 const service_room *before, duration elapsed, time_point now)
{
    std::map<std::string, domain_room> rooms;
    const double reserved = before ? before->largestReservedShare() : 0;
    queue_sum reservedQueue;
    queue_sum otherQueue;
    double answerSeconds = 0;
    double answerWeight = 0;
    for (const auto &[domain, indexes] : servers.candidatesByDomain(service)) {
        if (silentDomains.contains(domain)) {
            continue;
        }
        double &slots = rooms[domain].slots;
        for (const std::size_t index : indexes) {
            const directory_server &server = servers.servers()[index];
            const server_key key = server.entry.key;
            if (now < server.coldUntil || evidence.trustIn(key, now) == server_trust::SetAside) {
                continue;
            }
            slots += server.entry.slots;
            queue_sum &queue = isReserved(key, reserved) ? reservedQueue : otherQueue;
            queue.slots += server.entry.slots;
            if (const server_usage *usage = usageOf(key)) {
                queue.underWay += usage->underWay;
                answerSeconds += std::chrono::duration<double>(usage->answerTime).count()
                                 * usage->answerReporters;
                answerWeight += usage->answerReporters;
            }
        }
    }
    admission_input admission;
    admission.service = demandTag(service);
    for (const domain_demand &one : demands) {
        rooms[one.failureDomain].demand += one.demand.underWay;
        const auto priority = m_priorities.find(one.demand.route);
        if (priority == m_priorities.end()) {
            continue;
        }
        admission.demands.push_back({one.failureDomain, priority->second, one.demand});
    }
    admission.slots = reservedQueue.slots + otherQueue.slots;
    service_room load;
    for (auto &[domain, room] : rooms) {
        room.failureDomain = domain;
        load.domains.push_back(room);
    }
    load.shares = domainShares(load.domains, m_failureDomain);
    load.reservedRequestsPerSlot = reservedQueue.requestsPerSlot();
    load.otherRequestsPerSlot = otherQueue.requestsPerSlot();
    load.usual.requestsPerSlot =
            queue_sum{reservedQueue.underWay + otherQueue.underWay, admission.slots}
                    .requestsPerSlot();
    if (answerWeight > 0) {
        load.usual.answerTime = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(answerSeconds / answerWeight));
    }
    updateReservedShares(load, admission, before, elapsed);
    m_services[service] = std::move(load);
    m_admissionInputs.push_back(std::move(admission));
}

void deployment_load::updateReservedShares(service_room &room, const admission_input &input,
                                           const service_room *before, duration elapsed) const
{
    std::map<std::uint32_t, double> demands; // In seconds of work per second, by priority.
    double total = 0;
    for (const admission_demand &one : input.demands) {
        const double demand = (one.demand.newFlows + one.demand.laterRequests)
                              * std::chrono::duration<double>(one.demand.workTime).count();
        demands[one.priority] += demand;
        total += demand;
    }
    const double gain =
            before ? std::min(1.0, std::chrono::duration<double>(elapsed) / ReservationTime) : 1.0;
    double moreUrgent = 0;
    for (const auto &[priority, demand] : demands) {
        const double wanted = UrgentHeadroom * moreUrgent;
        const double rest = total - moreUrgent;
        const double target =
                wanted > 0 ? std::min(MaxReservedShare, wanted / (wanted + rest)) : 0.0;
        const double share = before ? before->reservedShare(priority) : target;
        room.reservedShares[priority] = share + (target - share) * gain;
        moreUrgent += demand;
    }
}

double service_room::reservedShare(std::uint32_t priority) const
{
    const auto found = reservedShares.find(priority);
    return found == reservedShares.end() ? 0 : found->second;
}

double service_room::largestReservedShare() const
{
    double largest = 0;
    for (const auto &[priority, share] : reservedShares) {
        largest = std::max(largest, share);
    }
    return largest;
}

usual_queue service_room::usualOf(server_key server) const
{
    const bool inReserve = isReserved(server, largestReservedShare());
    return {inReserve ? reservedRequestsPerSlot : otherRequestsPerSlot, usual.answerTime};
}

bool isReserved(server_key server, double share)
{
    const std::uint64_t hash = XXH3_64bits(&server.value, sizeof(server.value));
    return static_cast<double>(hash >> 11) * 0x1p-53 < share;
}

const service_room *deployment_load::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

duration deployment_load::usualAnswerTime(const std::string &service) const
{
    const service_room *load = find(service);
    return load ? load->usual.answerTime : duration::zero();
}

const server_usage *deployment_load::usageOf(server_key server) const
{
    const auto found = m_usage.find(server);
    return found == m_usage.end() ? nullptr : &found->second;
}

const std::string &deployment_load::serviceName(std::uint32_t tag) const
{
    static const std::string Unknown;
    const auto found = m_serviceNames.find(tag);
    return found == m_serviceNames.end() ? Unknown : found->second;
}

} // namespace ebonyway
