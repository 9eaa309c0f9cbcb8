#pragma once

#include "forwarding/version/store_objects.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Per kind, the store revision up to which an instance has applied all changes. */
using known_revisions = std::array<std::uint64_t, StoreKindCount>;

/** A store object as sent to another instance. */
struct exported_object
{
    std::string name;
    std::uint64_t revision = 0;
    registered_server server; ///< Set only for backend servers.

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, revision, server);
    }
};

/** Complete store knowledge of an instance, sent to one whose revisions are older. */
struct exported_knowledge
{
    known_revisions revisions{};
    bool hasDesiredState = false;
    std::uint64_t desiredRevision = 0;
    desired_state desiredState;
    std::vector<exported_object> servers;
    std::vector<exported_object> evacuations; ///< The name of each is its failure domain.

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (std::uint64_t &revision : revisions) {
            archive(revision);
        }
        archive(hasDesiredState, desiredRevision, desiredState, servers, evacuations);
    }
};

} // namespace ebonyway
