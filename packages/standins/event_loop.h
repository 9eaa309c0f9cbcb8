#pragma once

#include "core/time.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <atomic>
#include <functional>

namespace ebonyway::standins {

/** Runs a stand-in on an ACE reactor until stop() is called or SIGINT or SIGTERM arrives. */
class event_loop : public ACE_Event_Handler
{
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    ACE_Reactor &sockets() { return m_reactor; }

    /**
     * Calls wake after every batch of datagrams and at the time that wake returned last.
     * The longest sleep is 50 ms, so that other threads need not interrupt it.
     */
    void run(const std::function<time_point(time_point now)> &wake);
    void stop() { m_stopped = true; }
    /** With false a signal is only noted, and the program decides when to stop. */
    void setStopOnSignal(bool stopOnSignal) { m_stopOnSignal = stopOnSignal; }
    bool wasSignalled() const { return m_signalled; }

    int handle_signal(int signal, siginfo_t *info, ucontext_t *context) override;

private:
    ACE_Reactor m_reactor;
    std::atomic<bool> m_stopped = false;
    std::atomic<bool> m_signalled = false;
    bool m_stopOnSignal = true;
};

} // namespace ebonyway::standins
