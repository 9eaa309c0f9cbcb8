#pragma once

#include "core/time.h"

#include <optional>

namespace ebonyway {

/**
 * Decides how long an instance keeps serving after a stop request. Routers stop sending packets
 * only after two failed readiness checks.
 */
class planned_stop
{
public:
    /** `grace` is the time between the stop request and the kill of the process. */
    explicit planned_stop(duration grace);

    void request(time_point now);
    bool isRequested() const { return m_requestedAt.has_value(); }

    /**
     * Returns whether a stop was requested and the process may exit. `lastPacket` is the arrival
     * time of the last packet from a caller.
     */
    bool mayExit(time_point now, time_point lastPacket) const;

private:
    duration m_grace;
    std::optional<time_point> m_requestedAt;
};

} // namespace ebonyway
