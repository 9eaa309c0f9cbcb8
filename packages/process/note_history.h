#pragma once

#include "core/result.h"
#include "version/intent.h"

#include <deque>
#include <optional>
#include <string>

namespace ebonyway {

/** A release note whose digest continues the chain of this instance. */
struct chained_note
{
    note_number number;
    note_digest digest{};
    std::string text;
};

/** The latest release notes of this instance, kept so that peers can fetch them. */
class note_history
{
public:
    /** Most notes and text bytes that are kept; peers further behind take a snapshot. */
    static constexpr std::size_t MaxNotes = 512;
    static constexpr std::size_t MaxBytes = 2'000'000;

    note_number head() const;
    const note_digest &headDigest() const;

    /**
     * Appends the next note. Fails with InvalidInput if the number does not follow the head or if
     * the digest does not continue the chain.
     */
    status append(note_number number, const note_digest &digest, std::string text);

    /** Continues from a snapshot. Fails with InvalidInput unless its number is above the head. */
    status restart(note_number number, const note_digest &digest);

    /** Returns the digest of a note, if it is still known. Number 0 has the digest of zeros. */
    std::optional<note_digest> digestOf(note_number number) const;

    /** Returns the kept note, or nullptr. Valid until the next change. */
    const chained_note *find(note_number number) const;

    std::size_t byteCount() const { return m_bytes; }

private:
    note_number m_base; ///< The note before the first kept one.
    note_digest m_baseDigest{};
    std::deque<chained_note> m_notes;
    std::size_t m_bytes = 0;
};

} // namespace ebonyway
