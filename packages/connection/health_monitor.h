#pragma once

#include "connection/admission_policy.h"
#include "connection/sliding_window_sum.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/** What a comparison of a load report with the previous one shows. */
enum class report_finding : std::uint8_t {
    Nothing,
    Restarted, ///< The start count changed, or most open connections disappeared at once.
};

/** Infers the health of one backend server from traffic and probes known to this instance. */
class health_monitor
{
public:
    health_monitor();

    void onAnswered(time_point now);
    void onFailed(time_point now);
    report_finding onReport(const load_report &report, time_point now);

    /** Whether more flows failed recently than packet loss explains. */
    bool hasFailures(time_point now) const;
    /** Ratio of failed flows to all flows with a recent outcome; 0 if there are none. */
    double failedRatio(time_point now) const;
    /** Whether the backend server seems dead; stays true until a flow or a probe is answered. */
    bool isDead() const { return m_dead; }
    /** Moving average of busy slots in the load reports. */
    double busySlots() const { return m_busySlots; }
    /** Whether load reports keep arriving, also those of an unreachable endpoint. */
    bool isProbed(time_point now) const;
    /** Whether the last report says that the backend server is not ready for flows. */
    bool isUnready() const { return m_unready; }

private:
    bool isSilent(time_point now) const;
    void updateDead(time_point now);
    report_finding compareWithLast(const load_report &report) const;

    sliding_window_sum<4> m_answeredFlows;
    sliding_window_sum<4> m_failedFlows;
    time_point m_lastAnswer;
    std::optional<time_point> m_lastReportAt; ///< Of any report, also for an unreachable endpoint.
    std::optional<load_report> m_lastReport; ///< Last report of a reachable endpoint.
    std::uint32_t m_unreachableReports = 0; ///< Number of consecutive failed probes.
    double m_busySlots = 0;
    bool m_unready = false;
    bool m_dead = false;
};

} // namespace ebonyway
