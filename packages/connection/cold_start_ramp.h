#pragma once

#include "core/time.h"

#include <cstdint>

namespace ebonyway {

/**
 * Share of its normal load that one backend server gets from this instance while it is cold.
 *
 * The share starts at the start share and doubles when a step of flows has been answered. It never
 * grows with time alone. Flows are paid for with credit: each flow whose first choice is the
 * backend server adds the current share, so that flows turned away elsewhere do not raise the load.
 */
class cold_start_ramp
{
public:
    explicit cold_start_ramp(double startShare);

    /** Share of the normal load in (0, 1]; 1 means warm. */
    double share() const { return m_share; }
    bool isCold() const { return m_share < 1; }

    /** Returns to the start share. */
    void restart(time_point now);
    /** Halves the share, or returns to the start share if most flows failed. */
    void stepBack(double failedRatio, time_point now);
    /** Continues a cold start that other instances have already brought to a share. */
    void continueFrom(double share, time_point now);

    /** Adds the credit of one proposal. The home share is this instance's part, in [0, 1]. */
    void onProposal(bool firstChoice, double homeShare, time_point now);
    bool mayAdmit() const { return !isCold() || m_credit >= 1; }
    void onAdmitted();

    /**
     * An admitted flow was answered; may double the share. The tolerated ratio of failed flows, in
     * [0, 1), applies here and to onFailed.
     */
    void onAnswered(double homeShare, double toleratedRatio);
    /** An admitted flow was not answered in time or was refused; may reduce the share. */
    void onFailed(double toleratedRatio, time_point now);

private:
    void beginStep();
    double stepFlows(double homeShare) const;

    double m_startShare;
    double m_share = 1;
    double m_credit = 0; ///< Flows that may be admitted now.
    time_point m_creditedAt;
    std::uint32_t m_answered = 0; ///< In the current step.
    std::uint32_t m_failed = 0; ///< In the current step.
};

} // namespace ebonyway
