// Stand-ins of the platform's hosts ("Hosts" and "Flows" in PROTOCOL.md). One thread serves all.
//
// A host answers each opening packet with its own sequence number, opens a flow when that number is
// acknowledged, runs the request inside and answers the requester directly. It holds `slots`
// requests at once, queues some more and rejects the rest as not run. It resets flows that it does
// not hold, and sends nothing if a packet names another host.
#pragma once

#include "store.hpp"
#include "wire.hpp"

#include <fcntl.h>

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <random>
#include <set>

namespace review {

struct server_options
{
    std::string id; // "i-" and hexadecimal digits
    std::string service;
    std::string zone;
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    unsigned slots = 4;
    unsigned queue = 8;
    milliseconds work{55};
    milliseconds coldTime{2'000}; // How long it is cold after a start during traffic.
    double coldSlowdown = 1.6;
    std::optional<milliseconds> phase; // From its first check-in to the second; else at random.
};

// An opening packet that a server took, as its socket saw it.
struct arrival
{
    time_point at;
    std::string server;
    std::uint32_t instance = 0; // Address of the instance that sent it on.
    flow_key flow;
    bool cold = false;
    bool opened = false; // The requester went on with this server.
    std::string request; // Id of the first request that ran.
};

class servers
{
public:
    servers(store &registry, milliseconds heartbeat)
        : m_store(registry)
        , m_heartbeat(heartbeat)
    {
        m_thread = std::thread([this] { run(); });
    }

    ~servers()
    {
        m_stopping = true;
        m_thread.join();
    }

