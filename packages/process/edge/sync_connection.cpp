#include "process/edge/sync_connection.h"

#include "io/ace_time.h"
#include "io/socket_address.h"
#include "process/sync_message.h"
#include "request/byte_order.h"

#include <ace/SOCK_Connector.h>

#include <array>
#include <utility>

namespace ebonyway {

namespace {

constexpr std::size_t LengthBytes = 4;

// A few peers catch up at the same time; more connections wait in the accept queue.
constexpr unsigned ServerThreads = 2;
constexpr std::size_t ConnectionQueueLimit = 16;

const ACE_Time_Value AcceptPoll(0, 200'000);
const ACE_Time_Value ServeTimeout(2, 0);

bool sendFrame(ACE_SOCK_Stream &stream, std::span<const std::byte> bytes,
               const ACE_Time_Value &timeout)
{
    std::array<std::byte, LengthBytes> length{};
    writeU32(length, 0, static_cast<std::uint32_t>(bytes.size()));
    return stream.send_n(length.data(), length.size(), &timeout) == LengthBytes
           && stream.send_n(bytes.data(), bytes.size(), &timeout)
                      == static_cast<ssize_t>(bytes.size());
}

result<std::vector<std::byte>> receiveFrame(ACE_SOCK_Stream &stream, const ACE_Time_Value &timeout)
{
    const error broken{error_kind::Unavailable, "the sync connection ended early",
                       "Retry with another peer."};
    std::array<std::byte, LengthBytes> length{};
    if (stream.recv_n(length.data(), length.size(), &timeout) != LengthBytes) {
        return broken;
    }
    const std::size_t size = readU32(length, 0);
    if (size > MaxSyncMessageSize) {
        return error{error_kind::LimitExceeded,
                     "the peer announced a sync message of " + std::to_string(size) + " bytes",
                     "Check that the port belongs to an instance of this version."};
    }
    std::vector<std::byte> bytes(size);
    if (stream.recv_n(bytes.data(), size, &timeout) != static_cast<ssize_t>(size)) {
        return broken;
    }
    return bytes;
}

} // namespace

result<std::vector<std::byte>> exchangeSync(const endpoint &peer,
                                            std::span<const std::byte> request, duration limit)
{
    const ACE_Time_Value timeout = toAceTime(limit);
    ACE_SOCK_Stream stream;
    ACE_SOCK_Connector connector;
    if (connector.connect(stream, toAceAddress(peer), &timeout) != 0) {
        return error{error_kind::Unavailable, "cannot connect to the sync port " + peer.toString(),
                     "Retry with another peer."};
    }
    if (!sendFrame(stream, request, timeout)) {
        stream.close();
        return error{error_kind::Unavailable, "cannot send to the sync port " + peer.toString(),
                     "Retry with another peer."};
    }
    result<std::vector<std::byte>> response = receiveFrame(stream, timeout);
    stream.close();
    return response;
}

sync_server::sync_server(request_handler handler)
    : m_handler(std::move(handler))
    , m_workers(ServerThreads, ConnectionQueueLimit)
{ }

sync_server::~sync_server()
{
    stop();
}

status sync_server::start(const endpoint &local)
{
    if (m_acceptor.open(toAceAddress(local), 1) != 0) {
        return error{error_kind::Unavailable, "cannot bind the sync port " + local.toString(),
                     "Stop the process that uses the port or change base_port in the settings."};
    }
    m_thread = std::thread([this] { acceptConnections(); });
    return std::monostate{};
}

void sync_server::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_workers.stop();
    m_acceptor.close();
}

void sync_server::acceptConnections()
{
    while (!m_stopping) {
        ACE_SOCK_Stream stream;
        ACE_Time_Value timeout = AcceptPoll;
        if (m_acceptor.accept(stream, nullptr, &timeout) != 0) {
            continue;
        }
        const ACE_HANDLE handle = stream.get_handle();
        if (!m_workers.submit([this, handle] { serve(handle); })) {
            stream.close();
        }
    }
}

void sync_server::serve(ACE_HANDLE handle)
{
    ACE_SOCK_Stream stream(handle);
    result<std::vector<std::byte>> request = receiveFrame(stream, ServeTimeout);
    if (isOk(request)) {
        const result<std::vector<std::byte>> response = m_handler(std::move(valueOf(request)));
        if (isOk(response)) {
            sendFrame(stream, valueOf(response), ServeTimeout);
        }
    }
    stream.close();
}

} // namespace ebonyway
