#pragma once

#include "core/error.h"
#include "version/intent.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace ebonyway {

class route_plan;

/** Why an instance does not adopt a note or a snapshot. */
enum class refusal_cause : std::uint8_t {
    Stale, ///< It is in force already or has been overtaken.
    Gap, ///< Earlier notes are missing; fetch them first.
    Fork, ///< It contradicts the digest chain that is in force.
    Invalid, ///< It cannot be parsed or does not fit the intent in force.
};

/** A note or snapshot that was not adopted. The plan in force is unchanged. */
struct adoption_refusal
{
    refusal_cause cause = refusal_cause::Invalid;
    error detail;
};

/** The note number now in force, or why nothing changed. */
using adoption = std::variant<note_number, adoption_refusal>;

/** How a peer's note number and digest relate to this instance's chain. */
enum class chain_relation : std::uint8_t {
    Same,
    PeerBehind, ///< The peer is at an earlier note of this chain, or at one no longer remembered.
    PeerAhead, ///< The peer has notes that this instance lacks.
    Fork, ///< The peer has another note under a number that is in force here.
};

/**
 * The release notes that one instance has adopted. It only moves forward: stale reads, old peers
 * and restored stores never take it back to an earlier note.
 */
class intent_log
{
public:
    /** Starts without any note in force. */
    intent_log();

    /** Returns the newest plan; its note number is 0 if no note is in force. */
    const std::shared_ptr<const route_plan> &plan() const { return m_plan; }
    note_number number() const;
    const note_digest &digest() const;

    /**
     * Adopts the next note.
     *
     * @param expected The digest that the source claims for the chain at this note, if it told one.
     */
    adoption adoptNote(note_number number, const std::string &text,
                       const std::optional<note_digest> &expected = std::nullopt);

    /** Adopts a snapshot if it is newer than the note in force. */
    adoption adoptSnapshot(const std::string &bytes,
                           const std::optional<note_digest> &expected = std::nullopt);

    /** Compares a peer's position with this chain. */
    chain_relation compare(note_number number, const note_digest &digest) const;

    /** Returns the text of a recently adopted note for a peer, or nullptr if it is not kept. */
    const std::string *noteText(note_number number) const;

private:
    struct kept_note
    {
        note_number number;
        std::string text;
    };

    adoption adoptPlan(route_plan plan);
    adoption judgeOldNote(note_number number, const std::string &text) const;
    void keepText(note_number number, const std::string &text);

    std::shared_ptr<const route_plan> m_plan;
    std::map<note_number, note_digest> m_digests; ///< Of the latest notes, to detect forks.
    std::deque<kept_note> m_texts; ///< Of the latest notes, oldest first.
    std::size_t m_textBytes = 0;
};

} // namespace ebonyway
