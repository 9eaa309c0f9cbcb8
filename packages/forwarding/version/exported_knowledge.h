#pragma once

#include "forwarding/version/store_objects.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** Per kind, the store position up to which an instance has applied all changes. */
using known_positions = std::array<store_position, StoreKindCount>;

/** A store object as sent to another instance. */
struct exported_object
{
    std::string name;
    store_position position;
    registered_server server; ///< Set only for backend servers.
    /** Rest of the grace period of the object; see directory_builder::expire(). */
    std::optional<std::chrono::milliseconds> graceRemaining;

    template <class Archive>
    void serialize(Archive &archive)
    {
        bool hasLapsed = graceRemaining.has_value();
        auto grace = static_cast<std::uint64_t>(
                graceRemaining.value_or(std::chrono::milliseconds(0)).count());
        archive(name, position, server, hasLapsed, grace);
        graceRemaining = hasLapsed ? std::optional(std::chrono::milliseconds(grace)) : std::nullopt;
    }
};

/** Complete store knowledge of an instance, sent to one whose positions are older. */
struct exported_knowledge
{
    known_positions positions{};
    bool hasDesiredState = false;
    store_position desiredPosition;
    desired_state desiredState;
    std::vector<exported_object> servers;
    std::vector<exported_object> evacuations; ///< The name of each is its failure domain.
    /** Entries of an older copy of the store that take effect when their grace period ends. */
    std::vector<exported_object> outdatedServers;

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (store_position &position : positions) {
            archive(position);
        }
        archive(hasDesiredState, desiredPosition, desiredState, servers, evacuations,
                outdatedServers);
    }
};

} // namespace ebonyway
