#include "forwarding/connection/cold_start_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Instances that may send to one cold server. In any second each may send one flow more than its
// part of the rate, so they have to be few: the tolerance of the cold rate is five flows and half
// of the rate, and two sides of a network partition may each appoint their own.
constexpr std::size_t MaxSenders = 2;

// Time after the first list of instances during which this instance sends nothing to cold servers.
// It does not know all instances yet and might take itself for a sender.
constexpr duration DiscoveryTime = 2s;

// How long a server stays recorded after it was last asked about.
constexpr duration IdleLifetime = 30s;

} // namespace

cold_start_quota::cold_start_quota(std::string instance, std::uint64_t seed)
    : m_instance(std::move(instance))
    , m_random(seed)
{ }

void cold_start_quota::setInstances(std::map<std::string, std::vector<std::string>> instances,
                                    time_point now)
{
    if (m_instancesVersion == 0) {
        m_knownSince = now;
    } else if (instances == m_instances) {
        return;
    }
    m_instances = std::move(instances);
    ++m_instancesVersion;
}

std::size_t cold_start_quota::sendersOf(server_key server, const std::string &failureDomain) const
{
    const auto score = [server](const std::string &name) {
        return std::pair(XXH3_64bits_withSeed(name.data(), name.size(), server.value), name);
    };
    const auto own = score(m_instance);
    std::size_t before = 0;
    std::size_t count = 0;
    bool isListed = false;
    const auto home = m_instances.find(failureDomain);
    const bool hasHome = home != m_instances.end() && !home->second.empty();
    for (const auto &[domain, names] : m_instances) {
        if (hasHome && domain != failureDomain) {
            continue;
        }
        for (const std::string &name : names) {
            ++count;
            isListed = isListed || name == m_instance;
            before += score(name) < own ? 1 : 0;
        }
    }
    return isListed && before < MaxSenders ? std::min(count, MaxSenders) : 0;
}

bool cold_start_quota::allows(server_key server, const std::string &failureDomain,
                              double requestsPerSecond, time_point now)
{
    if (requestsPerSecond <= 0 || m_instancesVersion == 0 || now - m_knownSince < DiscoveryTime) {
        return false;
    }
    const auto [found, isNew] = m_servers.try_emplace(server);
    server_quota &quota = found->second;
    if (isNew || quota.instancesVersion != m_instancesVersion) {
        quota.instancesVersion = m_instancesVersion;
        const std::size_t sendersBefore =
                std::exchange(quota.senders, sendersOf(server, failureDomain));
        if (sendersBefore == 0 && quota.senders > 0) {
            // Instances that succeed to senders may not send at once: with many changes in a
            // second, their first flows would add up to more than the server bears.
            const std::chrono::duration<double> interval(static_cast<double>(quota.senders)
                                                         / requestsPerSecond);
            const auto first =
                    now + std::chrono::duration_cast<duration>(interval * m_random.unit());
            quota.nextAllowed = std::max(quota.nextAllowed, first);
        }
    }
    quota.lastAsked = now;
    return quota.senders > 0 && now >= quota.nextAllowed;
}

void cold_start_quota::spend(server_key server, double requestsPerSecond, time_point now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || requestsPerSecond <= 0) {
        return;
    }
    const std::chrono::duration<double> interval(static_cast<double>(found->second.senders)
                                                 / requestsPerSecond);
    found->second.nextAllowed = now + std::chrono::duration_cast<duration>(interval);
}

void cold_start_quota::removeIdle(time_point now)
{
    std::erase_if(m_servers,
                  [now](const auto &item) { return now - item.second.lastAsked > IdleLifetime; });
}

} // namespace ebonyway
