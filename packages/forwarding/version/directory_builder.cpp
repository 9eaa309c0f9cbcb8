#include "forwarding/version/directory_builder.h"

#include "forwarding/version/token_claims.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Grace period for entries that lapsed in an outage of the store, or that the store lost when it
// came back from an older copy. The platform guarantees that live backend servers whose entries
// lapsed register again within about two seconds.
constexpr duration ReRegistrationTime = 2200ms;

// How long a backend server is kept after its departure. The server may serve its open flows for
// many seconds after its entry is gone; the platform limits the lifetime of a flow to 60 s.
constexpr duration DepartedRetention = 90s;

// Time until an instance knows that a server is cold after its evacuation, in heartbeat intervals.
// The server becomes cold shortly before the evacuation ends and announces this in its next report,
// which can take up to a heartbeat interval and a store call to arrive.
constexpr double ColdReportDelayInHeartbeats = 1.5;

// Time until an entry of an older copy of the store is in effect although it contradicts a later
// report, in heartbeat intervals. The entry of a server that is gone lapses after three, and two
// more allow for a slow store.
constexpr int OutdatedEntryHeartbeats = 5;

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
    const auto *entry = object.value ? std::get_if<registered_server>(&*object.value) : nullptr;
    if (found != m_servers.end() && object.position() <= found->second.server.position) {
        const bool isSameChange = entry && object.position() == found->second.server.position;
        return isSameChange ? applyLostReport(object, found->second, *entry, now)
                            : std::vector<directory_change>{};
    }
    if (!entry) {
        const bool unusable = !object.deleted;
        if (found == m_servers.end()) {
            if (!unusable) {
                return {};
            }
            return {{"backend_server_entry_ignored", object.name, object.revision, object.fault}};
        }
        directory_change change = removeServer(object.name, found->second, object.position(), now);
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
    const bool outdated = found != m_servers.end() && isOutdated(found->second, object, *entry);
    known_server &known = m_servers[object.name];
    known.server.position = object.position();
    if (outdated) {
        known.outdatedEntry = *entry;
        known.outdatedUntil = now + m_times.heartbeat * OutdatedEntryHeartbeats;
        known.lapsesAt.reset();
        return {{"backend_server_entry_outdated", object.name, object.revision,
                 describeServer(*entry)}};
    }
    adoptEntry(known, *entry, now);
    return {{"backend_server_updated", object.name, object.revision, describeServer(*entry)}};
}

std::vector<directory_change> directory_builder::applyLostReport(const store_object &object,
                                                                 known_server &known,
                                                                 const registered_server &entry,
                                                                 time_point now)
{
    const registered_server last = known.server.entry;
    registered_server counted = entry;
    counted.reportCount = last.reportCount;
    counted.coldRemaining = last.coldRemaining;
    const bool isLater = std::pair(entry.startedAt, entry.reportCount)
                         > std::pair(last.startedAt, last.reportCount);
    if (known.departedAt || !isLater || counted == last) {
        return {};
    }
    const registered_server inStore = known.outdatedEntry.value_or(last);
    adoptEntry(known, entry, now);
    known.outdatedEntry = inStore;
    known.outdatedUntil = now + m_times.heartbeat * OutdatedEntryHeartbeats;
    return {{"backend_server_updated", object.name, object.revision,
             describeServer(entry) + ", lost by the store"}};
}

bool directory_builder::isOutdated(const known_server &known, const store_object &object,
                                   const registered_server &entry)
{
    if (object.era <= known.server.position.era) {
        return false;
    }
    const registered_server &last = known.server.entry;
    const std::pair lastReport(last.startedAt, last.reportCount);
    const std::pair report(entry.startedAt, entry.reportCount);
    return known.departedAt ? report <= lastReport : report < lastReport;
}

void directory_builder::adoptEntry(known_server &known, const registered_server &entry,
                                   time_point now)
{
    known.server.entry = entry;
    if (known.server.token == flow_token{}) {
        known.server.token = tokenOf(entry.key);
    }
    known.server.availability =
            entry.draining ? server_availability::Draining : server_availability::Usable;
    known.coldness.onReport(known.server.position, entry.coldRemaining, now);
    expectColdAfterEvacuation(known);
    known.lapsesAt.reset();
    known.departedAt.reset();
    known.outdatedEntry.reset();
}

