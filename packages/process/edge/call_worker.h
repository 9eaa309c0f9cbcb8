#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ebonyway {

/**
 * A few threads that run blocking calls to the platform, to peers and to health endpoints, so that
 * a slow answer never blocks the control thread.
 */
class call_worker
{
public:
    using call = std::function<void()>;

    /** Starts the threads. At most `queueLimit` calls wait at the same time. */
    call_worker(unsigned threads, std::size_t queueLimit);
    ~call_worker();

    call_worker(const call_worker &) = delete;
    call_worker &operator=(const call_worker &) = delete;

    /** Queues a call. Returns false if the queue is full; the caller treats it as a failed call. */
    bool submit(call work);

    /** Waits for running calls and drops queued ones. */
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<call> m_calls;
    std::size_t m_queueLimit;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace ebonyway
