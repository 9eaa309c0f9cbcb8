#include "process/edge/call_worker.h"

#include <utility>

namespace ebonyway {

call_worker::call_worker(unsigned threads, std::size_t queueLimit)
    : m_queueLimit(queueLimit)
{
    for (unsigned i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { run(); });
    }
}

call_worker::~call_worker()
{
    stop();
}

bool call_worker::submit(call work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || m_calls.size() >= m_queueLimit) {
            return false;
        }
        m_calls.push_back(std::move(work));
    }
    m_wake.notify_one();
    return true;
}

void call_worker::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_calls.clear();
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void call_worker::run()
{
    while (true) {
        call work;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_stopping || !m_calls.empty(); });
            if (m_stopping) {
                return;
            }
            work = std::move(m_calls.front());
            m_calls.pop_front();
        }
        work();
    }
}

} // namespace ebonyway
