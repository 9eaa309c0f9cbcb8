#include "forwarding/version/directory.h"

#include <xxhash.h>

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
    // All instances must compute the same token, so the seed and the byte order are fixed.
    std::uint8_t bytes[sizeof(key.value)] = {};
    for (std::size_t i = 0; i < sizeof(bytes); ++i) {
        bytes[i] = static_cast<std::uint8_t>(key.value >> (8 * i));
    }
    const std::uint32_t digest = XXH32(bytes, sizeof(bytes), 0);
    return flow_token{digest == 0 ? 1 : digest};
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
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const directory_server &server = m_servers[i];
        if (!server.ambiguousToken) {
            m_byToken.emplace(server.token, i);
        }
        if (server.acceptsNewFlows()) {
            m_candidates[server.entry.service].push_back(i);
        }
    }
}

const directory_server *directory::byToken(flow_token token) const
{
    const auto found = m_byToken.find(token);
    return found == m_byToken.end() ? nullptr : &m_servers[found->second];
}

const std::vector<std::size_t> &directory::candidates(const std::string &service) const
{
    static const std::vector<std::size_t> None;
    const auto found = m_candidates.find(service);
    return found == m_candidates.end() ? None : found->second;
}

} // namespace ebonyway
