#include "io/datagram_socket.h"

#include "io/socket_address.h"

#include <ace/Reactor.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace ebonyway {

namespace {

// Largest UDP payload; an IP packet in UDP cannot be larger.
constexpr std::size_t MaxDatagramBytes = 65'535;

// Datagrams read per wake-up, so that one busy socket does not starve the others.
constexpr int ReceiveBatch = 64;

// Holds about 10 ms of packets at 100,000 packets/s of 1,000 bytes while the thread is scheduled
// out.
constexpr int ReceiveBufferBytes = 1 << 20;

} // namespace

datagram_socket::datagram_socket(datagram_receiver &receiver, int tag)
    : m_receiver(receiver)
    , m_tag(tag)
{ }

datagram_socket::~datagram_socket()
{
    close();
}

status datagram_socket::open(const endpoint &local, bool shared)
{
    const ACE_INET_Addr address = toAceAddress(local);
    const int family = local.address.isV4() ? AF_INET : AF_INET6;
    const int reuse = shared ? 1 : 0;
    // ACE binds inside open(), too late for SO_REUSEPORT, so a shared socket is made by hand.
    const ACE_HANDLE handle = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool bound = handle != ACE_INVALID_HANDLE
                       && ::setsockopt(handle, SOL_SOCKET, SO_REUSEPORT, &reuse, sizeof(reuse)) == 0
                       && ::bind(handle, static_cast<const sockaddr *>(address.get_addr()),
                                 static_cast<socklen_t>(address.get_size()))
                                  == 0;
    if (!bound) {
        const std::string reason = std::strerror(errno);
        if (handle != ACE_INVALID_HANDLE) {
            ::close(handle);
        }
        return error{error_kind::Unavailable, "cannot bind UDP " + local.toString() + ": " + reason,
                     "Stop the process that uses the port or change base_port in the settings."};
    }
    ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
    m_socket.set_handle(handle);
    return std::monostate{};
}

bool datagram_socket::attach(ACE_Reactor &reactor)
{
    return reactor.register_handler(this, ACE_Event_Handler::READ_MASK) == 0;
}

bool datagram_socket::send(const endpoint &to, std::span<const std::byte> bytes)
{
    const ACE_INET_Addr address = toAceAddress(to);
    const ssize_t sent = m_socket.send(bytes.data(), bytes.size(), address, MSG_DONTWAIT);
    return sent == static_cast<ssize_t>(bytes.size());
}

void datagram_socket::close()
{
    if (m_socket.get_handle() == ACE_INVALID_HANDLE) {
        return;
    }
    if (reactor() != nullptr) {
        // The reactor would otherwise reach for this object when it is closed later.
        reactor()->remove_handler(this,
                                  ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        reactor(nullptr);
    }
    m_socket.close();
}

ACE_HANDLE datagram_socket::get_handle() const
{
    return m_socket.get_handle();
}

int datagram_socket::handle_input(ACE_HANDLE)
{
    static thread_local std::array<std::byte, MaxDatagramBytes> buffer;
    for (int i = 0; i < ReceiveBatch; ++i) {
        ACE_INET_Addr from;
        const ssize_t size = m_socket.recv(buffer.data(), buffer.size(), from, MSG_DONTWAIT);
        if (size < 0) {
            // EAGAIN ends the batch. ECONNREFUSED reports an earlier send and is of no interest.
            if (errno == ECONNREFUSED || errno == EINTR) {
                continue;
            }
            break;
        }
        const auto length = static_cast<std::size_t>(size);
        m_receiver.onDatagram(m_tag, std::span(buffer.data(), length), fromAceAddress(from));
    }
    return 0;
}

} // namespace ebonyway
