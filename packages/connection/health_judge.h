#pragma once

#include "connection/admission_policy.h"
#include "connection/recent_sum.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

namespace ebonyway {

/** What a load report says beyond the numbers in it. */
enum class report_finding : std::uint8_t {
    Nothing,
    Restarted, ///< The start count changed, or most open connections vanished at once.
};

/** Judges one backend server from the traffic and the probes that this instance knows of. */
class health_judge
{
public:
    health_judge();

    void onAnswered(time_point now);
    void onFailed(time_point now);
    report_finding onReport(const load_report &report, time_point now);

    /** More flows failed recently than packet loss explains. */
    bool hasFailures(time_point now) const;
    /** Failed flows relative to all flows whose outcome was seen recently; 0 without any. */
    double failedRatio(time_point now) const;
    /** Neither traffic nor probes are answered. Stays set until either is answered again. */
    bool isDead() const { return m_dead; }
    /** Mean of busy slots in the last reports, in slots. */
    double busySlots() const { return m_busySlots; }
    /** Load reports, of a reachable endpoint or not, keep arriving. */
    bool isProbed(time_point now) const;
    /** The last report says that the backend server is not ready for flows. */
    bool isUnready() const { return m_unready; }

private:
    bool isSilent(time_point now) const;
    void updateDead(time_point now);
    report_finding compareWithLast(const load_report &report) const;

    recent_sum<4> m_answered;
    recent_sum<4> m_failed;
    time_point m_lastAnswer;
    std::optional<time_point> m_lastReportAt; ///< Of any report, also of an unreachable endpoint.
    std::optional<load_report> m_lastReport; ///< Last report of a reachable endpoint.
    std::uint32_t m_unreachableReports = 0; ///< In a row.
    double m_busySlots = 0;
    bool m_unready = false;
    bool m_dead = false;
};

} // namespace ebonyway
