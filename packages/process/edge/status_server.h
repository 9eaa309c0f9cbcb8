#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace ebonyway {

/** A page of the status server. */
struct status_page
{
    int httpStatus = 200;
    std::string contentType;
    std::string body;
};

/**
 * Serves read-only pages over HTTP on its own thread, for example /healthz, /status and /metrics.
 * The other threads publish finished pages; a request never reaches into their state.
 */
class status_server
{
public:
    status_server();
    ~status_server();

    status_server(const status_server &) = delete;
    status_server &operator=(const status_server &) = delete;

    /** Replaces the page at the path, for example "/status". Safe from any thread. */
    void publish(const std::string &path, status_page page);

    /** Binds the address and starts the thread. Fails with Unavailable. */
    status start(const endpoint &local);

    void stop();

private:
    status_page find(const std::string &path) const;

    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::map<std::string, status_page> m_pages;
};

} // namespace ebonyway
