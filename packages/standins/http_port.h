#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <json/forwards.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace ebonyway::standins {

/** An HTTP server on its own threads. Handlers are added before open(). */
class http_port
{
public:
    http_port();
    ~http_port();
    http_port(const http_port &) = delete;
    http_port &operator=(const http_port &) = delete;

    httplib::Server &server() { return *m_server; }
    /** Starts serving. Fails with Unavailable if the address is in use. */
    status open(const endpoint &local);
    /** Ends all connections and waits for the threads. */
    void close();

private:
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
};

/** Parses the body of a control request; on failure it answers the request and returns false. */
bool readJsonBody(const httplib::Request &request, httplib::Response &response, Json::Value &body);

/** Answers a control request: 200 with the value, or 400 with the error. */
void answerControl(httplib::Response &response, const status &outcome, const Json::Value &value);

} // namespace ebonyway::standins
