#include "connection/load_estimate.h"

#include <algorithm>

namespace ebonyway {

namespace {

// Maximum age of the data in a received load report: the probe interval, the gossip delay and the
// lag of the endpoint.
constexpr std::chrono::seconds MaximumReportAge{10};

// Time after its arrival for which a load report is used. If no newer one arrives, the endpoint has
// stopped answering.
constexpr std::chrono::seconds ReportLifetime{15};

// Period over which this instance counts its own admitted and ended flows. The count is a lower
// bound of the open flows if an endpoint reports too few. Older flows are not counted, because
// after a change of homes another instance may see their end.
constexpr std::chrono::seconds OwnFlowsPeriod{60};

// Time over which the growth of open flows is extrapolated. The report may be as old as
// MaximumReportAge, and it takes the same time again until flows that start now appear in a report.
constexpr std::chrono::seconds ProjectionPeriod = 2 * MaximumReportAge;

// Weight of the latest change between two reports in the moving average. At 8 new and 8 ended flows
// per second, the remaining noise is 2 flows/s.
constexpr double GrowthSmoothing = 0.5;

} // namespace

load_estimate::load_estimate()
    : m_netFlowsWithinReportAge(MaximumReportAge)
    , m_recentNetFlows(OwnFlowsPeriod)
{ }

void load_estimate::onReport(std::uint32_t openConnections, time_point now)
{
    if (m_report && now > m_report->receivedAt) {
        const std::chrono::duration<double> elapsed = now - m_report->receivedAt;
        const double change = double(openConnections) - m_report->openConnections;
        m_growth += GrowthSmoothing * (change / elapsed.count() - m_growth);
    }
    m_report = report{openConnections, now};
}

void load_estimate::onAdmitted(time_point now)
{
    m_netFlowsWithinReportAge.add(1, now);
    m_recentNetFlows.add(1, now);
}

void load_estimate::onEnded(time_point now)
{
    m_netFlowsWithinReportAge.add(-1, now);
    m_recentNetFlows.add(-1, now);
}

bool load_estimate::hasReport(time_point now) const
{
    return m_report && now - m_report->receivedAt <= ReportLifetime;
}

double load_estimate::openFlows(double homeShare, time_point now) const
{
    const double own = static_cast<double>(m_recentNetFlows.total(now)) / homeShare;
    if (!hasReport(now)) {
        return std::max(0.0, own);
    }
    const double since = static_cast<double>(m_netFlowsWithinReportAge.total(now)) / homeShare;
    return std::max({0.0, own, m_report->openConnections + since});
}

double load_estimate::projectedFlows(double homeShare, time_point now) const
{
    const double growth = hasReport(now) ? std::max(0.0, m_growth) : 0;
    return openFlows(homeShare, now) + growth * static_cast<double>(ProjectionPeriod.count());
}

} // namespace ebonyway
