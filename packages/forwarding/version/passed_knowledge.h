#pragma once

#include "forwarding/version/store_objects.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Revision of the newest object of each kind that an instance knows. */
using known_revisions = std::array<std::uint64_t, StoreKindCount>;

/** One object of the store as an instance passes it on. */
struct passed_object
{
    std::string name;
    std::uint64_t revision = 0;
    registered_server server; ///< Of a backend server.

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, revision, server);
    }
};

/** All that an instance knows of the store, for another one that knows less. */
struct passed_knowledge
{
    known_revisions revisions{};
    bool hasDesiredState = false;
    std::uint64_t desiredRevision = 0;
    desired_state desired;
    std::vector<passed_object> servers;
    std::vector<passed_object> evacuations; ///< Named by their failure domains.

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (std::uint64_t &revision : revisions) {
            archive(revision);
        }
        archive(hasDesiredState, desiredRevision, desired, servers, evacuations);
    }
};

} // namespace ebonyway
