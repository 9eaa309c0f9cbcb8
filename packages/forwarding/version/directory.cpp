#include "forwarding/version/directory.h"

#include <xxhash.h>

#include <tuple>
#include <utility>

namespace ebonyway {

const char *storeKindName(store_kind kind)
{
    switch (kind) {
    case store_kind::DesiredState:
        return "desired_state";
    case store_kind::BackendServers:
        return "backend_servers";
    case store_kind::Evacuations:
        return "evacuations";
    }
    return "unknown";
}

flow_token tokenOf(server_key key)
{
    return tokensOf(key).front();
}

std::array<flow_token, 2> tokensOf(server_key key)
{
    // All instances must compute the same tokens, so the seeds and the byte order are fixed.
    std::uint8_t bytes[sizeof(key.value)] = {};
    for (std::size_t i = 0; i < sizeof(bytes); ++i) {
        bytes[i] = static_cast<std::uint8_t>(key.value >> (8 * i));
    }
    const auto tokenFrom = [](std::uint32_t digest) {
        return flow_token{digest == 0 ? 1 : digest};
    };
    return {tokenFrom(XXH32(bytes, sizeof(bytes), 0)),
            tokenFrom(static_cast<std::uint32_t>(XXH64(bytes, sizeof(bytes), 0) >> 32))};
}

bool precedes(const registered_server &first, const registered_server &second)
{
    return std::tie(first.startedAt, first.key, first.address)
           < std::tie(second.startedAt, second.key, second.address);
}

bool canServe(const directory &snapshot, const std::set<std::string> &silentDomains)
{
    for (const directory_server &server : snapshot.servers()) {
        if (!server.acceptsNewFlows() || silentDomains.contains(server.entry.failureDomain)) {
            continue;
        }
        return true;
    }
    return false;
}

directory::directory(std::uint64_t serial, std::shared_ptr<const route_table> routes,
                     std::vector<directory_server> servers)
    : m_serial(serial)
    , m_routes(std::move(routes))
    , m_servers(std::move(servers))
{
    const auto assign = [this](auto &indexes, auto id, std::size_t index) {
        const auto [found, isNew] = indexes.emplace(id, index);
        if (!isNew && precedes(m_servers[index].entry, m_servers[found->second].entry)) {
            found->second = index;
        }
    };
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const directory_server &server = m_servers[i];
        assign(m_byKey, server.entry.key, i);
        for (const flow_token token : tokensOf(server.entry.key)) {
            assign(m_byToken, token, i);
        }
        if (server.acceptsNewFlows()) {
            m_candidates[server.entry.service].push_back(i);
            m_candidatesByDomain[server.entry.service][server.entry.failureDomain].push_back(i);
        }
    }
}

const directory_server *directory::byToken(flow_token token) const
{
    const auto found = m_byToken.find(token);
    return found == m_byToken.end() ? nullptr : &m_servers[found->second];
}

const directory_server *directory::byKey(server_key key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_servers[found->second];
}

const std::vector<std::size_t> &directory::candidates(const std::string &service) const
{
    static const std::vector<std::size_t> None;
    const auto found = m_candidates.find(service);
    return found == m_candidates.end() ? None : found->second;
}

const std::map<std::string, std::vector<std::size_t>> &
directory::candidatesByDomain(const std::string &service) const
{
    static const std::map<std::string, std::vector<std::size_t>> None;
    const auto found = m_candidatesByDomain.find(service);
    return found == m_candidatesByDomain.end() ? None : found->second;
}

} // namespace ebonyway
