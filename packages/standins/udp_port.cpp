#include "standins/udp_port.h"

#include <ace/Reactor.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Largest UDP payload. */
constexpr std::size_t LargestDatagram = 65'507;
/** Datagrams read per wake-up, so that one busy port does not starve the others. */
constexpr int DatagramsPerWakeUp = 256;
/** Receive buffer in bytes; bursts beyond it are lost. The kernel may grant less. */
constexpr int ReceiveBuffer = 4 * 1024 * 1024;

ACE_INET_Addr toAce(const endpoint &local)
{
    ACE_INET_Addr address;
    const int family = local.address.isV4() ? AF_INET : AF_INET6;
    address.set(local.port, local.address.toString().c_str(), 1, family);
    return address;
}

endpoint fromAce(const ACE_INET_Addr &address)
{
    endpoint source;
    source.port = address.get_port_number();
    if (address.get_type() == AF_INET) {
        source.address = ip_address::fromV4(address.get_ip_address());
        return source;
    }
    const auto *v6 = static_cast<const sockaddr_in6 *>(address.get_addr());
    std::copy(std::begin(v6->sin6_addr.s6_addr), std::end(v6->sin6_addr.s6_addr),
              source.address.bytes.begin());
    return source;
}

} // namespace

udp_port::~udp_port()
{
    if (reactor() != nullptr) {
        reactor()->remove_handler(this, READ_MASK | DONT_CALL);
    }
    m_socket.close();
}

status udp_port::open(ACE_Reactor &reactor, const endpoint &local, receiver onDatagram)
{
    m_onDatagram = std::move(onDatagram);
    if (m_socket.open(toAce(local)) != 0) {
        return error{error_kind::Unavailable, "cannot open UDP port " + local.toString(),
                     "Choose an address of this machine and a free port."};
    }
    int size = ReceiveBuffer;
    m_socket.set_option(SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    reactor.register_handler(this, READ_MASK);
    return std::monostate{};
}

const ACE_INET_Addr &udp_port::resolve(const endpoint &to)
{
    const auto known = m_addresses.find(to);
    return known != m_addresses.end() ? known->second
                                      : m_addresses.emplace(to, toAce(to)).first->second;
}

void udp_port::send(const endpoint &to, std::span<const std::byte> bytes)
{
    m_socket.send(bytes.data(), bytes.size(), resolve(to));
}

int udp_port::handle_input(ACE_HANDLE)
{
    std::array<std::byte, LargestDatagram> buffer;
    for (int i = 0; i < DatagramsPerWakeUp; ++i) {
        ACE_INET_Addr source;
        const ssize_t length = m_socket.recv(buffer.data(), buffer.size(), source, MSG_DONTWAIT);
        if (length < 0) {
            break;
        }
        m_onDatagram(fromAce(source), std::span(buffer.data(), static_cast<std::size_t>(length)));
    }
    return 0;
}

} // namespace ebonyway::standins
