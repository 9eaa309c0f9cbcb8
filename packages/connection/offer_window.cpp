#include "connection/offer_window.h"

#include <algorithm>
#include <cmath>

namespace ebonyway {

namespace {

// An offer that is older has failed. A caller repeats its SYN after 1 s (RFC 6298 2.1); the rest
// lets that retransmission be seen first.
constexpr std::chrono::milliseconds AnswerDeadline{1500};

// Unanswered flows per slot. At 1, every slot is busy only if new flows take no time to arrive; at
// 4, a flow waits for three others, which is well below the answer deadline for requests up to 300
// ms.
constexpr double MinimumQueueFactor = 1;
constexpr double InitialQueueFactor = 2;
constexpr double MaximumQueueFactor = 4;

// These steps balance at about 1% of failed flows when the backend server sheds the flows that do
// not fit: 0.002 / (0.1 x 2).
constexpr double QueueFactorGrowth = 0.002;
constexpr double QueueFactorDecrease = 0.9;

// Unused credit, in flow-seconds. More would allow bursts of fast flows after an idle period.
constexpr double MaximumCredit = 0.01;

// Debt, in flow-seconds. More would keep a small home from a recovered backend server for minutes.
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
