#pragma once

#include "core/time.h"
#include "io/tcp_stream.h"

#include <http_parser.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ebonyway {

/** Answer to an HTTP call. */
struct http_response
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< By name in lower case.
};

/**
 * HTTP/1.1 client on one kept-alive connection, one call at a time. Every call ends with exactly
 * one call of its handler: a response, or an error of kind Unavailable. The owner enforces timeouts
 * by expire().
 */
class http_client : private stream_listener
{
public:
    using handler = std::function<void(result<http_response>)>;

    http_client(ACE_Reactor &loop, endpoint server);

    /** Starts a call. There must be none under way. `body` is empty for GET and DELETE. */
    void call(const std::string &method, const std::string &target, const std::string &body,
              time_point deadline, handler done);

    /** Gives up the call without an answer to its handler, and closes the connection. */
    void cancel();

    /** Fails the call if its deadline has passed. */
    void expire(time_point now);

    bool isBusy() const { return static_cast<bool>(m_done); }

private:
    void onConnected() override { }
    void onBytes(std::span<const char> bytes) override;
    void onClosed(const std::string &reason) override;

    void startParser();
    void finish(result<http_response> outcome);
    static const http_parser_settings &parserSettings();

    endpoint m_server;
    tcp_stream m_stream;
    http_parser m_parser{};
    http_response m_response;
    std::string m_headerName; ///< Of the header whose value follows.
    bool m_headerNameEnded = false;
    std::string m_request;
    bool m_complete = false;
    bool m_reused = false; ///< The call runs on a connection that served an earlier one.
    bool m_gotBytes = false;
    time_point m_deadline;
    handler m_done;
};

} // namespace ebonyway
