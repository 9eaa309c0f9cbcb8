#include "connection/slot_marks.h"

#include <algorithm>

namespace ebonyway {

void slot_marks::setBase(service_id service, note_number base)
{
    const auto [entry, inserted] = m_bases.try_emplace(service, base);
    if (!inserted) {
        entry->second = std::min(entry->second, base);
    }
}

bool slot_marks::merge(slot_id slot, slot_mark mark)
{
    const auto [entry, inserted] = m_entries.try_emplace(slot, mark);
    if (inserted) {
        return true;
    }
    if (mark <= entry->second) {
        return false;
    }
    entry->second = mark;
    return true;
}

std::optional<slot_mark> slot_marks::find(slot_id slot) const
{
    if (const auto entry = m_entries.find(slot); entry != m_entries.end()) {
        return entry->second;
    }
    if (const auto base = m_bases.find(slot.service); base != m_bases.end()) {
        return slot_mark{base->second, 0};
    }
    return std::nullopt;
}

void slot_marks::eraseService(service_id service)
{
    std::erase_if(m_entries,
                  [service](const auto &entry) { return entry.first.service == service; });
    m_bases.erase(service);
}

void slot_marks::clear()
{
    m_entries.clear();
    m_bases.clear();
}

} // namespace ebonyway
