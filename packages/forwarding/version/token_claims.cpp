#include "forwarding/version/token_claims.h"

namespace ebonyway {

void token_claims::add(const registered_server &entry)
{
    for (const flow_token token : tokensOf(entry.key)) {
        const auto [found, isNew] = m_claims.try_emplace(token, claim{&entry, false});
        if (isNew) {
            continue;
        }
        found->second.isShared = true;
        if (precedes(entry, *found->second.owner)) {
            found->second.owner = &entry;
        }
    }
}

bool token_claims::isShared(flow_token token) const
{
    const auto found = m_claims.find(token);
    return found != m_claims.end() && found->second.isShared;
}

std::optional<flow_token> token_claims::choose(const registered_server &entry,
                                               flow_token current) const
{
    if (!isShared(current)) {
        return current;
    }
    for (const flow_token token : tokensOf(entry.key)) {
        if (!isShared(token)) {
            return token;
        }
    }
    for (const flow_token token : tokensOf(entry.key)) {
        const auto found = m_claims.find(token);
        if (found != m_claims.end() && found->second.owner == &entry) {
            return token;
        }
    }
    return std::nullopt;
}

} // namespace ebonyway
