#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ebonyway {

/** Runs actions in the order of their virtual time; equal times in the order of their addition. */
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const { return m_now; }
    /** The current time, for objects that read it often. */
    const time_point &clock() const { return m_now; }

    /** Adds an action. A time in the past counts as now. */
    void at(time_point when, action what);
    void after(duration delay, action what) { at(m_now + delay, std::move(what)); }
    /** Runs an action at a fixed interval for as long as it returns true. */
    void every(duration interval, std::function<bool()> what);

    /** Runs all actions up to the time and advances the clock to it. */
    void runUntil(time_point end);

private:
    struct entry
    {
        time_point when;
        std::uint64_t number = 0;
        action what;
    };
    struct is_later
    {
        bool operator()(const entry &left, const entry &right) const;
    };

    time_point m_now{std::chrono::seconds(1'000)}; ///< Zero means "never" in many places.
    std::uint64_t m_added = 0;
    std::priority_queue<entry, std::vector<entry>, is_later> m_entries;
};

} // namespace ebonyway
