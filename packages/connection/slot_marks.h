#pragma once

#include "connection/slot_mark.h"

#include <optional>
#include <unordered_map>

namespace ebonyway {

/**
 * Sparse map of the marks of all slots. A slot without its own entry has the mark {base, 0}, where
 * base is the note at which its service was created. When marks are merged, the greater one is
 * kept.
 */
class slot_marks
{
public:
    /**
     * Sets the note since which slots of the service without their own mark are settled. Of two
     * bases the lower one is kept, which is safe because it treats more slots as unsettled.
     */
    void setBase(service_id service, note_number base);

    /** Merges one mark and returns whether it was newer. */
    bool merge(slot_id slot, slot_mark mark);

    /** Returns the mark, or nothing if nothing is known about the slot. */
    std::optional<slot_mark> find(slot_id slot) const;

    /** Removes all marks of a deleted service. */
    void eraseService(service_id service);

    void clear();

    const std::unordered_map<slot_id, slot_mark> &entries() const { return m_entries; }
    const std::unordered_map<service_id, note_number> &bases() const { return m_bases; }

private:
    std::unordered_map<slot_id, slot_mark> m_entries;
    std::unordered_map<service_id, note_number> m_bases;
};

} // namespace ebonyway
