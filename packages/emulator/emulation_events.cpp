#include "emulator/emulation.h"

#include <algorithm>
#include <chrono>
#include <utility>

// The disturbances and planned changes of an emulated day.

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Times of the platform's protocol.
constexpr duration LapseTime = 3'600ms; // Three heartbeats of 1.2 s.
constexpr duration RestartTime = 600ms; // Until the platform starts a process again.
constexpr duration ServerReportInterval = 1'200ms;
constexpr std::uint64_t ReportPhases = 12; // Servers report at as many times of an interval.
constexpr duration DrainTime = 3s; // A server serves on after it has announced its end.
constexpr duration AddressReuse = 2s;
constexpr duration RewriteDelay = 1s; // Until what an older copy of the store lacks is back.
constexpr duration StopPoll = 50ms;
constexpr duration StopGrace = 6s;

bool isOneOf(const std::string &kind, std::initializer_list<const char *> kinds)
{
    return std::any_of(kinds.begin(), kinds.end(), [&](const char *one) { return kind == one; });
}

} // namespace

void emulation::schedule(const scenario_event &event)
{
    m_queue.at(m_loadStart + event.at, [this, event] { play(event); });
}

void emulation::play(const scenario_event &event)
{
    const std::string &kind = event.kind;
    if (isOneOf(kind, {"instance_kill", "instance_freeze", "rolling_stop", "instance_cut",
                       "store_cut", "loss", "narrow_link", "all_instances_kill"})) {
        playOnInstances(event);
    } else if (kind.starts_with("server_")) {
        playOnServers(event);
    } else if (isOneOf(kind, {"store_silent", "store_busy", "store_slow", "history_gone",
                              "store_restored"})) {
        playOnStore(event);
    } else if (isOneOf(kind, {"domain_cut", "domain_loss", "evacuation"})) {
        playOnDomain(event);
    } else if (kind.starts_with("route_")) {
        playOnRoutes(event);
    } else if (kind == "burst") {
        m_callers.setRate(event.strength, event.failureDomain, event.traffic);
        m_queue.after(event.length, [this, domain = event.failureDomain, traffic = event.traffic] {
            m_callers.setRate(1, domain, traffic);
        });
    }
}

