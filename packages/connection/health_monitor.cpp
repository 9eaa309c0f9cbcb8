#include "connection/health_monitor.h"

namespace ebonyway {

namespace {

// Time window in which answered and failed flows are counted. It is long enough to include the
// first SYN retransmission, 1 s after the SYN.
constexpr std::chrono::seconds EvidenceWindow{2};

// Number of failed flows in the window below which packet loss may explain them. At 1% loss and 30
// flows in the window, 5 failures occur in about 1 of 100,000 windows.
constexpr std::int64_t MinimumFailures = 5;

// Number of consecutive failed probes after which a backend server may be declared dead. A single
// probe may be lost; at 1% loss, three consecutive losses have a probability of 1e-6.
constexpr std::uint32_t UnreachableReportsUntilDead = 3;

// Time after an answer during which failed probes do not make a backend server dead: the fault is
// then on the path of the probe.
constexpr std::chrono::seconds AnswerPrecedencePeriod{3};

// Maximum age of the last load report of a backend server that counts as probed. Without a newer
// one, health is inferred from traffic alone.
constexpr std::chrono::seconds ReportLifetime{15};

// Weight of a new report in the moving average of busy slots. A report is one sample, which is
// mostly noise if the server has few slots.
constexpr double BusySmoothing = 0.2;

// Minimum number of open connections in a report for a drop to less than half in the next one to
// indicate an unreported restart. Below this number the drop may be due to chance.
constexpr std::uint32_t MinimumConnectionsForDrop = 200;

} // namespace

health_monitor::health_monitor()
    : m_answeredFlows(EvidenceWindow)
    , m_failedFlows(EvidenceWindow)
{ }

void health_monitor::onAnswered(time_point now)
{
    m_answeredFlows.add(1, now);
    m_lastAnswer = now;
    m_dead = false;
}

void health_monitor::onFailed(time_point now)
{
    m_failedFlows.add(1, now);
    updateDead(now);
}

report_finding health_monitor::onReport(const load_report &report, time_point now)
{
    m_lastReportAt = now;
    if (!report.reachable) {
        ++m_unreachableReports;
        updateDead(now);
        return report_finding::Nothing;
    }
    const report_finding finding = compareWithLast(report);
    m_unreachableReports = 0;
    m_dead = false;
    m_unready = !report.ready;
    m_busySlots += BusySmoothing * (report.busySlots - m_busySlots);
    m_lastReport = report;
    return finding;
}

report_finding health_monitor::compareWithLast(const load_report &report) const
{
    if (!m_lastReport) {
        return report_finding::Nothing;
    }
    const bool counted = report.startCount != 0 && m_lastReport->startCount != 0;
    if (counted && report.startCount != m_lastReport->startCount) {
        return report_finding::Restarted;
    }
    const std::uint32_t before = m_lastReport->openConnections;
    const bool dropped = before >= MinimumConnectionsForDrop && report.openConnections < before / 2;
    return dropped ? report_finding::Restarted : report_finding::Nothing;
}

bool health_monitor::hasFailures(time_point now) const
{
    return m_failedFlows.total(now) >= MinimumFailures;
}

double health_monitor::failedRatio(time_point now) const
{
    const auto failed = static_cast<double>(m_failedFlows.total(now));
    const auto answered = static_cast<double>(m_answeredFlows.total(now));
    return failed > 0 ? failed / (failed + answered) : 0;
}

bool health_monitor::isProbed(time_point now) const
{
    return m_lastReportAt && now - *m_lastReportAt <= ReportLifetime;
}

bool health_monitor::isSilent(time_point now) const
{
    return hasFailures(now) && m_answeredFlows.total(now) == 0;
}

void health_monitor::updateDead(time_point now)
{
    const bool probesFail = m_unreachableReports >= UnreachableReportsUntilDead
                            && now - m_lastAnswer > AnswerPrecedencePeriod;
    const bool unconfirmed = m_unreachableReports > 0 || !isProbed(now);
    m_dead = m_dead || probesFail || (unconfirmed && isSilent(now));
}

} // namespace ebonyway
