#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace ebonyway {

/**
 * Sum of the values added within a sliding time window. The window is divided into buckets, and
 * the oldest values expire one bucket at a time.
 */
template <std::size_t BucketCount>
class sliding_window_sum
{
public:
    explicit sliding_window_sum(duration window)
        : m_width(window / BucketCount)
    { }

    void add(std::int64_t value, time_point now)
    {
        const std::int64_t epoch = epochOf(now);
        bucket &current = m_buckets[static_cast<std::size_t>(epoch) % BucketCount];
        if (current.epoch != epoch) {
            current = {epoch, 0};
        }
        current.sum += value;
    }

    std::int64_t total(time_point now) const
    {
        const std::int64_t oldest = epochOf(now) - static_cast<std::int64_t>(BucketCount);
        std::int64_t sum = 0;
        for (const bucket &each : m_buckets) {
            sum += each.epoch > oldest ? each.sum : 0;
        }
        return sum;
    }

private:
    struct bucket
    {
        std::int64_t epoch = -1; ///< Number of bucket widths since the clock's epoch.
        std::int64_t sum = 0;
    };

    std::int64_t epochOf(time_point now) const { return now.time_since_epoch() / m_width; }

    duration m_width;
    std::array<bucket, BucketCount> m_buckets{};
};

} // namespace ebonyway
