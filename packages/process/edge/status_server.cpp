#include "process/edge/status_server.h"

#include <httplib.h>

#include <utility>

namespace ebonyway {

namespace {

// Operators and one scraper read the pages; more threads would only cost memory.
constexpr std::size_t ServerThreads = 2;

} // namespace

status_server::status_server()
    : m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] {
        return new httplib::ThreadPool(ServerThreads);
    };
    m_server->Get(".*", [this](const httplib::Request &request, httplib::Response &response) {
        const status_page page = find(request.path);
        response.status = page.httpStatus;
        response.set_content(page.body, page.contentType);
    });
}

status_server::~status_server()
{
    stop();
}

void status_server::publish(const std::string &path, status_page page)
{
    const std::lock_guard lock(m_mutex);
    m_pages[path] = std::move(page);
}

status status_server::start(const endpoint &local)
{
    if (!m_server->bind_to_port(local.address.toString(), local.port)) {
        return error{error_kind::Unavailable, "cannot bind HTTP status port " + local.toString(),
                     "Stop the process that uses the port or change base_port in the settings."};
    }
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    return std::monostate{};
}

void status_server::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_server->stop();
    m_thread.join();
}

status_page status_server::find(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pages.find(path);
    if (found == m_pages.end()) {
        return {404, "text/plain", "No such page. Read /healthz, /status, /metrics or /burn.\n"};
    }
    return found->second;
}

} // namespace ebonyway
