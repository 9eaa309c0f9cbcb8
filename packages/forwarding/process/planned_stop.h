#pragma once

#include "core/time.h"

#include <optional>

namespace ebonyway {

/**
 * Decides how long an instance serves on after it was told to stop. Routers stop sending packets
 * only after they have found it not ready twice.
 */
class planned_stop
{
public:
    /** `grace` is the time until the process would be killed. */
    explicit planned_stop(duration grace);

    void request(time_point now);
    bool isRequested() const { return m_requestedAt.has_value(); }

    /** Returns whether the process may exit. `lastPacket` is when a caller's packet last arrived.
     */
    bool mayExit(time_point now, time_point lastPacket) const;

private:
    duration m_grace;
    std::optional<time_point> m_requestedAt;
};

} // namespace ebonyway
