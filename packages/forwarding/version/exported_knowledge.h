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

/** Returns whether the position of some kind is newer than the other one. */
inline bool isAhead(const known_positions &positions, const known_positions &other)
{
    for (std::size_t kind = 0; kind < StoreKindCount; ++kind) {
        if (positions[kind] > other[kind]) {
            return true;
        }
    }
    return false;
}

/** A store object as sent to another instance. */
struct exported_object
{
    std::string name;
    store_position position;
    registered_server server; ///< Set only for backend servers.
    bool departed = false; ///< The entry of the backend server is gone or unusable.
    /** Rest of the grace period of the object; see directory_builder::expire(). */
    std::optional<std::chrono::milliseconds> graceRemaining;

    template <class Archive>
    void serialize(Archive &archive)
    {
        bool hasLapsed = graceRemaining.has_value();
        auto grace = static_cast<std::uint64_t>(
                graceRemaining.value_or(std::chrono::milliseconds(0)).count());
        archive(name, position, server, departed, hasLapsed, grace);
        graceRemaining = hasLapsed ? std::optional(std::chrono::milliseconds(grace)) : std::nullopt;
    }
};

/** Store knowledge of an instance, sent to one whose positions are older. */
struct exported_knowledge
{
    known_positions positions{};
    /** For each kind: if set, only what changed after this position is included. */
    known_positions since{};
    bool hasDesiredState = false;
    store_position desiredPosition;
    desired_state desiredState;
    std::vector<exported_object> servers;
    std::vector<exported_object> evacuations; ///< The name of each is its failure domain.
    /** Entries of an older copy of the store that take effect when their grace period ends. */
    std::vector<exported_object> outdatedServers;

    /** Returns whether it holds all backend servers, and not only what changed on them. */
    bool hasAllServers() const
    {
        return since[static_cast<std::size_t>(store_kind::BackendServers)] == store_position{};
    }

    /** Leaves out the desired state; the receiver then knows that it does not have it. */
    void withholdDesiredState()
    {
        constexpr auto Index = static_cast<std::size_t>(store_kind::DesiredState);
        since[Index] = positions[Index];
        hasDesiredState = false;
        desiredState = {};
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        for (store_position &position : positions) {
            archive(position);
        }
        for (store_position &position : since) {
            archive(position);
        }
        archive(hasDesiredState, desiredPosition, desiredState, servers, evacuations,
                outdatedServers);
    }
};

} // namespace ebonyway
