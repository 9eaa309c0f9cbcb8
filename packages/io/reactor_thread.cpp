#include "io/reactor_thread.h"

#include "io/ace_time.h"

#include <ace/Select_Reactor.h>
#include <ace/Thread.h>
#include <ace/Time_Value.h>

#include <utility>

namespace ebonyway {

namespace {

// The loop wakes up this often to see a stop request even if a notification was lost.
const ACE_Time_Value LoopTimeout(0, 200'000);

} // namespace

reactor_thread::reactor_thread()
    // Few sockets are served, so select() costs little. The epoll reactor rounds its timeouts down
    // to whole milliseconds and spins for up to 1 ms before each timer: 3% of a core when idle.
    : m_reactor(new ACE_Select_Reactor(), true)
{ }

reactor_thread::~reactor_thread()
{
    stop();
    m_reactor.cancel_timer(this);
    m_reactor.purge_pending_notifications(this);
    // The base class would otherwise use the reactor, which is destroyed before it.
    reactor(nullptr);
}

void reactor_thread::setTick(duration interval, task tick)
{
    m_interval = interval;
    m_tick = std::move(tick);
}

void reactor_thread::start()
{
    m_thread = std::thread([this] { run(); });
}

void reactor_thread::run()
{
    m_reactor.owner(ACE_Thread::self());
    if (m_tick) {
        const ACE_Time_Value interval = toAceTime(m_interval);
        m_reactor.schedule_timer(this, nullptr, interval, interval);
    }
    while (!m_stopping) {
        ACE_Time_Value timeout = LoopTimeout;
        m_reactor.handle_events(timeout);
        runTasks();
    }
}

void reactor_thread::post(task work)
{
    bool first = false;
    {
        const std::lock_guard lock(m_mutex);
        first = m_tasks.empty();
        m_tasks.push_back(std::move(work));
    }
    if (first) {
        ACE_Time_Value noWait = ACE_Time_Value::zero;
        m_reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK, &noWait);
    }
}

void reactor_thread::stop()
{
    m_stopping = true;
    ACE_Time_Value noWait = ACE_Time_Value::zero;
    m_reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK, &noWait);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

int reactor_thread::handle_timeout(const ACE_Time_Value &, const void *)
{
    m_tick();
    return 0;
}

int reactor_thread::handle_exception(ACE_HANDLE)
{
    runTasks();
    return 0;
}

void reactor_thread::runTasks()
{
    std::vector<task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const task &work : tasks) {
        work();
    }
}

} // namespace ebonyway
