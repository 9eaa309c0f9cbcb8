#pragma once

#include "core/time.h"

#include <map>
#include <queue>
#include <vector>

namespace ebonyway::standins {

/** Wake-up times of many objects, at most one per object: its earliest. */
template <typename Id>
class timer_queue
{
public:
    /** Wakes the object at this time unless it is already due earlier. */
    void schedule(time_point when, const Id &id)
    {
        if (when == time_point::max()) {
            return;
        }
        const auto [known, added] = m_earliest.emplace(id, when);
        if (!added && known->second <= when) {
            return;
        }
        known->second = when;
        m_entries.push({when, id});
    }

    /** Returns and forgets the objects that are due, in the order of their times. */
    std::vector<Id> takeDue(time_point now)
    {
        std::vector<Id> due;
        while (!m_entries.empty() && m_entries.top().when <= now) {
            const entry top = m_entries.top();
            m_entries.pop();
            const auto known = m_earliest.find(top.id);
            if (known == m_earliest.end() || known->second != top.when) {
                continue; // An earlier wake-up replaced this entry.
            }
            m_earliest.erase(known);
            due.push_back(top.id);
        }
        return due;
    }

    /** Returns the earliest time, or time_point::max() if the queue is empty. */
    time_point next() const { return m_entries.empty() ? time_point::max() : m_entries.top().when; }

private:
    struct entry
    {
        time_point when;
        Id id;

        bool operator<(const entry &other) const
        {
            return when != other.when ? when > other.when : id > other.id;
        }
    };

    std::priority_queue<entry> m_entries;
    std::map<Id, time_point> m_earliest;
};

} // namespace ebonyway::standins
