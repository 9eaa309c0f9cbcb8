#include "io/tcp_stream.h"

#include "io/socket_address.h"

#include <ace/Reactor.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace ebonyway {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

// A silent connection is found after 1 s + 2 probes of 1 s each, within the shortest bound of the
// platform (3 s) that depends on fresh knowledge.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMillis = 2'500;

void setOption(ACE_HANDLE handle, int level, int name, int value)
{
    // A missing option only delays the discovery of a dead peer, which the calls' own timeouts
    // bound.
    ::setsockopt(handle, level, name, &value, sizeof(value));
}

} // namespace

tcp_stream::tcp_stream(ACE_Reactor &loop, stream_listener &listener)
    : m_loop(loop)
    , m_listener(listener)
{ }

tcp_stream::~tcp_stream()
{
    close();
}

status tcp_stream::connect(const endpoint &to)
{
    close();
    const ACE_INET_Addr address = toAceAddress(to);
    const int family = to.address.isV4() ? AF_INET : AF_INET6;
    const ACE_HANDLE handle = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle == ACE_INVALID_HANDLE) {
        return error{error_kind::Unavailable,
                     "cannot create a TCP socket: " + std::string(std::strerror(errno)),
                     "Raise the limit of open files."};
    }
    m_stream.set_handle(handle);
    const int outcome = ::connect(handle, static_cast<const sockaddr *>(address.get_addr()),
                                  static_cast<socklen_t>(address.get_size()));
    if (outcome != 0 && errno != EINPROGRESS) {
        const std::string reason = std::strerror(errno);
        close();
        return error{error_kind::Unavailable, "cannot connect to " + to.toString() + ": " + reason,
                     "Check that the address is right and that its process runs."};
    }
    return attach(true);
}

status tcp_stream::accept(ACE_HANDLE handle)
{
    close();
    m_stream.set_handle(handle);
    m_stream.enable(ACE_NONBLOCK);
    return attach(false);
}

status tcp_stream::attach(bool connecting)
{
    const ACE_HANDLE handle = m_stream.get_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMillis);
    m_connecting = connecting;
    m_closeWhenSent = false;
    m_watchingOutput = connecting;
    ACE_Reactor_Mask mask = READ_MASK;
    if (connecting) {
        mask = WRITE_MASK;
    }
    if (m_loop.register_handler(this, mask) != 0) {
        m_stream.close();
        return error{error_kind::Unavailable, "cannot watch another connection",
                     "Lower the number of connections to this process."};
    }
    return std::monostate{};
}

void tcp_stream::send(const std::string &bytes)
{
    if (!isOpen()) {
        return;
    }
    m_unsent += bytes;
    if (!m_connecting) {
        flush();
    }
}

bool tcp_stream::flush()
{
    while (!m_unsent.empty()) {
        const ssize_t sent = ::send(m_stream.get_handle(), m_unsent.data(), m_unsent.size(),
                                    MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            watchOutput(true);
            return true;
        }
        if (sent < 0) {
            fail(std::strerror(errno));
            return false;
        }
        m_unsent.erase(0, static_cast<std::size_t>(sent));
    }
    watchOutput(false);
    if (m_closeWhenSent) {
        fail("closed after the last response");
        return false;
    }
    return true;
}

void tcp_stream::closeWhenSent()
{
    m_closeWhenSent = true;
}

void tcp_stream::watchOutput(bool wanted)
{
    if (wanted == m_watchingOutput) {
        return;
    }
    m_watchingOutput = wanted;
    m_loop.mask_ops(this, WRITE_MASK, wanted ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
}

void tcp_stream::close()
{
    m_unsent.clear();
    if (!isOpen()) {
        return;
    }
    m_loop.remove_handler(this, READ_MASK | WRITE_MASK | DONT_CALL);
    reactor(nullptr);
    m_stream.close();
}

void tcp_stream::fail(const std::string &reason)
{
    if (!isOpen()) {
        return;
    }
    close();
    m_listener.onClosed(reason);
}

int tcp_stream::handle_input(ACE_HANDLE)
{
    static thread_local std::array<char, ReadBytes> buffer;
    while (isOpen()) {
        const ssize_t size =
                ::recv(m_stream.get_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            m_listener.onBytes(std::span(buffer.data(), static_cast<std::size_t>(size)));
            if (static_cast<std::size_t>(size) < buffer.size()) {
                break;
            }
            continue;
        }
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        fail(size == 0 ? "the peer closed the connection" : std::strerror(errno));
    }
    return 0;
}

int tcp_stream::handle_output(ACE_HANDLE)
{
    if (m_connecting) {
        int failure = 0;
        socklen_t size = sizeof(failure);
        ::getsockopt(m_stream.get_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure != 0) {
            fail(std::strerror(failure));
            return 0;
        }
        m_connecting = false;
        m_loop.mask_ops(this, READ_MASK, ACE_Reactor::ADD_MASK);
        m_listener.onConnected();
        if (!isOpen()) {
            return 0;
        }
    }
    flush();
    return 0;
}

int tcp_stream::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
    fail("the connection broke");
    return 0;
}

} // namespace ebonyway
