#pragma once

#include "core/time.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ebonyway {

/**
 * A thread that runs an ACE reactor, a periodic tick and tasks posted by other threads. All
 * callbacks run on this thread, so the objects they use need no locks.
 */
class reactor_thread : public ACE_Event_Handler
{
public:
    using task = std::function<void()>;

    reactor_thread();
    ~reactor_thread() override;

    ACE_Reactor &loop() { return m_reactor; }

    /** Sets the function that runs once per interval. Call it before start(). */
    void setTick(duration interval, task tick);

    /** Starts the thread. */
    void start();

    /** Runs the loop on the calling thread until stop() is called. */
    void run();

    /** Queues a task. Safe from any thread; tasks run in the order in which they were posted. */
    void post(task work);

    /** Ends the loop and joins the thread if it was started. Tasks not yet run are dropped. */
    void stop();

    int handle_timeout(const ACE_Time_Value &now, const void *argument) override;
    int handle_exception(ACE_HANDLE handle) override;

private:
    void runTasks();

    ACE_Reactor m_reactor;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
    duration m_interval{};
    task m_tick;
    std::mutex m_mutex;
    std::vector<task> m_tasks;
};

} // namespace ebonyway
