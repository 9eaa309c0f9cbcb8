#include "standins/http_port.h"

#include "standins/json_line.h"

#include <httplib.h>
#include <json/json.h>

namespace ebonyway::standins {

namespace {

/** Threads of one server; every open connection and every waiting watch occupies one. */
constexpr std::size_t ServerThreads = 64;

} // namespace

http_port::http_port()
    : m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] {
        return new httplib::ThreadPool(ServerThreads);
    };
    // A connection kept open would hold a thread and delay close().
    m_server->set_keep_alive_max_count(1);
}

http_port::~http_port()
{
    close();
}

status http_port::open(const endpoint &local)
{
    if (!m_server->bind_to_port(local.address.toString(), local.port)) {
        return error{error_kind::Unavailable, "cannot open TCP port " + local.toString(),
                     "Choose an address of this machine and a free port."};
    }
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running()) {
        std::this_thread::yield(); // stop() has no effect before the thread listens.
    }
    return std::monostate{};
}

void http_port::close()
{
    if (m_thread.joinable()) {
        m_server->stop();
        m_thread.join();
    }
}

bool readJsonBody(const httplib::Request &request, httplib::Response &response, Json::Value &body)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string problem;
    const char *begin = request.body.data();
    if (reader->parse(begin, begin + request.body.size(), &body, &problem)) {
        return true;
    }
    response.status = 400;
    response.set_content("the body is not JSON: " + problem + "\n", "text/plain");
    return false;
}

void answerControl(httplib::Response &response, const status &outcome, const Json::Value &value)
{
    if (!isOk(outcome)) {
        response.status = 400;
        response.set_content(describe(errorOf(outcome)) + "\n", "text/plain");
        return;
    }
    response.set_content(formatJsonLine(value) + "\n", "application/json");
}

} // namespace ebonyway::standins
