// A stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): objects by
// kind and name, lists, watches, and one revision counter. The system only reads from it here; the
// operator and the servers write through put() and remove().
#pragma once

#include "wire.hpp"

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace review {

constexpr std::size_t ReadsPerSecond = 2'000; // Calls beyond it receive 429.

class store
{
public:
    store(std::uint32_t host, std::uint16_t port)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const sockaddr_in local = socketAddress(host, port);
        m_ok = ::bind(m_listener, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0
               && ::listen(m_listener, 128) == 0;
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    ~store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
            for (const int handle : m_open) {
                ::shutdown(handle, SHUT_RDWR);
            }
        }
        m_changed.notify_all();
        m_acceptor.join();
        while (m_serving > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        ::close(m_listener);
    }

    bool ok() const { return m_ok; }

    /**
     * Writes an object. Returns the time of the ack; nothing if the store is down. A server that
     * checks in passes what it says but for `seq`: the entry changes only if that is new.
     */
    std::optional<time_point> put(const std::string &kind, const std::string &name,
                                  const std::string &spec, const std::string &checkIn = "")
    {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return std::nullopt;
        }
        std::string &last = m_checkIns[name];
        if (!checkIn.empty() && last == checkIn) {
            return steady::now();
        }
        last = checkIn;
        m_objects[kind][name] = objectJson(name, ++m_revision, spec);
        m_history.push_back({m_revision, kind, false, m_objects[kind][name]});
        m_changed.notify_all();
        return steady::now();
    }

    std::optional<time_point> remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return std::nullopt;
        }
        if (m_objects[kind].erase(name) > 0) {
            m_history.push_back({++m_revision, kind, true, objectJson(name, m_revision, "null")});
            m_changed.notify_all();
        }
        return steady::now();
    }

    /** While the store is down, every call is answered with 503 ("busy") and does nothing. */
    void setDown(bool down)
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
        m_changed.notify_all();
    }

    std::size_t calls() const { return m_calls; }

private:
    struct event
    {
        std::uint64_t revision;
        std::string kind;
        bool deleted;
        std::string object;
    };

    static std::string objectJson(const std::string &name, std::uint64_t rev,
                                  const std::string &spec)
    {
        return R"({"meta":{"name":")" + name + R"(","rev":)" + std::to_string(rev)
               + R"(,"createdRev":1,"finalizers":[],"deletion":false},"spec":)" + spec
               + R"(,"status":null})";
    }

    void acceptAll()
    {
        while (!m_stopping) {
            pollfd waiting{m_listener, POLLIN, 0};
            if (::poll(&waiting, 1, 100) <= 0) {
                continue;
            }
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                continue;
            }
            const std::lock_guard lock(m_mutex);
            m_open.push_back(handle);
            ++m_serving;
            std::thread([this, handle] {
                serve(handle);
                --m_serving;
            }).detach();
        }
    }

    void serve(int handle)
    {
        std::string input;
        char buffer[4096];
        while (!m_stopping) {
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos) {
                const ssize_t size = ::recv(handle, buffer, sizeof(buffer), 0);
                if (size <= 0) {
                    break;
                }
                input.append(buffer, static_cast<std::size_t>(size));
                continue;
            }
            const std::string line = input.substr(0, input.find("\r\n"));
            input.erase(0, end + 4);
            const std::string reply = answer(line);
            std::size_t sent = 0;
            while (sent < reply.size()) {
                const ssize_t size =
                        ::send(handle, reply.data() + sent, reply.size() - sent, MSG_NOSIGNAL);
                if (size <= 0) {
                    break;
                }
                sent += static_cast<std::size_t>(size);
            }
        }
        const std::lock_guard lock(m_mutex);
        std::erase(m_open, handle);
        ::close(handle);
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    static std::string reply(int status, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
               + "\r\nContent-Type: application/json\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string answer(const std::string &line)
    {
        const std::string start = "GET /v1/objects/";
        if (line.rfind(start, 0) != 0) {
            return reply(404, "{}");
        }
        const std::string target = line.substr(start.size(), line.rfind(' ') - start.size());
        const std::string kind = target.substr(0, target.find('?'));
        const std::string watch = parameter(target, "watch");
        const std::string wait = parameter(target, "waitMs");
        std::unique_lock lock(m_mutex);
        ++m_calls;
        const time_point now = steady::now();
        while (!m_recentReads.empty() && now - m_recentReads.front() >= std::chrono::seconds(1)) {
            m_recentReads.pop_front();
        }
        if (m_recentReads.size() >= ReadsPerSecond) {
            return reply(429, "{}");
        }
        m_recentReads.push_back(now);
        std::string content;
        if (watch.empty()) {
            for (const auto &[name, object] : m_objects[kind]) {
                content += (content.empty() ? "" : ",") + object;
            }
            if (m_down) {
                return reply(503, "{}");
            }
            return reply(200, R"({"items":[)" + content + R"(],"more":false,"currentRev":)"
                                      + std::to_string(m_revision) + "}");
        }
        const std::uint64_t since = std::stoull(watch);
        const auto isNew = [&](const event &item) {
            return item.kind == kind && item.revision > since;
        };
        m_changed.wait_for(lock, milliseconds(wait.empty() ? 0 : std::stoi(wait)), [&] {
            return m_down || m_stopping
                   || std::any_of(m_history.begin(), m_history.end(), isNew);
        });
        if (m_down || m_stopping) {
            return reply(503, "{}");
        }
        for (const event &item : m_history) {
            if (isNew(item)) {
                content += (content.empty() ? "" : ",") + std::string(R"({"deleted":)")
                           + (item.deleted ? "true" : "false") + R"(,"object":)" + item.object
                           + "}";
            }
        }
        return reply(200, R"({"events":[)" + content + R"(],"currentRev":)"
                                  + std::to_string(m_revision) + "}");
    }

    int m_listener = -1;
    bool m_ok = false;
    std::thread m_acceptor;
    std::atomic<int> m_serving = 0;
    std::vector<int> m_open;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_calls = 0;
    std::deque<time_point> m_recentReads;
    bool m_down = false;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::map<std::string, std::string> m_checkIns;
    std::vector<event> m_history;
};

} // namespace review
