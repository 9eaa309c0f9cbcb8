#pragma once

#include "core/ids.h"

#include <compare>
#include <cstdint>

namespace ebonyway {

/**
 * Version of a slot's settled state, announced by its home to all instances. Marks are ordered
 * lexicographically; the greater mark is the newer one.
 */
struct slot_mark
{
    note_number note; ///< Note whose target the slot has settled on.
    std::uint32_t epoch = 0; ///< Odd while the home may deviate from the target.

    // False positive of clang-tidy 14 on the zero in the generated comparison.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const slot_mark &) const = default;

    /** Returns whether the slot's home may send new flows to other servers than the target. */
    constexpr bool isDeviating() const { return (epoch & 1U) != 0; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(note, epoch);
    }
};

} // namespace ebonyway
