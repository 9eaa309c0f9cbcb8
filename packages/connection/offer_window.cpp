#include "connection/offer_window.h"

#include <algorithm>
#include <cmath>

namespace ebonyway {

namespace {

// Time after which an unanswered offer counts as failed. A caller retransmits its SYN after 1 s
// (RFC 6298 2.1); the remaining 0.5 s allow that retransmission to be seen first.
constexpr std::chrono::milliseconds AnswerDeadline{1500};

// Bounds and initial value of the unanswered flows per slot. At 1, slots stay idle while the next
// flow is on its way. At 4, a flow waits for three others, which stays well below the answer
// deadline for requests of up to 300 ms.
constexpr double MinimumQueueFactor = 1;
constexpr double InitialQueueFactor = 2;
constexpr double MaximumQueueFactor = 4;

// The queue factor grows by the first value for each answered flow and is multiplied by the second
// for each failed one. If the backend server sheds excess flows, both are in equilibrium at about
// 1% of failed flows: 0.002 / (0.1 x 2).
constexpr double QueueFactorGrowth = 0.002;
constexpr double QueueFactorDecrease = 0.9;

// Maximum unused credit, in flow-seconds. More would allow bursts of quickly answered
// flows after an idle period.
constexpr double MaximumCredit = 0.01;

// Maximum debt, in flow-seconds. With more, an instance with a small home share would send nothing
// to a recovered backend server for minutes.
constexpr double MaximumDebt = 1.0;

} // namespace

offer_window::offer_window()
    : m_queueFactor(InitialQueueFactor)
{ }

bool offer_window::hasRoom(double limit, time_point now)
{
    accrue(now);
    m_limit = limit;
    return static_cast<double>(m_offers.size()) < std::ceil(limit) && m_credit >= 0;
}

void offer_window::onOffered(time_point now)
{
    accrue(now);
    m_offers.push_back(now);
}

bool offer_window::resolveOldest(time_point now)
{
    accrue(now);
    if (m_offers.empty()) {
        return false;
    }
    m_offers.pop_front();
    return true;
}

std::uint32_t offer_window::expire(time_point now)
{
    accrue(now);
    std::uint32_t expired = 0;
    while (!m_offers.empty() && now - m_offers.front() > AnswerDeadline) {
        m_offers.pop_front();
        ++expired;
    }
    return expired;
}

void offer_window::onAnswered()
{
    m_queueFactor = std::min(MaximumQueueFactor, m_queueFactor + QueueFactorGrowth);
}

void offer_window::onFailed()
{
    m_queueFactor = std::max(MinimumQueueFactor, m_queueFactor * QueueFactorDecrease);
}

void offer_window::accrue(time_point now)
{
    const std::chrono::duration<double> elapsed = now - m_accruedAt;
    m_accruedAt = now;
    m_credit += elapsed.count() * (m_limit - static_cast<double>(m_offers.size()));
    m_credit = std::clamp(m_credit, -MaximumDebt, MaximumCredit);
}

} // namespace ebonyway
