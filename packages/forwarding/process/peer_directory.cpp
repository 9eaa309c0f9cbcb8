#include "forwarding/process/peer_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Time without a message after which a peer no longer counts as live: three missed heartbeats of
// 250 ms. Within the platform's limit of 3 s this leaves time to read the store.
constexpr duration LiveTimeout = 800ms;

// Maximum number of peers to track, several times the largest deployment in the capacity plan (480
// instances). Messages are not authenticated, so the limit keeps forged names from exhausting
// memory.
constexpr std::size_t MaxPeers = 2'000;

// Time without a message after which a peer is forgotten. A peer that comes back contacts the other
// instances itself.
constexpr duration PeerRetention = 60s;

// Number of instances up to which every instance sends heartbeats to all others, so that loads and
// changes spread at once. In larger deployments regular heartbeats go to a few random instances of
// each failure domain, so the number that an instance receives does not grow with the deployment.
// The store reader, and any instance after a change, also sends to all instances of its own domain.
constexpr std::size_t FullMeshInstances = 16;

// Number of random instances in each failure domain that get a regular heartbeat in deployments
// larger than FullMeshInstances.
constexpr std::size_t RandomTargetsPerDomain = 2;

// Replaces LiveTimeout in the detection of silent failure domains in deployments larger than
// FullMeshInstances. There an instance receives about eight heartbeats a second from every domain
// on average, so two seconds without one are unlikely to be chance.
constexpr duration SparseLiveTimeout = 2s;

// Time per peer within which nearly all peers of a deployment larger than FullMeshInstances are
// heard: 24 random ones are heard in a second, and of five times as many as there are, few are
// missing.
constexpr duration HearingTimePerPeer = 200ms;

// Time during which an instance that has not handed over its knowledge is asked only if no other
// has it. A failed pull takes 500 ms, so two others can be asked meanwhile.
constexpr duration FailedPullAvoidance = 1500ms;

// How much earlier an instance must have started to count as one that ran before this one. All
// instances of a deployment start within 300 ms, and their wall clocks differ.
constexpr std::chrono::milliseconds MinEarlierStart = 2s;

// Maximum number of other instances listed in a heartbeat; at 60 bytes each they leave room for
// loads.
constexpr std::size_t MaxListedPeers = 6;

std::uint64_t readerScore(const peer_entry &entry)
{
    return XXH3_64bits(entry.name.data(), entry.name.size());
}

} // namespace