    /** Starts a server, again or for the first time. One that starts during traffic is cold. */
    bool start(const server_options &options, bool cold)
    {
        const std::lock_guard lock(m_mutex);
        auto host = std::make_unique<server>();
        host->options = options;
        host->key = std::stoull(options.id.substr(options.id.rfind('-') + 1), nullptr, 16);
        host->born = std::chrono::duration_cast<milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        host->handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in local = socketAddress(options.host, options.port);
        if (::bind(host->handle, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0) {
            ::close(host->handle);
            return false;
        }
        const time_point now = steady::now();
        host->coldUntil = cold ? now + options.coldTime : now;
        host->nextBeat = now;
        m_servers[options.id] = std::move(host);
        return true;
    }

    /** The server dies at once: its flows are gone, its address answers nothing. */
    void crash(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_servers.find(id);
        if (found != m_servers.end()) {
            ::close(found->second->handle);
            m_servers.erase(found);
        }
    }

    /** A planned shutdown: reports `draining` and keeps serving. Returns the time of the ack. */
    std::optional<time_point> drain(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        server &host = *m_servers.at(id);
        host.draining = true;
        return beat(host, steady::now());
    }

    /** The server becomes cold without a restart, as after an evacuation. */
    void chill(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        server &host = *m_servers.at(id);
        host.coldUntil = steady::now() + host.options.coldTime;
    }

    std::vector<arrival> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    /** Packets that no requester wrote so. */
    std::size_t forgedPackets() const { return m_forged; }

private:
    struct flow
    {
        std::uint32_t expected = 0; // Next sequence number of the requester.
        std::uint32_t ownSeq = 0;
        std::uint32_t echo = 0;
        std::size_t arrivalIndex = 0;
        bool opened = false;
        bool ended = false;
        std::string input;
        std::string response; // Of the request that ran.
        std::uint32_t responseSeq = 0;
    };

    struct job
    {
        flow_key key;
        std::string request;
    };

    struct server
    {
        server_options options;
        std::uint64_t key = 0;
        std::int64_t born = 0;
        int handle = -1;
        time_point coldUntil;
        time_point nextBeat;
        std::uint64_t beats = 0;
        bool draining = false;
        unsigned busy = 0;
        std::deque<job> waiting;
        std::multimap<time_point, job> running;
        std::map<flow_key, flow> flows;
    };

    std::optional<time_point> beat(server &host, time_point now)
    {
        // After the first check-in the servers are out of step, as those that started apart are.
        const auto random = m_random() % static_cast<std::uint64_t>(m_heartbeat.count());
        const auto span = host.beats > 0 ? m_heartbeat
                                         : host.options.phase.value_or(milliseconds(random));
        host.nextBeat = now + span;
        const std::int64_t cold = std::max<std::int64_t>(0, millisBetween(now, host.coldUntil));
        const std::string entry = R"({"service":")" + host.options.service + R"(","addr":")"
                                  + addressText(host.options.host) + ":"
                                  + std::to_string(host.options.port) + R"(","zone":")"
                                  + host.options.zone + R"(","version":"v1","slots":)"
                                  + std::to_string(host.options.slots) + R"(,"state":")"
                                  + (host.draining ? "draining" : "ready") + R"(","coldLeftMs":)"
                                  + std::to_string(cold) + R"(,"born":)"
                                  + std::to_string(host.born);
        ++host.beats;
        return m_store.put("servers", host.options.id,
                           entry + R"(,"seq":)" + std::to_string(host.beats) + "}", entry);
    }

    void run()
    {
        while (!m_stopping) {
            std::vector<pollfd> waiting;
            {
                const std::lock_guard lock(m_mutex);
                for (const auto &[id, host] : m_servers) {
                    waiting.push_back({host->handle, POLLIN, 0});
                }
            }
            ::poll(waiting.data(), waiting.size(), 1);
            const std::lock_guard lock(m_mutex);
            const time_point now = steady::now();
            for (auto &[id, host] : m_servers) {
                receive(*host, now);
                finishWork(*host, now);
                if (now >= host->nextBeat) {
                    beat(*host, now);
                }
            }
        }
        for (const auto &[id, host] : m_servers) {
            ::close(host->handle);
        }
    }

    void receive(server &host, time_point now)
    {
        unsigned char buffer[2048];
        sockaddr_in from{};
        for (;;) {
            socklen_t length = sizeof(from);
            const ssize_t size = ::recvfrom(host.handle, buffer, sizeof(buffer), 0,
                                            reinterpret_cast<sockaddr *>(&from), &length);
            if (size < 0) {
                return;
            }
            if (size < static_cast<ssize_t>(PrefixBytes)) {
                continue;
            }
            std::uint64_t intended = 0;
            for (std::size_t i = 0; i < PrefixBytes; ++i) {
                intended = (intended << 8) | buffer[i];
            }
            packet p;
            if ((intended != 0 && intended != host.key)
                || !decode(buffer + PrefixBytes, static_cast<std::size_t>(size) - PrefixBytes, p)) {
                continue;
            }
            if (p.sum != sumOf(p)) {
                ++m_forged;
                continue;
            }
            onPacket(host, p, ntohl(from.sin_addr.s_addr), now);
        }
    }

    void onPacket(server &host, const packet &p, std::uint32_t instance, time_point now)
    {
        const flow_key key(p.src, p.sport, p.dst, p.dport);
        const auto found = host.flows.find(key);
        if ((p.flags & Syn) != 0) {
            if ((p.flags & Ack) != 0) {
                return;
            }
            if (found == host.flows.end() || found->second.expected != p.seq + 1) {
                flow fresh;
                fresh.expected = p.seq + 1;
                fresh.ownSeq = static_cast<std::uint32_t>(m_random());
                fresh.arrivalIndex = m_arrivals.size();
                m_arrivals.push_back({now, host.options.id, instance, key, now < host.coldUntil,
                                      false, ""});
                host.flows[key] = fresh;
            }
            flow &opening = host.flows[key];
            opening.echo = p.echo;
            send(host, key, opening, Syn | Ack, opening.ownSeq, "");
            return;
        }
        if (found == host.flows.end()) {
            if ((p.flags & Rst) == 0) {
                flow none;
                none.echo = p.echo;
                send(host, key, none, Rst, p.ack, "");
            }
            return;
        }
        flow &open = found->second;
        open.echo = p.echo;
        if ((p.flags & Rst) != 0) {
            open.ended = true;
            return;
        }
        if (open.ended) {
            send(host, key, open, p.data.empty() ? Ack : Rst, p.ack, "");
            return;
        }
        if (!open.opened && p.ack == open.ownSeq + 1) {
            open.opened = true;
            m_arrivals[open.arrivalIndex].opened = true;
        }
        if (!open.opened) {
            send(host, key, open, Rst, p.ack, "");
            return;
        }
        if (!p.data.empty()) {
            onData(host, key, open, p, now);
        }
        if ((p.flags & Fin) != 0) {
            open.ended = true;
            send(host, key, open, Fin | Ack, p.ack, "");
        }
    }

    void onData(server &host, const flow_key &key, flow &open, const packet &p, time_point now)
    {
        if (p.seq != open.expected) {
            // A repeat: what was answered may have been lost.
            if (open.response.empty()) {
                send(host, key, open, Ack, p.ack, "");
            } else {
                sendResponse(host, key, open);
            }
            return;
        }
        open.expected += static_cast<std::uint32_t>(p.data.size());
        open.input += p.data;
        open.response.clear();
        if (open.input.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const job next{key, std::exchange(open.input, "")};
        open.responseSeq = p.ack;
        if (host.busy < host.options.slots) {
            work(host, next, now);
        } else if (host.waiting.size() < host.options.queue) {
            host.waiting.push_back(next);
        } else {
            respond(host, next, "503 Busy", "X-Not-Executed: 1\r\n");
        }
    }

    void work(server &host, const job &next, time_point now)
    {
        ++host.busy;
        const double slowdown = now < host.coldUntil ? host.options.coldSlowdown : 1.0;
        const auto length = std::chrono::duration_cast<steady::duration>(host.options.work * slowdown);
        host.running.emplace(now + length, next);
        const std::size_t at = next.request.find("X-Request-Id: ");
        const std::string id = at == std::string::npos
                                       ? ""
                                       : next.request.substr(at + 14, next.request.find('\r', at)
                                                                              - at - 14);
        m_arrivals[host.flows[next.key].arrivalIndex].request = id;
    }

    void finishWork(server &host, time_point now)
    {
        while (!host.running.empty() && host.running.begin()->first <= now) {
            const job done = host.running.begin()->second;
            host.running.erase(host.running.begin());
            --host.busy;
            respond(host, done, "200 OK", "X-Response-Signature: " + host.options.id + "\r\n");
            if (!host.waiting.empty()) {
                const job next = host.waiting.front();
                host.waiting.pop_front();
                work(host, next, now);
            }
        }
    }

    void respond(server &host, const job &done, const std::string &status,
                 const std::string &header)
    {
        const auto found = host.flows.find(done.key);
        if (found == host.flows.end() || found->second.ended) {
            return;
        }
        const std::string body = "answered by " + host.options.id;
        found->second.response = "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body;
        sendResponse(host, done.key, found->second);
    }

    void sendResponse(server &host, const flow_key &key, flow &open)
    {
        send(host, key, open, Ack | (host.draining ? Fin : 0), open.responseSeq, open.response);
    }

    void send(server &host, const flow_key &key, const flow &open, int flags, std::uint32_t seq,
              const std::string &data)
    {
        packet p;
        p.echo = open.echo;
        p.seq = seq;
        p.ack = open.expected;
        p.flags = static_cast<std::uint8_t>(flags);
        std::tie(p.dst, p.dport, p.src, p.sport) = key;
        p.data = data;
        const std::string bytes = encode(p);
        // Packets for a requester go to its address, at the port of `dataAddr`.
        const sockaddr_in to = socketAddress(p.dst, dataPort);
        ::sendto(host.handle, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }

public:
    std::uint16_t dataPort = 0;

private:
    store &m_store;
    milliseconds m_heartbeat;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_forged = 0;
    std::map<std::string, std::unique_ptr<server>> m_servers;
    std::vector<arrival> m_arrivals;
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace review
