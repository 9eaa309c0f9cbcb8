#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>

namespace ebonyway {

/**
 * Limits the unanswered flows that this instance has sent to one backend server.
 *
 * Unanswered flows occupy the backend server's slots or wait for one. Limiting them adapts the rate
 * of new flows to the speed of the backend server, even if its load report is old. A limit below
 * one flow is kept on average, by a pause after each unanswered flow, so that the limits of many
 * instances add up to the limit of the backend server.
 *
 * If the kernel answers for the application (SYN-ACK), an answer does not mean that a slot is free.
 * The window then limits only handshakes, and overload has to be detected from load reports and
 * resets.
 */
class offer_window
{
public:
    offer_window();

    /** Returns whether another flow may be offered. limit is in unanswered flows and over 0. */
    bool hasRoom(double limit, time_point now);

    void onOffered(time_point now);
    /** Ends the oldest offer. Returns false if none is open. */
    bool resolveOldest(time_point now);
    /** Ends the offers that were not answered in time and returns their number. */
    std::uint32_t expire(time_point now);

    /** Unanswered flows per slot that the backend server has handled without failures. */
    double queueFactor() const { return m_queueFactor; }
    void onAnswered();
    void onFailed();

private:
    void accrue(time_point now);

    std::deque<time_point> m_offers; ///< Start of each open offer, oldest first.
    double m_limit = 1;
    double m_credit = 0; ///< Flow-seconds below (positive) or over the limit.
    double m_queueFactor;
    time_point m_accruedAt;
};

} // namespace ebonyway