peer_directory::peer_directory(peer_entry self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
{ }

void peer_directory::setSeeds(std::vector<endpoint> seeds)
{
    std::erase(seeds, m_self.address);
    m_seeds = std::move(seeds);
}

void peer_directory::addReportedPeer(const peer_entry &entry, time_point now)
{
    if (entry.name == m_self.name || entry.isLeaving) {
        return;
    }
    if (!m_peers.contains(entry.name)) {
        if (m_peers.size() >= MaxPeers) {
            return;
        }
        m_peers[entry.name].heardAt = now;
    }
    peer_record &peer = m_peers[entry.name];
    const bool isNewer = std::pair(entry.boot, entry.heartbeat)
                         > std::pair(peer.entry.boot, peer.entry.heartbeat);
    if (!peer.heardDirectly && isNewer) {
        peer.entry = entry;
    }
}

void peer_directory::onMessage(const peer_message &message, time_point now)
{
    const bool isKnown = m_peers.contains(message.sender.name);
    if (message.sender.name == m_self.name || (!isKnown && m_peers.size() >= MaxPeers)) {
        return;
    }
    peer_record &peer = m_peers[message.sender.name];
    const bool isOlder = std::pair(message.sender.boot, message.sender.heartbeat)
                         < std::pair(peer.entry.boot, peer.entry.heartbeat);
    if (isOlder && isLive(peer, now)) {
        return;
    }
    peer = peer_record{message.sender, message.positions, message.loads, now,
                       true,           peer.pullFailedAt};
    for (const peer_entry &entry : message.otherPeers) {
        addReportedPeer(entry, now);
    }
}

bool peer_directory::isLive(const peer_record &peer, time_point now) const
{
    return peer.heardDirectly && now - peer.heardAt <= LiveTimeout && !peer.entry.isLeaving;
}

peer_message peer_directory::heartbeat(const known_positions &positions,
                                       std::vector<peer_server_load> loads,
                                       std::vector<service_demand> demands)
{
    ++m_self.heartbeat;
    peer_message message{m_self, positions, {}, std::move(loads), std::move(demands)};
    if (m_peers.empty()) {
        return message;
    }
    const std::size_t skip = m_random.below(m_peers.size());
    std::size_t index = 0;
    for (int round = 0; round < 2; ++round) {
        for (const auto &[name, peer] : m_peers) {
            const bool due = round == 0 ? index >= skip : index - m_peers.size() < skip;
            ++index;
            if (due && peer.heardDirectly && message.otherPeers.size() < MaxListedPeers) {
                message.otherPeers.push_back(peer.entry);
            }
        }
    }
    return message;
}

heartbeat_targets peer_directory::targets(bool afterChange, time_point now)
{
    std::erase_if(m_peers,
                  [now](const auto &item) { return now - item.second.heardAt > PeerRetention; });
    heartbeat_targets targets;
    const bool sendsToDomain = afterChange || isStoreReader(now);
    const bool fullMesh = m_peers.size() < FullMeshInstances;
    std::map<std::string, std::vector<endpoint>> others;
    for (const auto &[name, peer] : m_peers) {
        const bool sameDomain = peer.entry.failureDomain == m_self.failureDomain;
        if (fullMesh || (sameDomain && sendsToDomain)) {
            targets.near.push_back(peer.entry.address);
            continue;
        }
        others[peer.entry.failureDomain].push_back(peer.entry.address);
    }
    for (auto &[domain, addresses] : others) {
        auto &chosenOnes = domain == m_self.failureDomain ? targets.near : targets.far;
        for (std::size_t i = 0; i < RandomTargetsPerDomain && !addresses.empty(); ++i) {
            const std::size_t chosen = m_random.below(addresses.size());
            chosenOnes.push_back(addresses[chosen]);
            addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    for (const endpoint &seed : m_seeds) {
        // Seed addresses may be stale, so once other instances are known they are contacted rarely.
        const bool isKnown = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
            return item.second.entry.address == seed;
        });
        if (!isKnown && (m_peers.empty() || m_random.below(8) == 0)) {
            targets.near.push_back(seed);
        }
    }
    return targets;
}

bool peer_directory::isStoreReader(time_point now) const
{
    for (const auto &[name, peer] : m_peers) {
        const bool mayRead = peer.entry.failureDomain == m_self.failureDomain
                             && peer.entry.storeAnswers && isLive(peer, now);
        if (!mayRead) {
            continue;
        }
        const bool hasPrecedence = !m_self.storeAnswers
                                   || std::pair(readerScore(peer.entry), name)
                                              < std::pair(readerScore(m_self), m_self.name);
        if (hasPrecedence) {
            return false;
        }
    }
    return true;
}

bool peer_directory::hearsStoreReader(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.second.entry.storeAnswers && isLive(item.second, now);
    });
}

std::optional<endpoint> peer_directory::findPeerWithNewerPosition(const known_positions &own,
                                                                  time_point now)
{
    std::vector<endpoint> candidates;
    std::pair<bool, bool> bestRank;
    for (const auto &[name, peer] : m_peers) {
        const duration sinceFailure =
                peer.pullFailedAt ? now - *peer.pullFailedAt : duration::max();
        if (!isLive(peer, now) || !isAhead(peer.positions, own)) {
            continue;
        }
        const std::pair rank(sinceFailure >= FailedPullAvoidance,
                             peer.entry.failureDomain == m_self.failureDomain);
        if (candidates.empty() || rank > bestRank) {
            candidates.clear();
            bestRank = rank;
        }
        if (rank == bestRank) {
            candidates.push_back(peer.entry.address);
        }
    }
    return candidates.empty() ? std::nullopt
                              : std::optional(candidates[m_random.below(candidates.size())]);
}

bool peer_directory::startedEarlier(const peer_record &peer) const
{
    return peer.heardDirectly
           && peer.entry.boot + static_cast<std::uint64_t>(MinEarlierStart.count()) < m_self.boot;
}

