#include "forwarding/version/directory_builder.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Grace period for entries that lapsed in an outage of the store. The platform guarantees that live
// backend servers whose entries lapsed register again within about two seconds.
constexpr duration ReRegistrationTime = 2200ms;

// How long a backend server is kept after its departure. The server may serve its open flows for
// many seconds after its entry is gone; the platform limits the lifetime of a flow to 60 s.
constexpr duration DepartedRetention = 90s;

// Time until an instance knows that a server is cold after its evacuation, in heartbeat intervals.
// The server becomes cold shortly before the evacuation ends and announces this in its next report,
// which can take up to a heartbeat interval and a store call to arrive.
constexpr double ColdReportDelayInHeartbeats = 1.5;

std::string describeServer(const registered_server &entry)
{
    return entry.service + " at " + entry.address.toString() + " in " + entry.failureDomain
           + (entry.draining ? ", draining" : ", ready") + ", cold for "
           + std::to_string(entry.coldRemaining.count()) + " ms";
}

} // namespace

directory_builder::directory_builder(directory_times times)
    : m_times(times)
{ }

std::vector<directory_change> directory_builder::apply(store_kind kind, const store_object &object,
                                                       time_point now)
{
    switch (kind) {
    case store_kind::DesiredState:
        return applyDesiredState(object);
    case store_kind::BackendServers:
        return applyServer(object, now);
    case store_kind::Evacuations:
        return applyEvacuation(object, now);
    }
    return {};
}

std::vector<directory_change> directory_builder::applyServer(const store_object &object,
                                                             time_point now)
{
    const auto found = m_servers.find(object.name);
    if (found != m_servers.end() && object.revision <= found->second.server.revision) {
        return {};
    }
    const auto *entry = object.value ? std::get_if<registered_server>(&*object.value) : nullptr;
    if (!entry) {
        const bool unusable = !object.deleted;
        if (found == m_servers.end()) {
            if (!unusable) {
                return {};
            }
            return {{"backend_server_entry_ignored", object.name, object.revision, object.fault}};
        }
        directory_change change = removeServer(object.name, found->second, object.revision, now);
        if (unusable) {
            // An unreadable entry is no lapse, so no grace period applies: the server is unusable
            // at once.
            found->second.server.availability = server_availability::Departed;
            found->second.lapsesAt.reset();
            found->second.departedAt = now;
            change.event = "backend_server_entry_unusable";
            change.detail = object.fault;
        }
        return {change};
    }
    known_server &known = m_servers[object.name];
    known.server.entry = *entry;
    known.server.revision = object.revision;
    known.server.token = tokenOf(entry->key);
    known.server.availability =
            entry->draining ? server_availability::Draining : server_availability::Usable;
    known.server.coldUntil = now + entry->coldRemaining;
    known.lapsesAt.reset();
    known.departedAt.reset();
    return {{"backend_server_updated", object.name, object.revision, describeServer(*entry)}};
}

directory_change directory_builder::removeServer(const std::string &name, known_server &known,
                                                 std::uint64_t revision, time_point now)
{
    known.server.revision = std::max(known.server.revision, revision);
    const bool mayReregister = m_lapseGraceUntil && now < *m_lapseGraceUntil
                               && known.server.availability == server_availability::Usable;
    if (mayReregister) {
        known.lapsesAt = *m_lapseGraceUntil;
        return {"backend_server_lapsed", name, revision,
                "its entry lapsed during an outage of the store; it may register again"};
    }
    known.server.availability = server_availability::Departed;
    known.departedAt = now;
    return {"backend_server_departed", name, revision, "its entry is gone"};
}

