#include "emulator/event_queue.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace ebonyway {

bool event_queue::is_later::operator()(const entry &left, const entry &right) const
{
    return std::pair(left.when, left.number) > std::pair(right.when, right.number);
}

void event_queue::at(time_point when, action what)
{
    m_entries.push({std::max(when, m_now), m_added++, std::move(what)});
}

void event_queue::every(duration interval, std::function<bool()> what)
{
    after(interval, [this, interval, what = std::move(what)]() mutable {
        if (what()) {
            every(interval, std::move(what));
        }
    });
}

void event_queue::runUntil(time_point end)
{
    while (!m_entries.empty() && m_entries.top().when <= end) {
        entry next = m_entries.top();
        m_entries.pop();
        m_now = next.when;
        next.what();
    }
    m_now = std::max(m_now, end);
}

} // namespace ebonyway