std::vector<std::uint64_t> emulation::pickInstances(std::uint32_t count)
{
    std::vector<std::uint64_t> all;
    for (const auto &[id, instance] : m_instances) {
        all.push_back(id);
    }
    std::vector<std::uint64_t> picked;
    while (picked.size() < count && !all.empty()) {
        const std::size_t index = m_random.below(all.size());
        picked.push_back(all[index]);
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return picked;
}

std::vector<server_key> emulation::pickServers(const scenario_event &event)
{
    std::vector<server_key> all;
    for (const auto &[key, server] : m_servers) {
        const bool fits = server.mood() == server_mood::Serving
                          && (event.failureDomain.empty()
                              || server.entry().failureDomain == event.failureDomain);
        if (fits) {
            all.push_back(key);
        }
    }
    std::vector<server_key> picked;
    while (picked.size() < event.count && !all.empty()) {
        const std::size_t index = m_random.below(all.size());
        picked.push_back(all[index]);
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return picked;
}

std::string emulation::pickDomain(const scenario_event &event)
{
    return event.failureDomain.empty()
                   ? m_plan.failureDomains[m_random.below(m_plan.failureDomains.size())]
                   : event.failureDomain;
}

const scenario_service &emulation::serviceOf(server_key key) const
{
    const std::string &name = m_servers.at(key).entry().service;
    return *std::find_if(m_plan.services.begin(), m_plan.services.end(),
                         [&](const scenario_service &service) { return service.name == name; });
}

void emulation::killInstance(std::uint64_t id, duration pause)
{
    m_instances[id]->kill();
    m_monitor.noteInstanceDisturbed(id, m_queue.now() + pause);
    m_queue.after(pause, [this, id] {
        if (!m_instances[id]->isAlive()) {
            startInstance(id);
        }
    });
}

void emulation::stopInstance(std::uint64_t id)
{
    emulated_instance *stopped = m_instances[id];
    stopped->requestStop();
    m_monitor.noteInstanceDisturbed(id, m_queue.now() + StopGrace);
    const time_point killedAt = m_queue.now() + StopGrace;
    m_queue.every(StopPoll, [this, id, stopped, killedAt] {
        if (!stopped->isAlive()) {
            return false;
        }
        if (!stopped->mayExit() && m_queue.now() < killedAt) {
            return true;
        }
        killInstance(id, RestartTime);
        return false;
    });
}

void emulation::playOnInstances(const scenario_event &event)
{
    const time_point end = m_queue.now() + event.length;
    const bool all = event.kind == "rolling_stop" || event.kind == "all_instances_kill";
    const auto count = all ? static_cast<std::uint32_t>(m_instances.size()) : event.count;
    if (event.kind == "all_instances_kill") {
        m_allKilledAt = m_queue.now();
    }
    duration step{};
    for (const std::uint64_t id : pickInstances(count)) {
        if (event.kind == "instance_kill" || event.kind == "all_instances_kill") {
            killInstance(id, RestartTime);
            continue;
        }
        if (event.kind == "rolling_stop") {
            m_queue.after(step, [this, id] { stopInstance(id); });
            step += event.gap;
            continue;
        }
        if (event.kind != "narrow_link") {
            // A small link is how an instance is built, so it excuses nothing.
            m_monitor.noteInstanceDisturbed(id, end);
        }
        if (event.kind == "instance_freeze") {
            emulated_instance *frozen = m_instances[id];
            frozen->freeze(true);
            m_queue.at(end, [frozen] { frozen->freeze(false); });
        } else if (event.kind == "instance_cut") {
            m_network.setInstanceCut(id, true);
            m_queue.at(end, [this, id] { m_network.setInstanceCut(id, false); });
        } else if (event.kind == "store_cut") {
            m_network.setStoreCut(id, true);
            m_queue.at(end, [this, id] { m_network.setStoreCut(id, false); });
        } else {
            m_network.setLoss(id, event.strength / 100.0);
            m_queue.at(end, [this, id] { m_network.setLoss(id, 0); });
        }
    }
}

void emulation::crashServer(server_key key, server_mood mood)
{
    emulated_server &server = m_servers.at(key);
    server.setMood(mood);
    m_monitor.noteServerDisturbed(key, m_queue.now());
    m_queue.after(LapseTime, [this, key, life = server.life()] {
        if (m_servers.at(key).life() == life && !m_servers.at(key).serves()) {
            m_store.remove(store_kind::BackendServers, storeName(key));
        }
    });
}

void emulation::reviveServer(server_key key)
{
    emulated_server &server = m_servers.at(key);
    if (server.mood() != server_mood::Crashed) {
        return;
    }
    m_monitor.noteServerDisturbed(key, m_queue.now());
    server.setMood(server_mood::Serving);
    registered_server &entry = server.entry();
    entry.startedAt += std::chrono::milliseconds(1);
    entry.reportCount = 0;
    makeCold(key);
    entry.coldRemaining = serviceOf(key).coldTime;
    m_store.put(store_kind::BackendServers, storeName(key), entry);
}

void emulation::makeCold(server_key key)
{
    emulated_server &server = m_servers.at(key);
    server.setColdUntil(m_queue.now() + serviceOf(key).coldTime);
    // Each server has its own phase, so that the reports of a domain are spread.
    const duration untilReport =
            ServerReportInterval * (key.value % ReportPhases + 1) / ReportPhases;
    m_queue.after(untilReport, [this, key, life = server.life()] { reportCold(key, life); });
}

void emulation::reportCold(server_key key, std::uint64_t life)
{
    emulated_server &server = m_servers.at(key);
    registered_server &entry = server.entry();
    if (server.life() != life || server.mood() != server_mood::Serving) {
        return;
    }
    const duration remaining = std::max(duration::zero(), server.coldUntil() - m_queue.now());
    entry.coldRemaining = std::chrono::ceil<std::chrono::milliseconds>(remaining);
    ++entry.reportCount;
    m_store.put(store_kind::BackendServers, storeName(key), entry);
    if (remaining > duration::zero()) {
        m_queue.after(ServerReportInterval, [this, key, life] { reportCold(key, life); });
    }
}

void emulation::drainServer(server_key key)
{
    emulated_server &server = m_servers.at(key);
    if (server.mood() != server_mood::Serving) {
        return;
    }
    server.setMood(server_mood::Draining);
    server.entry().draining = true;
    ++server.entry().reportCount;
    m_store.put(store_kind::BackendServers, storeName(key), server.entry());
    m_monitor.noteDraining(key);
    m_queue.after(DrainTime, [this, key] {
        // A server that has crashed meanwhile does not come back either.
        m_store.remove(store_kind::BackendServers, storeName(key));
        m_queue.after(DrainTime, [this, key] {
            m_servers.at(key).setMood(server_mood::Departed);
            m_monitor.noteServerDisturbed(key, m_queue.now());
        });
    });
}

void emulation::playOnServers(const scenario_event &event)
{
    duration step{};
    for (const server_key key : pickServers(event)) {
        emulated_server &server = m_servers.at(key);
        const scenario_service &service = serviceOf(key);
        const std::string domain = server.entry().failureDomain;
        if (event.kind == "server_crash") {
            crashServer(key, server_mood::Crashed);
            m_queue.after(event.length, [this, key] { reviveServer(key); });
        } else if (event.kind == "server_replace") {
            m_queue.after(step, [this, key, &service, domain] {
                addServer(service, domain, true);
                drainServer(key);
            });
            step += event.gap;
        } else if (event.kind == "server_drain") {
            drainServer(key);
        } else if (event.kind == "server_reuse") {
            crashServer(key, server_mood::Departed);
            const endpoint address = server.entry().address;
            for (const scenario_service &other : m_plan.services) {
                if (other.name == service.name) {
                    continue;
                }
                m_queue.after(AddressReuse, [this, &other, domain, address] {
                    addServer(other, domain, true, address);
                });
                break;
            }
        } else if (event.kind == "server_slow") {
            server.setWorkFactor(event.strength);
            m_monitor.noteServerDisturbed(key, m_queue.now() + event.length);
            m_queue.after(event.length, [this, key] { m_servers.at(key).setWorkFactor(1); });
        } else if (event.kind == "server_hang") {
            server.setMood(server_mood::Hanging);
            m_monitor.noteServerDisturbed(key, m_queue.now() + event.length);
            m_queue.after(event.length, [this, key] {
                if (m_servers.at(key).mood() == server_mood::Hanging) {
                    m_servers.at(key).setMood(server_mood::Serving);
                    runServer(key);
                }
            });
        }
    }
}

void emulation::playOnStore(const scenario_event &event)
{
    m_monitor.noteStoreDisturbed(m_queue.now() + event.length);
    if (event.kind == "history_gone") {
        m_monitor.noteStoreDisturbed(m_queue.now());
        m_store.dropHistory();
        return;
    }
    if (event.kind == "store_slow") {
        m_store.setSlowness(std::max(1U, static_cast<std::uint32_t>(event.strength)));
        m_queue.after(event.length, [this] { m_store.setSlowness(1); });
        return;
    }
    if (event.kind == "store_restored") {
        const std::chrono::duration<double> age(event.strength);
        const time_point copyTime = m_queue.now() - std::chrono::duration_cast<duration>(age);
        m_monitor.noteStoreDisturbed(m_queue.now() + event.length + RewriteDelay);
        m_store.setCondition(store_condition::Silent);
        m_queue.after(event.length, [this, copyTime] {
            m_store.restoreCopy(copyTime, RewriteDelay);
            m_store.setCondition(store_condition::Serving);
        });
        return;
    }
    m_store.setCondition(event.kind == "store_busy" ? store_condition::TurningAway
                                                    : store_condition::Silent);
    m_queue.after(event.length, [this] { m_store.setCondition(store_condition::Serving); });
}

void emulation::playOnDomain(const scenario_event &event)
{
    const std::string domain = pickDomain(event);
    const time_point end = m_queue.now() + event.length;
    if (event.kind == "evacuation") {
        m_store.put(store_kind::Evacuations, domain, evacuation{domain});
        m_monitor.noteEvacuation(domain, true);
        m_queue.at(end, [this, domain] {
            for (const auto &[key, server] : m_servers) {
                if (server.mood() == server_mood::Serving
                    && server.entry().failureDomain == domain) {
                    makeCold(key);
                }
            }
            m_store.remove(store_kind::Evacuations, domain);
            m_monitor.noteEvacuation(domain, false);
        });
        return;
    }
    for (const auto &[id, instance] : m_instances) {
        if (instance->where().failureDomain == domain) {
            m_monitor.noteInstanceDisturbed(id, end);
        }
    }
    for (auto &[key, server] : m_servers) {
        if (server.entry().failureDomain == domain) {
            m_monitor.noteServerDisturbed(key, end);
        }
    }
    if (event.kind == "domain_cut") {
        m_network.setDomainCut(domain, true);
        m_queue.at(end, [this, domain] { m_network.setDomainCut(domain, false); });
        return;
    }
    for (const auto &[id, instance] : m_instances) {
        if (instance->where().failureDomain == domain) {
            killInstance(id, event.length + RestartTime);
        }
    }
    std::vector<server_key> lost;
    for (const auto &[key, server] : m_servers) {
        if (server.entry().failureDomain == domain && server.serves()) {
            lost.push_back(key);
        }
    }
    for (const server_key key : lost) {
        crashServer(key, server_mood::Crashed);
        m_queue.at(end, [this, key] { reviveServer(key); });
    }
}

void emulation::playOnRoutes(const scenario_event &event)
{
    const std::size_t last = m_plan.traffic.size() - 1;
    const bool withdraws = event.kind == "route_removed";
    if (withdraws) {
        m_withdrawnTraffic.insert(last);
    } else {
        m_withdrawnTraffic.erase(last);
    }
    writeDesiredState();
    m_monitor.noteRoute(trafficAddress(last), !withdraws);
}

} // namespace ebonyway
