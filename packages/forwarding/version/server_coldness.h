#pragma once

#include "core/time.h"
#include "forwarding/version/store_objects.h"

namespace ebonyway {

/**
 * How long a backend server counts as cold. An instance learns of the server's reports and of the
 * end of its failure domain's evacuation in any order, so their positions in the store decide which
 * of them applies, and not the order in which they arrive.
 */
class server_coldness
{
public:
    /** The server reported that it stays cold for `remaining`; zero if it is not cold. */
    void onReport(store_position position, duration remaining, time_point now);

    /**
     * The evacuation of the server's failure domain ended. The server counts as cold until
     * `expectedUntil`, unless it has reported since that it is cold and for how long. A report
     * without cold time does not end this: the server may have written it before it became cold.
     */
    void onEvacuationEnd(store_position position, time_point expectedUntil);

    /** Another instance, which knows the same report, counts the server as cold for `remaining`. */
    void onPeerEstimate(duration remaining, time_point now);

    /** Returns when the server stops being cold; in the past if it is not cold. */
    time_point until() const;

private:
    store_position m_lastColdReport; ///< Position of the last report with cold time.
    store_position m_evacuationEnd;
    time_point m_reportedUntil; ///< According to the last report.
    time_point m_expectedUntil; ///< According to the end of the evacuation, or to a peer.
};

} // namespace ebonyway
