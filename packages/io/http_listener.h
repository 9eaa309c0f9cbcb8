#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "io/tcp_stream.h"

#include <ace/SOCK_Acceptor.h>
#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ebonyway {

/** Answer of a page to a GET request. */
struct http_page
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/** Small HTTP/1.1 server for status pages, served by an ACE reactor. */
class http_listener : public ACE_Event_Handler
{
public:
    /** Returns the page for a path. Runs on the reactor's thread. */
    using page_source = std::function<http_page(const std::string &path)>;

    http_listener(ACE_Reactor &loop, page_source pages);
    ~http_listener() override;

    /** Starts to listen. Fails with Unavailable. */
    status open(const endpoint &local);
    void close();

    /** Number of bytes of answers that wait until their receivers have read enough. */
    std::size_t unsentBytes() const;

    ACE_HANDLE get_handle() const override { return m_acceptor.get_handle(); }
    int handle_input(ACE_HANDLE handle) override;

private:
    using connection_id = std::uint64_t;

    class connection : private stream_listener
    {
    public:
        explicit connection(http_listener &owner);

        status accept(ACE_HANDLE handle) { return m_stream.accept(handle); }

    private:
        void onConnected() override { }
        void onBytes(std::span<const char> bytes) override;
        void onClosed(const std::string &reason) override;
        void answer();

        http_listener &m_owner;
        tcp_stream m_stream;
        http_parser m_parser{};
        std::string m_path;
        friend class http_listener;
    };

    static const http_parser_settings &parserSettings();
    void removeClosed();

    ACE_Reactor &m_loop;
    page_source m_pages;
    ACE_SOCK_Acceptor m_acceptor;
    connection_id m_nextId = 1;
    std::map<connection_id, std::unique_ptr<connection>> m_connections;
};

} // namespace ebonyway