bool peer_directory::startedEarlier(const endpoint &address) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.second.entry.address == address && startedEarlier(item.second);
    });
}

std::optional<endpoint> peer_directory::findEarlierPeer(const known_positions &own, time_point now)
{
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    for (const auto &[name, peer] : m_peers) {
        const bool hasJustFailed =
                peer.pullFailedAt && now - *peer.pullFailedAt < FailedPullAvoidance;
        if (!isLive(peer, now) || !startedEarlier(peer) || hasJustFailed) {
            continue;
        }
        if (isAhead(own, peer.positions)) {
            continue;
        }
        const bool isNear = peer.entry.failureDomain == m_self.failureDomain;
        (isNear ? near : far).push_back(peer.entry.address);
    }
    const std::vector<endpoint> &candidates = near.empty() ? far : near;
    return candidates.empty() ? std::nullopt
                              : std::optional(candidates[m_random.below(candidates.size())]);
}

void peer_directory::onPullFailed(const endpoint &address, time_point now)
{
    for (auto &[name, peer] : m_peers) {
        if (peer.entry.address == address) {
            peer.pullFailedAt = now;
        }
    }
}

std::set<std::string> peer_directory::silentDomains(time_point now) const
{
    std::set<std::string> silent;
    std::set<std::string> heard;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.heardDirectly || peer.entry.failureDomain == m_self.failureDomain) {
            continue;
        }
        const duration limit = m_peers.size() < FullMeshInstances ? LiveTimeout : SparseLiveTimeout;
        const bool isHeard = !peer.entry.isLeaving && now - peer.heardAt <= limit;
        (isHeard ? heard : silent).insert(peer.entry.failureDomain);
    }
    for (const std::string &domain : heard) {
        silent.erase(domain);
    }
    return silent;
}

std::map<std::string, std::vector<std::string>> peer_directory::knownInstances(time_point now) const
{
    std::map<std::string, std::vector<std::string>> names;
    names[m_self.failureDomain].push_back(m_self.name);
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.heardAt <= PeerRetention) {
            names[peer.entry.failureDomain].push_back(name);
        }
    }
    return names;
}

std::map<std::string, std::size_t> peer_directory::runningInstances(time_point now) const
{
    duration limit = SparseLiveTimeout;
    if (m_peers.size() >= FullMeshInstances) {
        limit = std::max(limit, HearingTimePerPeer * static_cast<int>(m_peers.size()));
    }
    std::map<std::string, std::size_t> counts;
    ++counts[m_self.failureDomain];
    for (const auto &[name, peer] : m_peers) {
        if (!peer.entry.isLeaving && now - peer.heardAt <= limit) {
            ++counts[peer.entry.failureDomain];
        }
    }
    return counts;
}

std::size_t peer_directory::knownInstanceCount(time_point now) const
{
    std::size_t count = 1;
    for (const auto &[name, peer] : m_peers) {
        // Silent instances may only be unreachable from here and still send to cold servers.
        count += now - peer.heardAt <= PeerRetention ? 1 : 0;
    }
    return count;
}

std::vector<peer_server_load> peer_directory::peerLoads(time_point now) const
{
    std::map<server_key, peer_server_load> sums;
    for (const auto &[name, peer] : m_peers) {
        if (!isLive(peer, now)) {
            continue;
        }
        for (const peer_server_load &load : peer.loads) {
            peer_server_load &sum = sums[load.server];
            sum.server = load.server;
            sum.flowCount += load.flowCount;
            sum.suspiciousInstances += std::min(load.suspiciousInstances, 1U);
            if (load.answeredAgo < peer_server_load::NeverAnswered) {
                const duration age = load.answeredAgo + (now - peer.heardAt);
                sum.answeredAgo = std::min(sum.answeredAgo,
                                           std::chrono::floor<std::chrono::milliseconds>(age));
            }
        }
    }
    std::vector<peer_server_load> loads;
    loads.reserve(sums.size());
    for (const auto &[key, load] : sums) {
        loads.push_back(load);
    }
    return loads;
}

} // namespace ebonyway
