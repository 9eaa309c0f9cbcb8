#pragma once

#include "core/time.h"

#include <ace/Time_Value.h>

#include <chrono>

namespace ebonyway {

/** Converts a length of time to ACE's type, which has microseconds. */
inline ACE_Time_Value toAceTime(duration length)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(length).count();
    return ACE_Time_Value(static_cast<time_t>(micros / 1'000'000),
                          static_cast<suseconds_t>(micros % 1'000'000));
}

} // namespace ebonyway
