#pragma once

#include "connection/recent_sum.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/**
 * Estimates the open flows of one backend server from its load reports and from the flows that
 * this instance has admitted and seen end since.
 *
 * A report does not say when it was taken. The flows that were admitted within the greatest age of
 * a report are therefore added to it, even if it may already include them. This errs on the side of
 * sending less: it keeps an old report from being answered twice.
 */
class load_estimate
{
public:
    load_estimate();

    void onReport(std::uint32_t openConnections, time_point now);
    void onAdmitted(time_point now);
    void onEnded(time_point now);

    /** Returns whether a report arrived recently enough to be used. */
    bool hasReport(time_point now) const;

    /**
     * Estimated open flows over all instances. This instance's flows stand for homeShare, in
     * (0, 1], of all flows.
     */
    double openFlows(double homeShare, time_point now) const;

    /**
     * Open flows that the growth between the last reports would lead to by the time that flows
     * started now show in a report. Only tells when to begin counting flows: growth is noisy.
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
    recent_sum<20> m_sinceReport; ///< Admitted minus ended flows that a report may lack.
    recent_sum<12> m_recent; ///< Admitted minus ended flows, whatever the reports say.
};

} // namespace ebonyway
