#pragma once

#include "core/result.h"
#include "version/route_plan.h"

#include <string>
#include <vector>

namespace ebonyway {

/** The platform stores values of up to 1 MB. */
constexpr std::size_t MaxSnapshotBytes = 1'000'000;

/**
 * Encodes the intent and the slot tables of a plan. Fails with LimitExceeded if the result is
 * larger than MaxSnapshotBytes; instances then start from the release notes.
 */
result<std::string> encodeSnapshot(const route_plan &plan);

/**
 * Decodes a snapshot. Any input is safe: sizes are checked before memory is taken, and all ids,
 * references and numbers are checked. Fails with InvalidInput. Whether the bytes are authentic must
 * be known from where they came from.
 */
result<route_plan> decodeSnapshot(const std::string &bytes);

/**
 * Folds release notes into a plan, in order. The first note must be the plan's number plus one.
 * Fails like foldReleaseNote, naming the note.
 */
result<route_plan> foldNotes(route_plan plan, const std::vector<std::string> &notes);

} // namespace ebonyway
