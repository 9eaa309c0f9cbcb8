#pragma once

#include "core/time.h"

#include <cstdint>

namespace ebonyway {

/**
 * Fraction of its normal load that one backend server gets from this instance while it is cold.
 *
 * The fraction begins at the start share and doubles each time a step of flows has been answered.
 * It never grows with time alone. Admitting a flow costs one credit. Each flow whose first choice
 * is this backend server adds the current share as credit, so that flows turned away by other
 * backend servers do not raise the load.
 */
class cold_start_ramp
{
public:
    explicit cold_start_ramp(double startShare);

    /** Fraction of the normal load, in (0, 1]; 1 means warm. */
    double share() const { return m_share; }
    bool isCold() const { return m_share < 1; }

    /** Returns to the start share. */
    void restart(time_point now);
    /** Halves the share, or returns to the start share if most flows failed. */
    void stepBack(double failedRatio, time_point now);
    /** Continues at a share that other instances have already reached in this cold start. */
    void continueFrom(double share, time_point now);

    /** Adds the credit for one proposed flow. homeShare is this instance's share, in [0, 1]. */
    void onProposal(bool firstChoice, double homeShare, time_point now);
    bool mayAdmit() const { return !isCold() || m_credit >= 1; }
    void onAdmitted();

    /**
     * An admitted flow was answered; may double the share. toleratedRatio is the accepted ratio of
     * failed flows, in [0, 1), here and in onFailed.
     */
    void onAnswered(double homeShare, double toleratedRatio);
    /** An admitted flow timed out or was refused; may reduce the share. */
    void onFailed(double toleratedRatio, time_point now);

private:
    void beginStep();
    double stepFlows(double homeShare) const;

    double m_startShare;
    double m_share = 1;
    double m_credit = 0; ///< Flows that may be admitted now.
    time_point m_creditedAt;
    std::uint32_t m_answeredFlows = 0; ///< In the current step.
    std::uint32_t m_failedFlows = 0; ///< In the current step.
};

} // namespace ebonyway
