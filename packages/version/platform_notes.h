#pragma once

#include "core/result.h"
#include "version/platform_store.h"
#include "version/retry_budget.h"
#include "version/route_plan.h"

#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** Prefixes of the keys of release notes and of snapshots. */
constexpr const char *NoteKeyPrefix = "notes/";
constexpr const char *SnapshotKeyPrefix = "snapshots/";

/** Returns the key of a release note, for example "notes/0000000042". */
std::string noteKey(note_number number);

/** Returns the key of the snapshot at a note. */
std::string snapshotKey(note_number number);

/** Returns the note number in a key of a note or snapshot; nothing if the key is malformed. */
std::optional<note_number> numberInKey(const std::string &key);

/** Reads release notes and snapshots from the platform, repeating reads that were unavailable. */
class platform_notes
{
public:
    platform_notes(platform_store &store, const retry_limits &limits, wait_function wait,
                   std::uint64_t seed);

    /** Reads the text of a note. Fails with NotFound or Unavailable. */
    result<std::string> readNote(note_number number);

    /**
     * Reads the newest usable snapshot and all later notes. Returns an empty plan if no note has
     * been accepted. Reads may be stale, so a newer note may exist.
     */
    result<route_plan> readNewestPlan();

    /** Returns the numbers of the listed notes, in order. */
    result<std::vector<note_number>> listNotes();

private:
    result<std::string> readValue(const std::string &key);
    result<std::vector<note_number>> listNumbers(const std::string &prefix);
    result<route_plan> readNewestSnapshot();

    platform_store &m_store;
    wait_function m_wait;
    retry_budget m_budget;
};

} // namespace ebonyway
