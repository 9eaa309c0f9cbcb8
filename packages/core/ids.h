#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace ebonyway {

/** Integer id of one kind of object. Ids of different kinds do not convert into each other. */
template <typename Tag, typename Rep>
struct strong_id
{
    using rep = Rep;

    Rep value = 0;

    // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    constexpr auto operator<=>(const strong_id &) const = default; // NOLINT(modernize-use-nullptr)

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }
};

/** Identifies an instance (a machine that runs ebonywayd) within its deployment. */
using instance_id = strong_id<struct instance_tag, std::uint32_t>;

/**
 * Index of a service in the intent. Indexes are assigned when a service is added, never reused,
 * and therefore agree on every instance.
 */
using service_id = strong_id<struct service_tag, std::uint16_t>;

/** Index of a backend server in the intent. Assigned when it is added and never reused. */
using backend_server_id = strong_id<struct backend_server_tag, std::uint16_t>;

/** Index of a failure domain in the intent. Assigned when it is added and never reused. */
using failure_domain_id = strong_id<struct failure_domain_tag, std::uint16_t>;

/** Number of an accepted release note. Zero means that no release note is in force. */
using note_number = strong_id<struct note_tag, std::uint64_t>;

/** Keyed 64-bit hash of a flow's 5-tuple. */
using flow_hash = strong_id<struct flow_hash_tag, std::uint64_t>;

/** Stands for "no backend server", for example in a slot whose flows have been given up. */
constexpr backend_server_id NoBackendServer{0xffff};

/** A slot of one service's slot table. */
struct slot_id
{
    service_id service;
    std::uint16_t index = 0;

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const slot_id &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, index);
    }
};

} // namespace ebonyway

template <typename Tag, typename Rep>
struct std::hash<ebonyway::strong_id<Tag, Rep>>
{
    std::size_t operator()(const ebonyway::strong_id<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};

template <>
struct std::hash<ebonyway::slot_id>
{
    std::size_t operator()(const ebonyway::slot_id &id) const noexcept
    {
        return (std::size_t{id.service.value} << 16) | id.index;
    }
};
