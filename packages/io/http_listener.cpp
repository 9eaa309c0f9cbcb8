#include "io/http_listener.h"

#include "io/socket_address.h"

#include <ace/Reactor.h>

#include <utility>

namespace ebonyway {

namespace {

// Maximum number of open connections. Health checkers and scrapers use a few, but after a change
// all instances of a failure domain (96 in the capacity plan) call the one that reads the store.
constexpr std::size_t MaxConnections = 256;

// Connections that may wait to be accepted. A caller that finds the queue full tries again only
// after a second or more.
constexpr int AcceptQueueLength = MaxConnections;

// Longest accepted path; the pages have short ones.
constexpr std::size_t MaxPathBytes = 1'024;

const char *statusText(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    default:
        return "Service Unavailable";
    }
}

} // namespace

http_listener::http_listener(ACE_Reactor &loop, page_source pages)
    : m_loop(loop)
    , m_pages(std::move(pages))
{ }

http_listener::~http_listener()
{
    close();
}

status http_listener::open(const endpoint &local)
{
    if (m_acceptor.open(toAceAddress(local), 1, PF_UNSPEC, AcceptQueueLength) != 0) {
        return error{error_kind::Unavailable, "cannot listen on TCP " + local.toString(),
                     "Stop the process that uses the port or change it in the settings."};
    }
    m_acceptor.enable(ACE_NONBLOCK);
    if (m_loop.register_handler(this, ACE_Event_Handler::ACCEPT_MASK) != 0) {
        return error{error_kind::Internal, "cannot watch the listening socket",
                     "Report this as a bug."};
    }
    return std::monostate{};
}

void http_listener::close()
{
    m_connections.clear();
    if (m_acceptor.get_handle() == ACE_INVALID_HANDLE) {
        return;
    }
    m_loop.remove_handler(this, ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
    reactor(nullptr);
    m_acceptor.close();
}

std::size_t http_listener::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, open] : m_connections) {
        bytes += open->m_stream.isOpen() ? open->m_stream.unsentBytes() : 0;
    }
    return bytes;
}

int http_listener::handle_input(ACE_HANDLE)
{
    removeClosed();
    ACE_SOCK_Stream accepted;
    while (m_acceptor.accept(accepted, nullptr, nullptr, false) == 0) {
        const ACE_HANDLE handle = accepted.get_handle();
        accepted.set_handle(ACE_INVALID_HANDLE);
        if (m_connections.size() >= MaxConnections) {
            ::close(handle);
            continue;
        }
        const connection_id id = m_nextId++;
        auto &added = m_connections[id];
        added = std::make_unique<connection>(*this);
        if (!isOk(added->accept(handle))) {
            m_connections.erase(id);
        }
    }
    return 0;
}

void http_listener::removeClosed()
{
    // A connection cannot destroy itself inside its own callback.
    std::erase_if(m_connections, [](const auto &item) { return !item.second->m_stream.isOpen(); });
}

const http_parser_settings &http_listener::parserSettings()
{
    static const http_parser_settings Settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser *parser) {
            static_cast<connection *>(parser->data)->m_path.clear();
            return 0;
        };
        callbacks.on_url = [](http_parser *parser, const char *at, std::size_t length) {
            auto *self = static_cast<connection *>(parser->data);
            self->m_path.append(at, length);
            return self->m_path.size() > MaxPathBytes ? 1 : 0;
        };
        callbacks.on_message_complete = [](http_parser *parser) {
            static_cast<connection *>(parser->data)->answer();
            return 0;
        };
        return callbacks;
    }();
    return Settings;
}

http_listener::connection::connection(http_listener &owner)
    : m_owner(owner)
    , m_stream(owner.m_loop, *this)
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

void http_listener::connection::onBytes(std::span<const char> bytes)
{
    const std::size_t parsed =
            http_parser_execute(&m_parser, &parserSettings(), bytes.data(), bytes.size());
    if (parsed != bytes.size()) {
        m_stream.close();
    }
}

void http_listener::connection::onClosed(const std::string &)
{ }

void http_listener::connection::answer()
{
    const std::string path = m_path.substr(0, m_path.find('?'));
    const http_page page =
            m_parser.method == HTTP_GET ? m_owner.m_pages(path) : http_page{404, "text/plain", ""};
    const bool keepAlive = http_should_keep_alive(&m_parser) != 0;
    if (!keepAlive) {
        m_stream.closeWhenSent();
    }
    m_stream.send("HTTP/1.1 " + std::to_string(page.status) + " " + statusText(page.status)
                  + "\r\nContent-Type: " + page.contentType
                  + "\r\nContent-Length: " + std::to_string(page.body.size())
                  + (keepAlive ? "" : "\r\nConnection: close") + "\r\n\r\n" + page.body);
}

} // namespace ebonyway
