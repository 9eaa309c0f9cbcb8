#include "process/note_history.h"

#include "version/release_note.h"

namespace ebonyway {

namespace {

error chainError(note_number number, const std::string &reason)
{
    return {error_kind::InvalidInput,
            "release note " + std::to_string(number.value) + " rejected: " + reason,
            "Compare the notes of the platform and of the instances"};
}

} // namespace

note_number note_history::head() const
{
    return note_number{m_base.value + m_notes.size()};
}

const note_digest &note_history::headDigest() const
{
    return m_notes.empty() ? m_baseDigest : m_notes.back().digest;
}

status note_history::append(note_number number, const note_digest &digest, std::string text)
{
    if (number.value != head().value + 1) {
        return chainError(number, "it does not follow note " + std::to_string(head().value));
    }
    if (digestNote(headDigest(), text) != digest) {
        return chainError(number, "its digest does not continue the chain");
    }
    m_bytes += text.size();
    m_notes.push_back({number, digest, std::move(text)});
    while (m_notes.size() > 1 && (m_notes.size() > MaxNotes || m_bytes > MaxBytes)) {
        m_base = m_notes.front().number;
        m_baseDigest = m_notes.front().digest;
        m_bytes -= m_notes.front().text.size();
        m_notes.pop_front();
    }
    return std::monostate{};
}

status note_history::restart(note_number number, const note_digest &digest)
{
    if (number <= head()) {
        return chainError(number, "the snapshot is not newer than what is in force");
    }
    m_notes.clear();
    m_bytes = 0;
    m_base = number;
    m_baseDigest = digest;
    return std::monostate{};
}

std::optional<note_digest> note_history::digestOf(note_number number) const
{
    if (number == note_number{}) {
        return note_digest{};
    }
    if (number == m_base) {
        return m_baseDigest;
    }
    const chained_note *note = find(number);
    return note == nullptr ? std::nullopt : std::optional(note->digest);
}

const chained_note *note_history::find(note_number number) const
{
    if (number <= m_base || number > head()) {
        return nullptr;
    }
    return &m_notes[number.value - m_base.value - 1];
}

} // namespace ebonyway
