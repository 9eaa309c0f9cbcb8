#pragma once

#include "core/result.h"
#include "version/intent.h"
#include "version/release_note.h"

namespace ebonyway {

/**
 * Checks a release note as a whole against the intent in force and folds it in. Either the whole
 * note applies or none of it.
 *
 * Fails with Conflict if the note's number is already in force, with LimitExceeded if the result
 * would have too many objects, otherwise with InvalidInput.
 */
result<intent> foldReleaseNote(const intent &current, const release_note &note,
                               const note_digest &digest);

/** Parses the text of the next note and folds it. The digest continues the intent's chain. */
result<intent> foldReleaseNote(const intent &current, const std::string &text);

} // namespace ebonyway
