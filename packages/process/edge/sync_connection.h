#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "core/time.h"
#include "process/edge/call_worker.h"

#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <span>
#include <thread>
#include <vector>

namespace ebonyway {

/**
 * Sends one request frame to a peer's sync port and reads one response frame. Blocks for at most
 * `limit` per step. Fails with Unavailable or LimitExceeded.
 */
result<std::vector<std::byte>> exchangeSync(const endpoint &peer,
                                            std::span<const std::byte> request, duration limit);

/** Accepts sync connections. Each carries one request and one response. */
class sync_server
{
public:
    /** Answers a request; called on a thread of the server, so it must be safe from any thread. */
    using request_handler = std::function<result<std::vector<std::byte>>(std::vector<std::byte>)>;

    explicit sync_server(request_handler handler);
    ~sync_server();

    sync_server(const sync_server &) = delete;
    sync_server &operator=(const sync_server &) = delete;

    /** Binds the port and starts serving. Fails with Unavailable. */
    status start(const endpoint &local);

    void stop();

private:
    void acceptConnections();
    void serve(ACE_HANDLE handle);

    request_handler m_handler;
    ACE_SOCK_Acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
    call_worker m_workers;
};

} // namespace ebonyway
