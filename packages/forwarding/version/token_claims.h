#pragma once

#include "forwarding/version/directory.h"

#include <optional>
#include <unordered_map>

namespace ebonyway {

/**
 * The backend servers that have each flow token, to give new flows a token that names one server
 * only. Tokens are hashes, so two servers can have the same one.
 */
class token_claims
{
public:
    void add(const registered_server &entry);

    /** Returns whether another server has the token too. */
    bool isShared(flow_token token) const;

    /**
     * Returns the token for new flows of a server that has been added. It keeps `current` while no
     * other server has it: instances learn at different times that another server is gone, and
     * until then they forward the shared token to that one. Returns nothing if all tokens of the
     * server belong to servers that precede it.
     */
    std::optional<flow_token> choose(const registered_server &entry, flow_token current) const;

private:
    struct claim
    {
        const registered_server *owner = nullptr; ///< Precedes the others that have the token.
        bool isShared = false;
    };

    std::unordered_map<flow_token, claim> m_claims;
};

} // namespace ebonyway
