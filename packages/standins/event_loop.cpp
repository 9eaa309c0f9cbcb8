#include "standins/event_loop.h"

#include <ace/Log_Msg.h>
#include <ace/Time_Value.h>

#include <algorithm>
#include <csignal>

namespace ebonyway::standins {

namespace {

constexpr duration LongestSleep = std::chrono::milliseconds(50);
/** Shortest sleep; timers closer together are handled in one wake-up. */
constexpr duration ShortestSleep = std::chrono::microseconds(200);

ACE_Time_Value toAce(duration length)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(length).count();
    return ACE_Time_Value(static_cast<time_t>(count / 1'000'000),
                          static_cast<suseconds_t>(count % 1'000'000));
}

} // namespace

event_loop::event_loop()
{
    // ACE reports a wait that a signal interrupts as an error, but here that is a normal stop.
    ACE_LOG_MSG->clr_flags(ACE_Log_Msg::STDERR);
    m_reactor.register_handler(SIGINT, this);
    m_reactor.register_handler(SIGTERM, this);
}

event_loop::~event_loop()
{
    ACE_Sig_Action *unchanged = nullptr;
    m_reactor.remove_handler(SIGINT, unchanged);
    m_reactor.remove_handler(SIGTERM, unchanged);
}

int event_loop::handle_signal(int, siginfo_t *, ucontext_t *)
{
    m_signalled = true;
    m_stopped = m_stopped || m_stopOnSignal;
    return 0;
}

void event_loop::run(const std::function<time_point(time_point now)> &wake)
{
    while (!m_stopped) {
        const time_point now = std::chrono::steady_clock::now();
        const time_point next = wake(now);
        const duration wait =
                next == time_point::max() ? LongestSleep : std::max(ShortestSleep, next - now);
        ACE_Time_Value sleep = toAce(std::min(LongestSleep, wait));
        m_reactor.handle_events(sleep);
    }
}

} // namespace ebonyway::standins