std::vector<directory_change> directory_builder::applyDesiredState(const store_object &object)
{
    if (object.revision <= m_routesRevision) {
        return {};
    }
    const auto *state = object.value ? std::get_if<desired_state>(&*object.value) : nullptr;
    if (!state) {
        return {{"desired_state_ignored", object.name, object.revision,
                 object.deleted ? "it was deleted; the last version remains in effect"
                                : object.fault}};
    }
    m_routesRevision = object.revision;
    if (m_routes && state->version <= m_routes->version) {
        return {{"desired_state_ignored", object.name, object.revision,
                 "version " + std::to_string(state->version) + " is not newer than "
                         + std::to_string(m_routes->version)}};
    }
    auto table = std::make_shared<route_table>();
    table->version = state->version;
    table->idleTimeout = state->idleTimeout;
    for (const route &item : state->routes) {
        table->routes.emplace(item.address, item);
    }
    for (const service_limits &limits : state->services) {
        table->services.emplace(limits.name, limits);
    }
    if (m_routes) {
        table->withdrawnAddresses = m_routes->withdrawnAddresses;
        for (const auto &[address, item] : m_routes->routes) {
            table->withdrawnAddresses.insert(address);
        }
        for (const auto &[address, item] : table->routes) {
            table->withdrawnAddresses.erase(address);
        }
    }
    m_routes = std::move(table);
    return {{"desired_state_adopted", object.name, object.revision,
             "version " + std::to_string(state->version) + ", "
                     + std::to_string(state->routes.size()) + " routes"}};
}

std::vector<directory_change> directory_builder::applyEvacuation(const store_object &object,
                                                                 time_point now)
{
    const std::string &domain = object.name;
    const auto started = m_evacuations.find(domain);
    const auto ended = m_endedEvacuations.find(domain);
    const std::uint64_t known = std::max(started == m_evacuations.end() ? 0 : started->second,
                                         ended == m_endedEvacuations.end() ? 0 : ended->second);
    if (object.revision <= known) {
        return {};
    }
    if (!object.deleted) {
        m_evacuations[domain] = object.revision;
        return {{"evacuation_started", domain, object.revision, object.fault}};
    }
    m_endedEvacuations[domain] = object.revision;
    if (started == m_evacuations.end()) {
        return {};
    }
    m_evacuations.erase(started);
    markColdAfterEvacuation(domain, now);
    return {{"evacuation_ended", domain, object.revision, ""}};
}

void directory_builder::markColdAfterEvacuation(const std::string &failureDomain, time_point now)
{
    const auto reportDelay = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(m_times.heartbeat) * ColdReportDelayInHeartbeats);
    for (auto &[name, known] : m_servers) {
        if (known.server.entry.failureDomain != failureDomain) {
            continue;
        }
        const duration cold = coldDurationOf(known.server.entry.service);
        known.server.coldUntil = std::max(known.server.coldUntil, now + reportDelay + cold);
    }
}

duration directory_builder::coldDurationOf(const std::string &service) const
{
    if (!m_routes) {
        return duration::zero();
    }
    const auto limits = m_routes->services.find(service);
    return limits == m_routes->services.end() ? duration::zero() : limits->second.coldDuration;
}

std::vector<directory_change>
directory_builder::retainListed(store_kind kind, const std::set<std::string> &listedNames,
                                std::uint64_t listRevision, time_point now)
{
    std::vector<directory_change> changes;
    if (kind == store_kind::BackendServers) {
        m_serversListed = true;
        for (auto &[name, known] : m_servers) {
            if (listedNames.contains(name) || known.server.revision > listRevision
                || known.departedAt || known.lapsesAt) {
                continue;
            }
            changes.push_back(removeServer(name, known, listRevision, now));
        }
    }
    if (kind == store_kind::Evacuations) {
        std::vector<std::string> ended;
        for (const auto &[domain, revision] : m_evacuations) {
            if (!listedNames.contains(domain) && revision <= listRevision) {
                ended.push_back(domain);
            }
        }
        for (const std::string &domain : ended) {
            store_object gone{
                    domain, std::max(listRevision, m_evacuations[domain] + 1), true, {}, {}};
            for (directory_change &change : applyEvacuation(gone, now)) {
                changes.push_back(std::move(change));
            }
        }
    }
    return changes;
}

void directory_builder::advanceRevision(store_kind kind, std::uint64_t revision)
{
    std::uint64_t &known = m_revisions[static_cast<std::size_t>(kind)];
    known = std::max(known, revision);
}

