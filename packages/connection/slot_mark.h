#pragma once

#include "core/ids.h"

#include <compare>
#include <cstdint>

namespace ebonyway {

/** Agreed state of a slot. Marks are ordered lexicographically; the greater mark is the newer one.
 */
struct slot_mark
{
    note_number note; ///< Note for which the mark was announced.
    std::uint32_t epoch = 0; ///< Odd while the home may deviate from the target.

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const slot_mark &) const = default;

    /** Returns whether the home of the slot may send new flows past the target. */
    constexpr bool isDeviating() const { return (epoch & 1U) != 0; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(note, epoch);
    }
};

} // namespace ebonyway
