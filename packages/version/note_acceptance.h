#pragma once

#include "core/result.h"
#include "version/intent.h"
#include "version/platform_notes.h"
#include "version/platform_store.h"
#include "version/release_note.h"
#include "version/retry_budget.h"

#include <string>
#include <vector>

namespace ebonyway {

/** A release note that passed all checks against the intent that was read. */
struct checked_note
{
    release_note note;
    note_digest digest{};
    std::vector<std::string> effect; ///< Sentences for the operator.
};

/** A release note that is in force. */
struct accepted_note
{
    checked_note checked;
    bool acceptedEarlier = false; ///< The same text had been accepted before this attempt.
};

/**
 * Accepts release notes. The creation of the object notes/<n+1> alone decides who wins a race, so
 * this class only reports an outcome that the platform has confirmed.
 */
class note_acceptance
{
public:
    note_acceptance(platform_store &store, const retry_limits &limits, wait_function wait,
                    std::uint64_t seed);

    /** Checks a note against what is in force, without accepting it. */
    result<checked_note> check(const std::string &text);

    /**
     * Checks and accepts a note. Fails with Conflict if another note was first, with Unavailable if
     * the note is certainly not accepted, and with OutcomeUnknown if it may or may not be.
     */
    result<accepted_note> accept(const std::string &text);

private:
    /** State of one attempt to create the object of a note. */
    struct attempt
    {
        const std::string &text;
        checked_note checked;
        note_digest previousDigest{};
        bool answerLost = false; ///< An earlier write of this attempt may have taken effect.
    };

    result<route_plan> readPlanFor(note_number number);
    result<checked_note> checkAgainst(const route_plan &plan, release_note note,
                                      const std::string &text);
    std::optional<result<accepted_note>> compareWithStored(attempt &current, bool earlier);
    result<accepted_note> createNote(attempt current);
    result<accepted_note> afterConflict(attempt &current);
    result<accepted_note> giveUp(const attempt &current, const error &last) const;

    platform_store &m_store;
    wait_function m_wait;
    platform_notes m_notes;
    retry_budget m_budget; ///< For writes and the reads that confirm them.
};

} // namespace ebonyway