std::vector<directory_change> directory_builder::integrate(const exported_knowledge &exported,
                                                           time_point now)
{
    std::vector<directory_change> changes;
    const auto merge = [&](store_kind kind, const std::vector<store_object> &objects) {
        const std::uint64_t revision = exported.revisions[static_cast<std::size_t>(kind)];
        if (revision <= m_revisions[static_cast<std::size_t>(kind)]) {
            return;
        }
        std::set<std::string> names;
        for (const store_object &object : objects) {
            names.insert(object.name);
            std::ranges::move(apply(kind, object, now), std::back_inserter(changes));
        }
        std::ranges::move(retainListed(kind, names, revision, now), std::back_inserter(changes));
        advanceRevision(kind, revision);
    };
    std::vector<store_object> servers;
    for (const exported_object &item : exported.servers) {
        servers.push_back({item.name, item.revision, false, store_value(item.server), {}});
    }
    std::vector<store_object> evacuations;
    for (const exported_object &item : exported.evacuations) {
        evacuations.push_back(
                {item.name, item.revision, false, store_value(evacuation{item.name}), {}});
    }
    if (exported.hasDesiredState) {
        merge(store_kind::DesiredState,
              {{"", exported.desiredRevision, false, store_value(exported.desiredState), {}}});
    }
    merge(store_kind::BackendServers, servers);
    merge(store_kind::Evacuations, evacuations);
    takeOverLapses(exported.servers, now);
    return changes;
}

void directory_builder::takeOverLapses(const std::vector<exported_object> &servers, time_point now)
{
    for (const exported_object &item : servers) {
        const auto found = m_servers.find(item.name);
        if (!item.graceRemaining || found == m_servers.end()
            || found->second.server.revision > item.revision || found->second.departedAt) {
            continue;
        }
        found->second.lapsesAt = now + *item.graceRemaining;
    }
}

exported_knowledge directory_builder::exportKnowledge(time_point now) const
{
    exported_knowledge exported;
    exported.revisions = m_revisions;
    if (m_routes) {
        exported.hasDesiredState = true;
        exported.desiredRevision = m_routesRevision;
        exported.desiredState.version = m_routes->version;
        exported.desiredState.idleTimeout = m_routes->idleTimeout;
        for (const auto &[address, item] : m_routes->routes) {
            exported.desiredState.routes.push_back(item);
        }
        for (const auto &[name, limits] : m_routes->services) {
            exported.desiredState.services.push_back(limits);
        }
    }
    for (const auto &[name, known] : m_servers) {
        if (known.departedAt) {
            continue;
        }
        exported_object item{name, known.server.revision, known.server.entry, {}};
        item.server.coldRemaining = std::chrono::ceil<std::chrono::milliseconds>(
                std::max(duration::zero(), known.server.coldUntil - now));
        if (known.lapsesAt) {
            item.graceRemaining = std::chrono::ceil<std::chrono::milliseconds>(
                    std::max(duration::zero(), *known.lapsesAt - now));
        }
        exported.servers.push_back(std::move(item));
    }
    for (const auto &[domain, revision] : m_evacuations) {
        exported.evacuations.push_back({domain, revision, {}, {}});
    }
    return exported;
}

void directory_builder::onStoreRegained(time_point now)
{
    m_lapseGraceUntil = now + ReRegistrationTime;
}

std::vector<directory_change> directory_builder::expire(time_point now)
{
    std::vector<directory_change> changes;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        known_server &known = it->second;
        if (known.lapsesAt && now >= *known.lapsesAt) {
            known.lapsesAt.reset();
            known.server.availability = server_availability::Departed;
            known.departedAt = now;
            changes.push_back({"backend_server_departed", it->first, known.server.revision,
                               "it did not register again after the outage of the store"});
        }
        if (known.departedAt && now - *known.departedAt > DepartedRetention) {
            it = m_servers.erase(it);
            continue;
        }
        ++it;
    }
    return changes;
}

std::shared_ptr<const directory> directory_builder::snapshot()
{
    std::vector<directory_server> servers;
    servers.reserve(m_servers.size());
    std::map<flow_token, server_key> owners;
    for (const auto &[name, known] : m_servers) {
        const auto owner = owners.emplace(known.server.token, known.server.entry.key).first;
        // All instances must map a token to the same server, so the lowest key wins.
        owner->second = std::min(owner->second, known.server.entry.key);
    }
    for (const auto &[name, known] : m_servers) {
        directory_server server = known.server;
        server.evacuated = m_evacuations.contains(server.entry.failureDomain);
        server.ambiguousToken = owners[server.token] != server.entry.key;
        servers.push_back(std::move(server));
    }
    return std::make_shared<directory>(
            ++m_serial, m_routes ? m_routes : std::make_shared<route_table>(), std::move(servers));
}

} // namespace ebonyway
