// Stand-ins of requesters ("Flows" in PROTOCOL.md). One thread plays all. Each request opens a flow
// of its own from a new port: an opening packet and copies after 200 ms and 600 ms, the request in
// one packet, repeats after 200 ms, 400 ms, 800 ms and so on, a FIN after the answer. A request is
// given up 1.4 s after an opening packet that nobody answered, at a reset, or at its time limit.
#pragma once

#include "instances.hpp"
#include "wire.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace review {

struct request_record
{
    std::string id;
    std::string zone;
    flow_key flow;
    time_point sentAt;
    std::uint32_t firstInstance = 0; // Address of the instance that got the first packet.
    std::string outcome = "open"; // "200", "not run", "reset", "no answer", "time limit"
    std::string server; // Which answered, by its signature.
    time_point endedAt;
    std::uint32_t flowHost = 0; // Address of the server with which the flow opened.
    std::uint32_t resetBy = 0; // Address that sent the reset which ended the open flow.
};

struct requester_options
{
    std::vector<std::string> zones;
    double perSecond = 60; // Over all zones.
    std::uint32_t routeHost = 0;
    std::uint16_t routePort = 0;
    milliseconds timeLimit{4'000};
    std::uint32_t firstHost = 0; // One address for each zone, from this one on.
    unsigned requestsPerFlow = 1;
    milliseconds pause{0}; // Between an answer and the next request of the flow.
};

class requesters
{
public:
    requesters(const instances &system, std::uint16_t dataPort, requester_options options)
        : m_system(system)
        , m_dataPort(dataPort)
        , m_options(std::move(options))
    {
        for (std::size_t i = 0; i < m_options.zones.size(); ++i) {
            const int handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const auto host = static_cast<std::uint32_t>(m_options.firstHost + i);
            const sockaddr_in local = socketAddress(host, dataPort);
            m_ok = m_ok
                   && ::bind(handle, reinterpret_cast<const sockaddr *>(&local), sizeof(local))
                              == 0;
            m_sockets.push_back({handle, host, 20'000});
        }
        m_thread = std::thread([this] { run(); });
    }

    ~requesters()
    {
        m_stopping = true;
        m_thread.join();
        for (const socket_state &one : m_sockets) {
            ::close(one.handle);
        }
    }

    bool ok() const { return m_ok; }
    /** Starts or stops sending new requests; those under way go on. */
    void setSending(bool sending) { m_sending = sending; }

    std::vector<request_record> records() const
    {
        const std::lock_guard lock(m_mutex);
        return m_records;
    }

private:
    struct socket_state
    {
        int handle;
        std::uint32_t host;
        std::uint16_t nextPort;
    };

    enum class phase { Opening, Open, Idle, Closing };

    struct attempt
    {
        std::size_t record = 0;
        std::size_t socket = 0;
        phase at = phase::Opening;
        std::uint32_t seq = 0; // Of the opening packet.
        std::uint32_t next = 0; // Next sequence number to send.
        std::uint32_t received = 0; // Next sequence number expected of the server.
        std::uint32_t echo = 0;
        unsigned copies = 0;
        time_point nextRepeat;
        milliseconds repeatPause{200};
        unsigned moreRequests = 0;
        time_point nextRequestAt;
        std::uint32_t requestSeq = 0;
        std::string request;
        std::string input;
    };

    void run()
    {
        time_point nextRequest = steady::now();
        std::exponential_distribution<double> pause(m_options.perSecond);
        std::size_t turn = 0;
        while (!m_stopping) {
            std::vector<pollfd> waiting;
            for (const socket_state &one : m_sockets) {
                waiting.push_back({one.handle, POLLIN, 0});
            }
            ::poll(waiting.data(), waiting.size(), 1);
            const std::lock_guard lock(m_mutex);
            for (std::size_t i = 0; i < m_sockets.size(); ++i) {
                receive(i);
            }
            const time_point now = steady::now();
            while (m_sending && nextRequest <= now) {
                open(turn++ % m_sockets.size(), now);
                nextRequest += std::chrono::duration_cast<steady::duration>(
                        std::chrono::duration<double>(pause(m_random)));
            }
            if (!m_sending) {
                nextRequest = now;
            }
            repeat(now);
        }
    }

    void open(std::size_t socket, time_point now)
    {
        socket_state &from = m_sockets[socket];
        const flow_key key(from.host, from.nextPort, m_options.routeHost, m_options.routePort);
        from.nextPort = from.nextPort >= 60'000 ? 20'000 : static_cast<std::uint16_t>(from.nextPort + 1);
        if (m_attempts.contains(key)) {
            return;
        }
        request_record record;
        record.id = "r" + std::to_string(m_records.size());
        record.zone = m_options.zones[socket];
        record.flow = key;
        record.sentAt = now;
        attempt fresh;
        fresh.record = m_records.size();
        fresh.socket = socket;
        fresh.seq = static_cast<std::uint32_t>(m_random());
        fresh.next = fresh.seq + 1;
        fresh.nextRepeat = now + milliseconds(200);
        fresh.request = requestText(record.id);
        fresh.requestSeq = fresh.seq + 1;
        fresh.moreRequests = m_options.requestsPerFlow - 1;
        m_records.push_back(record);
        attempt &started = m_attempts[key] = fresh;
        m_records.back().firstInstance = send(key, started, Syn, started.seq, "");
    }

    static std::string requestText(const std::string &id)
    {
        return "GET /" + id + " HTTP/1.1\r\nHost: standin\r\nX-Request-Id: " + id + "\r\n\r\n";
    }

    /** Sends the next request of an idle flow. */
    void ask(const flow_key &key, attempt &one, time_point now)
    {
        request_record record = m_records[one.record];
        record.id = "r" + std::to_string(m_records.size());
        record.sentAt = now;
        record.outcome = "open";
        record.server.clear();
        one.record = m_records.size();
        m_records.push_back(record);
        one.at = phase::Open;
        --one.moreRequests;
        one.request = requestText(record.id);
        one.requestSeq = one.next;
        one.next += static_cast<std::uint32_t>(one.request.size());
        one.repeatPause = milliseconds(200);
        one.nextRepeat = now + one.repeatPause;
        m_records.back().firstInstance = send(key, one, Ack, one.requestSeq, one.request);
    }

    /** Sends a packet through the node that the routers choose. Returns the node's address. */
    std::uint32_t send(const flow_key &key, const attempt &one, int flags, std::uint32_t seq,
                       const std::string &data)
    {
        packet p;
        std::tie(p.src, p.sport, p.dst, p.dport) = key;
        p.flags = static_cast<std::uint8_t>(flags);
        p.seq = seq;
        p.ack = (flags & Syn) != 0 ? one.copies : one.received;
        p.echo = one.echo;
        p.data = data;
        const std::vector<std::size_t> nodes = m_system.nodesFor(m_records[one.record].zone);
        if (nodes.empty()) {
            return 0;
        }
        // `hash` is "mod": over the four addresses and ports, modulo the nodes in rotation.
        std::uint64_t hash = (std::uint64_t{p.src} << 16 | p.sport) * 0x9e3779b97f4a7c15ULL;
        hash = (hash ^ (std::uint64_t{p.dst} << 16 | p.dport)) * 0xff51afd7ed558ccdULL;
        const std::size_t node = nodes[(hash >> 33) % nodes.size()];
        const std::uint32_t host = m_system.options(node).host;
        const std::string bytes = encode(p);
        const sockaddr_in to = socketAddress(host, m_dataPort);
        ::sendto(m_sockets[one.socket].handle, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&to), sizeof(to));
        return host;
    }

    void receive(std::size_t socket)
    {
        unsigned char buffer[2048];
        for (;;) {
            sockaddr_in from{};
            socklen_t length = sizeof(from);
            const ssize_t size =
                    ::recvfrom(m_sockets[socket].handle, buffer, sizeof(buffer), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr *>(&from), &length);
            if (size < 0) {
                return;
            }
            packet p;
            if (!decode(buffer, static_cast<std::size_t>(size), p)) {
                continue;
            }
            const auto found = m_attempts.find(flow_key(p.dst, p.dport, p.src, p.sport));
            if (found != m_attempts.end()) {
                onPacket(found->first, found->second, p, ntohl(from.sin_addr.s_addr));
            }
        }
    }

    void onPacket(const flow_key &key, attempt &one, const packet &p, std::uint32_t from)
    {
        if ((p.flags & Rst) != 0) {
            if (one.at == phase::Open || one.at == phase::Idle) {
                m_records[one.record].resetBy = from;
            }
            if (one.at == phase::Open || one.at == phase::Opening) {
                finish(one, "reset");
            }
            m_attempts.erase(key);
            return;
        }
        if ((p.flags & Syn) != 0) {
            if (one.at != phase::Opening) {
                return; // Another server answered first, or this one twice.
            }
            one.at = phase::Open;
            one.echo = p.echo;
            one.received = p.seq + 1;
            m_records[one.record].flowHost = from;
            one.nextRepeat = steady::now() + one.repeatPause;
            one.next = one.requestSeq + static_cast<std::uint32_t>(one.request.size());
            send(key, one, Ack, one.requestSeq, one.request);
            return;
        }
        if (one.at == phase::Opening) {
            return;
        }
        one.echo = p.echo;
        if (!p.data.empty() && p.seq == one.received) {
            one.received += static_cast<std::uint32_t>(p.data.size());
            one.input += p.data;
            if (one.at == phase::Open) {
                const bool ran = one.input.find(" 200 ") != std::string::npos;
                const std::size_t at = one.input.find("X-Response-Signature: ");
                if (at != std::string::npos) {
                    m_records[one.record].server =
                            one.input.substr(at + 22, one.input.find('\r', at) - at - 22);
                }
                finish(one, ran ? "200" : "not run");
                one.input.clear();
                const bool goesOn = one.moreRequests > 0 && (p.flags & Fin) == 0;
                one.at = goesOn ? phase::Idle : phase::Closing;
                one.nextRequestAt = steady::now() + m_options.pause;
                one.nextRepeat = steady::now() + milliseconds(200);
            }
            send(key, one, one.at == phase::Closing ? Ack | Fin : Ack, one.next, "");
        }
        if ((p.flags & Fin) != 0 && one.at == phase::Closing) {
            m_attempts.erase(key);
        }
    }

    void finish(const attempt &one, const std::string &outcome)
    {
        m_records[one.record].outcome = outcome;
        m_records[one.record].endedAt = steady::now();
    }

    void repeat(time_point now)
    {
        for (auto it = m_attempts.begin(); it != m_attempts.end();) {
            attempt &one = it->second;
            const time_point sent = m_records[one.record].sentAt;
            if (one.at == phase::Opening && now - sent >= milliseconds(1'400)) {
                finish(one, "no answer");
                it = m_attempts.erase(it);
                continue;
            }
            if (one.at == phase::Idle) {
                if (now >= one.nextRequestAt) {
                    ask(it->first, one, now);
                }
                ++it;
                continue;
            }
            if (now - sent >= m_options.timeLimit) {
                if (one.at != phase::Closing) {
                    finish(one, "time limit");
                }
                it = m_attempts.erase(it);
                continue;
            }
            if (now >= one.nextRepeat) {
                if (one.at == phase::Opening && one.copies < 2) {
                    ++one.copies;
                    one.nextRepeat = now + milliseconds(400);
                    send(it->first, one, Syn, one.seq, "");
                } else if (one.at != phase::Opening) {
                    one.repeatPause = std::min(one.repeatPause * 2, milliseconds(1'600));
                    one.nextRepeat = now + one.repeatPause;
                    const bool open = one.at == phase::Open;
                    send(it->first, one, open ? Ack : Ack | Fin, open ? one.requestSeq : one.next,
                         open ? one.request : "");
                }
            }
            ++it;
        }
    }

    const instances &m_system;
    std::uint16_t m_dataPort;
    requester_options m_options;
    std::vector<socket_state> m_sockets;
    bool m_ok = true;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_sending = false;
    mutable std::mutex m_mutex;
    std::vector<request_record> m_records;
    std::map<flow_key, attempt> m_attempts;
    std::mt19937_64 m_random{std::random_device{}()};
    std::thread m_thread;
};

} // namespace review
