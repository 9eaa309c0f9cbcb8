#pragma once

#include "connection/sliding_window_sum.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/**
 * Estimates the open flows of one backend server from its load reports and from the flows that
 * this instance has admitted and seen end since.
 *
 * A report does not say when it was taken. Flows admitted within the maximum age of a report are
 * therefore added to it, even if it already includes them. The estimate is thus rather too high,
 * which prevents a second batch of flows from being sent in response to the same old report.
 */
class load_estimate
{
public:
    load_estimate();

    void onReport(std::uint32_t openConnections, time_point now);
    void onAdmitted(time_point now);
    void onEnded(time_point now);

    /** Returns whether the last report is recent enough to be used. */
    bool hasReport(time_point now) const;

    /**
     * Estimated open flows over all instances. homeShare, in (0, 1], is the fraction of all flows
     * that this instance sees.
     */
    double openFlows(double homeShare, time_point now) const;

    /**
     * Open flows extrapolated from the growth between the last reports to the time at which flows
     * that start now appear in a report. Growth is noisy, so this is used only to decide when the
     * homes begin to count flows.
     */
    double projectedFlows(double homeShare, time_point now) const;

private:
    struct report
    {
        std::uint32_t openConnections = 0;
        time_point receivedAt;
    };

    std::optional<report> m_report;
    double m_growth = 0; ///< Flows per second between reports, smoothed.
    /** Admitted minus ended flows within the maximum age of a report; a report may miss them. */
    sliding_window_sum<20> m_netFlowsWithinReportAge;
    /** Admitted minus ended flows of the last minute, independent of reports. */
    sliding_window_sum<12> m_recentNetFlows;
};

} // namespace ebonyway
