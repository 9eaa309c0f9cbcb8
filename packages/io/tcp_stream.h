#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "core/time.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <span>
#include <string>

class ACE_Reactor;

namespace ebonyway {

/** Receives the events of a tcp_stream. The stream may be closed, but not destroyed, in a call. */
class stream_listener
{
public:
    virtual ~stream_listener() = default;

    virtual void onConnected() = 0;
    /** The bytes are valid during the call. */
    virtual void onBytes(std::span<const char> bytes) = 0;
    /** The peer closed the connection, or it failed. The stream is already closed. */
    virtual void onClosed(const std::string &reason) = 0;
};

/**
 * Non-blocking TCP connection with an output buffer, served by an ACE reactor. Short keep-alive
 * probes find connections that fell silent without a reset.
 */
class tcp_stream : public ACE_Event_Handler
{
public:
    tcp_stream(ACE_Reactor &loop, stream_listener &listener);
    ~tcp_stream() override;

    /** Starts to connect. Fails with Unavailable if the kernel refuses at once. */
    status connect(const endpoint &to);
    /** Takes over an accepted connection. Fails with Unavailable. */
    status accept(ACE_HANDLE handle);

    /** Sends the bytes, now or when the peer has read enough. */
    void send(const std::string &bytes);

    /** Number of bytes that wait until the peer has read enough. */
    std::size_t unsentBytes() const { return m_unsent.size(); }

    /** Closes the connection without a call to the listener. */
    void close();
    bool isOpen() const { return m_stream.get_handle() != ACE_INVALID_HANDLE; }
    /** Closes the connection when everything has been sent. */
    void closeWhenSent();

    ACE_HANDLE get_handle() const override { return m_stream.get_handle(); }
    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;

private:
    status attach(bool connecting);
    void fail(const std::string &reason);
    bool flush();
    void watchOutput(bool wanted);

    ACE_Reactor &m_loop;
    stream_listener &m_listener;
    ACE_SOCK_Stream m_stream;
    std::string m_unsent;
    bool m_connecting = false;
    bool m_watchingOutput = false;
    bool m_closeWhenSent = false;
};

} // namespace ebonyway
