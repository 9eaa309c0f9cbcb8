#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>

namespace ebonyway {

/**
 * Limits the flows that this instance has offered to one backend server and that are unanswered.
 *
 * Unanswered flows occupy the backend server's slots or wait for them, so limiting them adapts the
 * rate of new flows to the speed of the backend server, whatever that is and however old its load
 * report. A limit below one flow is kept on average: the time that an offer was open is followed by
 * a pause, so that the limits of many instances add up to the limit of the backend server.
 *
 * If the kernel answers for the application (SYN-ACK), an answer does not mean that a slot is free.
 * The window then bounds only the handshakes, and load reports and resets have to show overload.
 */
class offer_window
{
public:
    offer_window();

    /** Returns whether another flow may be offered. The limit is in unanswered flows, over 0. */
    bool hasRoom(double limit, time_point now);

    void onOffered(time_point now);
    /** Ends the oldest offer. Returns false if none is open. */
    bool resolveOldest(time_point now);
    /** Ends the offers that were not answered in time and returns their number. */
    std::uint32_t expire(time_point now);

    /** Unanswered flows per slot that the backend server has proved to bear. */
    double queueFactor() const { return m_queueFactor; }
    void onAnswered();
    void onFailed();

private:
    void accrue(time_point now);

    std::deque<time_point> m_offers; ///< Start of each open offer, oldest first.
    double m_limit = 1;
    double m_credit = 0; ///< Unanswered flows x seconds below (positive) or over the limit.
    double m_queueFactor;
    time_point m_accruedAt;
};

} // namespace ebonyway
