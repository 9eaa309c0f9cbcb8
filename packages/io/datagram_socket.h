#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>

#include <cstddef>
#include <span>

class ACE_Reactor;

namespace ebonyway {

/** Receives the datagrams of one or more sockets. */
class datagram_receiver
{
public:
    virtual ~datagram_receiver() = default;

    /** `tag` is the value that the socket was opened with. The bytes are valid during the call. */
    virtual void onDatagram(int tag, std::span<const std::byte> bytes, const endpoint &from) = 0;
};

/** Non-blocking UDP socket that is served by an ACE reactor. */
class datagram_socket : public ACE_Event_Handler
{
public:
    datagram_socket(datagram_receiver &receiver, int tag);
    ~datagram_socket() override;

    /** Binds the address. With `shared` several sockets may bind it. Fails with Unavailable. */
    status open(const endpoint &local, bool shared);

    /** Registers with the reactor of the thread that will serve the socket. */
    bool attach(ACE_Reactor &reactor);

    /** Sends one datagram. Returns false if the kernel did not take it; UDP senders do not retry.
     */
    bool send(const endpoint &to, std::span<const std::byte> bytes);

    /** Closes the socket. The reactor must not be running. */
    void close();

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

private:
    datagram_receiver &m_receiver;
    int m_tag = 0;
    ACE_SOCK_Dgram m_socket;
};

} // namespace ebonyway