directory_change directory_builder::removeServer(const std::string &name, known_server &known,
                                                 store_position position, time_point now)
{
    known.server.position = std::max(known.server.position, position);
    known.outdatedEntry.reset();
    const bool mayReregister = m_lapseGraceUntil && now < *m_lapseGraceUntil
                               && known.server.availability == server_availability::Usable;
    if (mayReregister) {
        known.lapsesAt = *m_lapseGraceUntil;
        return {"backend_server_lapsed", name, position.revision,
                "its entry lapsed during an outage of the store; it may register again"};
    }
    known.server.availability = server_availability::Departed;
    known.departedAt = now;
    return {"backend_server_departed", name, position.revision, "its entry is gone"};
}

std::vector<directory_change> directory_builder::applyDesiredState(const store_object &object)
{
    const auto *state = object.value ? std::get_if<desired_state>(&*object.value) : nullptr;
    // A peer may know a version that the store has lost.
    const bool isLaterVersion = state && m_routes && state->version > m_routes->version;
    if (object.position() <= m_routesPosition && !isLaterVersion) {
        return {};
    }
    if (!state) {
        return {{"desired_state_ignored", object.name, object.revision,
                 object.deleted ? "it was deleted; the last version remains in effect"
                                : object.fault}};
    }
    m_routesPosition = std::max(m_routesPosition, object.position());
    // A version that the store lost may have been written again with another content.
    if (m_routes && state->version < m_routes->version) {
        return {{"desired_state_ignored", object.name, object.revision,
                 "version " + std::to_string(state->version) + " is older than "
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
    const store_position known =
            std::max(started == m_evacuations.end() ? store_position{} : started->second.position,
                     ended == m_endedEvacuations.end() ? store_position{} : ended->second.position);
    if (object.position() <= known) {
        return {};
    }
    if (!object.deleted) {
        m_evacuations[domain] = {object.position(), std::nullopt};
        return {{"evacuation_started", domain, object.revision, object.fault}};
    }
    // Its servers are cold also if this instance has not known of the evacuation.
    return {endEvacuation(domain, object.position(), now)};
}

directory_change directory_builder::endEvacuation(const std::string &domain,
                                                  store_position position, time_point now)
{
    m_endedEvacuations[domain] = {position, now};
    m_evacuations.erase(domain);
    for (auto &[name, known] : m_servers) {
        expectColdAfterEvacuation(known);
    }
    return {"evacuation_ended", domain, position.revision, ""};
}

void directory_builder::expectColdAfterEvacuation(known_server &known)
{
    const auto ended = m_endedEvacuations.find(known.server.entry.failureDomain);
    if (ended != m_endedEvacuations.end()) {
        const auto reportDelay = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(m_times.heartbeat) * ColdReportDelayInHeartbeats);
        const duration cold = coldDurationOf(known.server.entry.service);
        known.coldness.onEvacuationEnd(ended->second.position,
                                       ended->second.at + reportDelay + cold);
    }
    known.server.coldUntil = known.coldness.until();
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
                                store_position listPosition, time_point now)
{
    const store_position known = m_positions[static_cast<std::size_t>(kind)];
    if (known != store_position{} && listPosition.era > known.era) {
        // The store lost what was written last, and the writers write it again.
        m_lapseGraceUntil = now + ReRegistrationTime;
    }
    switch (kind) {
    case store_kind::DesiredState:
        return {};
    case store_kind::BackendServers:
        return retainListedServers(listedNames, listPosition, now);
    case store_kind::Evacuations:
        return retainListedEvacuations(listedNames, listPosition, now);
    }
    return {};
}

std::vector<directory_change>
directory_builder::retainListedServers(const std::set<std::string> &listedNames,
                                       store_position listPosition, time_point now)
{
    m_serversListed = true;
    std::vector<directory_change> changes;
    for (auto &[name, known] : m_servers) {
        if (listedNames.contains(name) || known.server.position > listPosition) {
            continue;
        }
        known.outdatedEntry.reset();
        if (known.departedAt || known.lapsesAt) {
            continue;
        }
        changes.push_back(removeServer(name, known, listPosition, now));
    }
    return changes;
}

std::vector<directory_change>
directory_builder::retainListedEvacuations(const std::set<std::string> &listedNames,
                                           store_position listPosition, time_point now)
{
    std::vector<std::string> ended;
    for (auto &[domain, known] : m_evacuations) {
        if (listedNames.contains(domain) || known.position > listPosition || known.lapsesAt) {
            continue;
        }
        if (known.position.era < listPosition.era) {
            known.lapsesAt = m_lapseGraceUntil;
        }
        if (!known.lapsesAt) {
            ended.push_back(domain);
        }
    }
    std::vector<directory_change> changes;
    changes.reserve(ended.size());
    for (const std::string &domain : ended) {
        changes.push_back(endEvacuation(domain, listPosition, now));
    }
    return changes;
}

void directory_builder::advancePosition(store_kind kind, store_position position)
{
    store_position &known = m_positions[static_cast<std::size_t>(kind)];
    known = std::max(known, position);
}

std::vector<directory_change> directory_builder::integrate(const exported_knowledge &exported,
                                                           time_point now)
{
    std::vector<directory_change> changes;
    const auto merge = [&](store_kind kind, const std::vector<store_object> &objects) {
        const store_position since = exported.since[static_cast<std::size_t>(kind)];
        const store_position position = exported.positions[static_cast<std::size_t>(kind)];
        const store_position own = m_positions[static_cast<std::size_t>(kind)];
        const bool isComplete = since == store_position{};
        if (position < own || (!isComplete && own < since)) {
            return;
        }
        std::set<std::string> names;
        for (const store_object &object : objects) {
            names.insert(object.name);
            std::ranges::move(apply(kind, object, now), std::back_inserter(changes));
        }
        if (isComplete && position != own) {
            std::ranges::move(retainListed(kind, names, position, now),
                              std::back_inserter(changes));
        }
        advancePosition(kind, position);
    };
    const auto objectOf = [](const std::string &name, store_position position, store_value value) {
        return store_object{name, position.revision, false, std::move(value), {}, position.era};
    };
    std::vector<store_object> servers;
    for (const exported_object &item : exported.servers) {
        store_object object = objectOf(item.name, item.position, item.server);
        if (item.departed) {
            object.deleted = true;
            object.value.reset();
        }
        servers.push_back(std::move(object));
    }
    std::vector<store_object> evacuations;
    for (const exported_object &item : exported.evacuations) {
        evacuations.push_back(objectOf(item.name, item.position, evacuation{item.name}));
    }
    const bool isStateKnown =
            exported.since[static_cast<std::size_t>(store_kind::DesiredState)] != store_position{};
    if (exported.hasDesiredState) {
        merge(store_kind::DesiredState,
              {objectOf("", exported.desiredPosition, exported.desiredState)});
    } else if (isStateKnown) {
        merge(store_kind::DesiredState, {});
    }
    merge(store_kind::BackendServers, servers);
    merge(store_kind::Evacuations, evacuations);
    std::ranges::move(takeOverDepartures(exported, now), std::back_inserter(changes));
    std::ranges::move(takeOverEndedEvacuations(exported, now), std::back_inserter(changes));
    std::ranges::move(takeOverColdEstimates(exported, now), std::back_inserter(changes));
    takeOverLapses(exported, now);
    takeOverOutdatedEntries(exported, now);
    return changes;
}

std::vector<directory_change>
directory_builder::takeOverColdEstimates(const exported_knowledge &exported, time_point now)
{
    std::vector<directory_change> changes;
    for (const exported_object &item : exported.servers) {
        const auto found = m_servers.find(item.name);
        if (item.departed || found == m_servers.end()) {
            continue;
        }
        known_server &known = found->second;
        if (known.departedAt || known.server.position != item.position
            || known.server.entry.startedAt != item.server.startedAt) {
            continue;
        }
        const time_point before = known.server.coldUntil;
        known.coldness.onPeerEstimate(item.server.coldRemaining, now);
        known.server.coldUntil = known.coldness.until();
        if (known.server.coldUntil > std::max(before, now)) {
            changes.push_back({"backend_server_updated", item.name, item.position.revision,
                               describeServer(item.server) + ", according to a peer"});
        }
    }
    return changes;
}

std::vector<directory_change>
directory_builder::takeOverEndedEvacuations(const exported_knowledge &exported, time_point now)
{
    constexpr auto Kind = static_cast<std::size_t>(store_kind::Evacuations);
    std::vector<directory_change> changes;
    const store_position own = m_positions[Kind];
    if (exported.positions[Kind] >= own) {
        return changes;
    }
    for (const exported_object &item : exported.evacuations) {
        const auto ended = m_endedEvacuations.find(item.name);
        const bool isKnown =
                m_evacuations.contains(item.name)
                || (ended != m_endedEvacuations.end() && ended->second.position >= item.position);
        // In another era the store may have lost it, and its writer writes it again.
        if (isKnown || item.position.era != own.era) {
            continue;
        }
        changes.push_back(endEvacuation(item.name, own, now));
    }
    return changes;
}

std::vector<directory_change>
directory_builder::takeOverDepartures(const exported_knowledge &exported, time_point now)
{
    std::vector<directory_change> changes;
    if (!exported.hasAllServers()) {
        return changes;
    }
    for (const exported_object &item : exported.servers) {
        if (!item.departed || m_servers.contains(item.name)) {
            continue;
        }
        known_server &known = m_servers[item.name];
        adoptEntry(known, item.server, now);
        known.server.position = item.position;
        known.server.availability = server_availability::Departed;
        known.departedAt = now;
        changes.push_back({"backend_server_departed", item.name, item.position.revision,
                           "it departed before this instance started"});
    }
    return changes;
}

void directory_builder::takeOverLapses(const exported_knowledge &exported, time_point now)
{
    for (const exported_object &item : exported.servers) {
        const auto found = m_servers.find(item.name);
        if (!item.graceRemaining || found == m_servers.end()
            || found->second.server.position > item.position || found->second.departedAt) {
            continue;
        }
        found->second.lapsesAt = now + *item.graceRemaining;
    }
    for (const exported_object &item : exported.evacuations) {
        const auto found = m_evacuations.find(item.name);
        if (!item.graceRemaining || found == m_evacuations.end()
            || found->second.position > item.position) {
            continue;
        }
        found->second.lapsesAt = now + *item.graceRemaining;
    }
}

void directory_builder::takeOverOutdatedEntries(const exported_knowledge &exported, time_point now)
{
    const auto kind = static_cast<std::size_t>(store_kind::BackendServers);
    if (exported.positions[kind] != m_positions[kind]) {
        // The sender is behind; a list received since may lack these servers.
        return;
    }
    for (const exported_object &item : exported.outdatedServers) {
        if (!item.graceRemaining) {
            continue;
        }
        const auto [found, isNew] = m_servers.try_emplace(item.name);
        known_server &known = found->second;
        if (isNew) {
            adoptEntry(known, item.server, now);
        }
        if (item.departed && !known.departedAt) {
            known.lapsesAt.reset();
            known.server.availability = server_availability::Departed;
            known.departedAt = now;
        }
        known.server.position = std::max(known.server.position, item.position);
        known.outdatedEntry = item.server;
        known.outdatedUntil = now + *item.graceRemaining;
    }
}

exported_knowledge directory_builder::exportKnowledge(time_point now,
                                                      const known_positions &since) const
{
    const auto remaining = [now](std::optional<time_point> end) {
        return end ? std::optional(std::chrono::ceil<std::chrono::milliseconds>(
                       std::max(duration::zero(), *end - now)))
                   : std::nullopt;
    };
    exported_knowledge exported;
    exported.positions = m_positions;
    for (const store_kind kind : {store_kind::DesiredState, store_kind::BackendServers}) {
        const auto index = static_cast<std::size_t>(kind);
        const bool areChangesKnown =
                since[index].era == m_positions[index].era
                && (kind != store_kind::BackendServers || since[index] >= m_forgottenUpTo);
        exported.since[index] = areChangesKnown ? since[index] : store_position{};
    }
    const store_position sinceState =
            exported.since[static_cast<std::size_t>(store_kind::DesiredState)];
    const store_position sinceServers =
            exported.since[static_cast<std::size_t>(store_kind::BackendServers)];
    const bool sendsAllServers = sinceServers == store_position{};
    if (m_routes && (sinceState == store_position{} || m_routesPosition > sinceState)) {
        exported.hasDesiredState = true;
        exported.desiredPosition = m_routesPosition;
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
        exported_object item{
                name, known.server.position, known.server.entry, known.departedAt.has_value(), {}};
        if (known.outdatedEntry) {
            exported_object outdated = item;
            outdated.server = *known.outdatedEntry;
            outdated.graceRemaining = remaining(known.outdatedUntil);
            exported.outdatedServers.push_back(std::move(outdated));
        }
        const bool isForgotten = item.departed && !known.sharesToken;
        if (sendsAllServers ? isForgotten : known.server.position <= sinceServers) {
            continue;
        }
        item.server.coldRemaining = std::chrono::ceil<std::chrono::milliseconds>(
                std::max(duration::zero(), known.server.coldUntil - now));
        item.graceRemaining = remaining(known.lapsesAt);
        exported.servers.push_back(std::move(item));
    }
    for (const auto &[domain, known] : m_evacuations) {
        exported.evacuations.push_back(
                {domain, known.position, {}, false, remaining(known.lapsesAt)});
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
            changes.push_back({"backend_server_departed", it->first, known.server.position.revision,
                               "it did not register again after the outage of the store"});
        }
        if (known.outdatedEntry && now >= known.outdatedUntil) {
            const registered_server entry = *known.outdatedEntry;
            adoptEntry(known, entry, now);
            changes.push_back({"backend_server_updated", it->first, known.server.position.revision,
                               describeServer(entry)});
        }
        if (known.departedAt && now - *known.departedAt > DepartedRetention) {
            m_forgottenUpTo = std::max(m_forgottenUpTo, known.server.position);
            it = m_servers.erase(it);
            continue;
        }
        ++it;
    }
    std::vector<std::string> lost;
    for (const auto &[domain, known] : m_evacuations) {
        if (known.lapsesAt && now >= *known.lapsesAt) {
            lost.push_back(domain);
        }
    }
    for (const std::string &domain : lost) {
        // The store does not tell when it ended, only that it had not up to this position.
        const store_position known =
                std::max(m_evacuations[domain].position,
                         m_positions[static_cast<std::size_t>(store_kind::Evacuations)]);
        changes.push_back(endEvacuation(domain, known, now));
    }
    return changes;
}

void directory_builder::chooseTokens()
{
    token_claims claims;
    for (const auto &[name, known] : m_servers) {
        claims.add(known.server.entry);
    }
    for (auto &[name, known] : m_servers) {
        directory_server &server = known.server;
        const auto token = claims.choose(server.entry, server.token);
        const bool isChange =
                server.ambiguousToken == token.has_value() || (token && *token != server.token);
        server.ambiguousToken = !token;
        server.token = token.value_or(server.token);
        known.sharesToken = claims.isShared(tokenOf(server.entry.key));
        if (isChange) {
            m_tokenChanges.push_back(
                    {"backend_server_token_shared", name, server.position.revision,
                     token ? "another server has the same token; new flows get the second one"
                           : "other servers have the same tokens; it gets no new flows"});
        }
    }
}

std::shared_ptr<const directory> directory_builder::snapshot()
{
    chooseTokens();
    std::vector<directory_server> servers;
    servers.reserve(m_servers.size());
    for (const auto &[name, known] : m_servers) {
        directory_server server = known.server;
        server.evacuated = m_evacuations.contains(server.entry.failureDomain);
        servers.push_back(std::move(server));
    }
    return std::make_shared<directory>(
            ++m_serial, m_routes ? m_routes : std::make_shared<route_table>(), std::move(servers));
}

std::vector<directory_change> directory_builder::takeTokenChanges()
{
    return std::exchange(m_tokenChanges, {});
}

} // namespace ebonyway
