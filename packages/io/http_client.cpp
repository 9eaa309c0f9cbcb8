#include "io/http_client.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <utility>

namespace ebonyway {

namespace {

error unavailable(const endpoint &server, const std::string &reason)
{
    return error{error_kind::Unavailable, server.toString() + ": " + reason,
                 "Retry; check that the server runs if this lasts."};
}

} // namespace

http_client::http_client(ACE_Reactor &loop, endpoint server)
    : m_server(server)
    , m_stream(loop, *this)
{ }

const http_parser_settings &http_client::parserSettings()
{
    static const http_parser_settings Settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            auto &client = *static_cast<http_client *>(parser->data);
            if (std::exchange(client.m_headerNameEnded, false)) {
                client.m_headerName.clear();
            }
            std::transform(at, at + length, std::back_inserter(client.m_headerName),
                           [](unsigned char letter) { return std::tolower(letter); });
            return 0;
        };
        callbacks.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            auto &client = *static_cast<http_client *>(parser->data);
            client.m_headerNameEnded = true;
            client.m_response.headers[client.m_headerName].append(at, length);
            return 0;
        };
        callbacks.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            static_cast<http_client *>(parser->data)->m_response.body.append(at, length);
            return 0;
        };
        callbacks.on_message_complete = [](http_parser *parser) {
            static_cast<http_client *>(parser->data)->m_complete = true;
            return 0;
        };
        return callbacks;
    }();
    return Settings;
}

void http_client::startParser()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_response = http_response{};
    m_headerName.clear();
    m_headerNameEnded = false;
    m_complete = false;
    m_gotBytes = false;
}

void http_client::call(const std::string &method, const std::string &target,
                       const std::string &body, time_point deadline, handler done)
{
    m_done = std::move(done);
    m_deadline = deadline;
    m_request = method + " " + target + " HTTP/1.1\r\nHost: " + m_server.toString() + "\r\n";
    if (!body.empty()) {
        m_request += "Content-Type: application/json\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n";
    }
    m_request += "\r\n" + body;
    startParser();
    m_reused = m_stream.isOpen();
    if (!m_reused) {
        const status connected = m_stream.connect(m_server);
        if (!isOk(connected)) {
            finish(errorOf(connected));
            return;
        }
    }
    m_stream.send(m_request);
}

void http_client::cancel()
{
    m_done = nullptr;
    m_stream.close();
}

void http_client::expire(time_point now)
{
    if (!m_done || now < m_deadline) {
        return;
    }
    m_stream.close();
    finish(unavailable(m_server, "no answer in time"));
}

void http_client::onBytes(std::span<const char> bytes)
{
    if (!m_done) {
        // A response without a call; what follows on this connection cannot be trusted.
        m_stream.close();
        return;
    }
    m_gotBytes = true;
    const std::size_t parsed =
            http_parser_execute(&m_parser, &parserSettings(), bytes.data(), bytes.size());
    if (parsed != bytes.size() && !m_complete) {
        m_stream.close();
        finish(unavailable(m_server, "the answer is not HTTP"));
        return;
    }
    if (!m_complete) {
        return;
    }
    m_response.status = static_cast<int>(m_parser.status_code);
    if (http_should_keep_alive(&m_parser) == 0) {
        m_stream.close();
    }
    finish(std::move(m_response));
}

void http_client::onClosed(const std::string &reason)
{
    if (!m_done) {
        return;
    }
    if (m_reused && !m_gotBytes) {
        // The server closed the idle connection just as the call was sent. All calls of the product
        // may be repeated: reads, and writes that are conditional on a revision.
        m_reused = false;
        startParser();
        const status connected = m_stream.connect(m_server);
        if (isOk(connected)) {
            m_stream.send(m_request);
            return;
        }
    }
    finish(unavailable(m_server, reason));
}

void http_client::finish(result<http_response> outcome)
{
    // The handler may start the next call.
    const handler done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(outcome));
    }
}

} // namespace ebonyway
