#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include <cstddef>
#include <functional>
#include <map>
#include <span>

class ACE_Reactor;

namespace ebonyway::standins {

/** A UDP socket on an ACE reactor. */
class udp_port : public ACE_Event_Handler
{
public:
    using receiver = std::function<void(const endpoint &source, std::span<const std::byte> bytes)>;

    udp_port() = default;
    ~udp_port() override;
    udp_port(const udp_port &) = delete;
    udp_port &operator=(const udp_port &) = delete;

    /** Opens the socket and registers it. Fails with Unavailable if the address is in use. */
    status open(ACE_Reactor &reactor, const endpoint &local, receiver onDatagram);
    /** Sends one datagram. Errors are ignored: the network may lose datagrams as well. */
    void send(const endpoint &to, std::span<const std::byte> bytes);

    ACE_HANDLE get_handle() const override { return m_socket.get_handle(); }
    int handle_input(ACE_HANDLE handle) override;

private:
    const ACE_INET_Addr &resolve(const endpoint &to);

    ACE_SOCK_Dgram m_socket;
    receiver m_onDatagram;
    std::map<endpoint, ACE_INET_Addr> m_addresses; ///< Converted destinations.
};

} // namespace ebonyway::standins
