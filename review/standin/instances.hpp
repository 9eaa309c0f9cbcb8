// Starts the project's own program as separate processes, as the deploy file says, and stands in
// for the platform's routers: they ask each instance for its readiness twice a second.
#pragma once

#include "wire.hpp"

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>

namespace review {

struct ports
{
    std::uint16_t traffic = 0;
    std::uint16_t readiness = 0;
    std::uint16_t metrics = 0;
    std::uint16_t peers = 0;
    std::uint16_t control = 0; // Of the addresses in `seeds`; nothing listens there.
    std::uint16_t store = 0;
    std::uint16_t servers = 0;
};

struct instance_options
{
    std::string name;
    std::string zone;
    std::uint32_t host = 0;
};

class instances
{
public:
    instances(std::string root, std::string folder, ports used, std::uint32_t store,
              std::vector<instance_options> all, std::size_t seeds)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_ports(used)
        , m_store(store)
    {
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (i < seeds) {
                m_seeds += (m_seeds.empty() ? "\"" : ",\"") + addressText(all[i].host) + ":"
                           + std::to_string(used.control) + "\"";
            }
            m_all.push_back({all[i], 0, false, 0, {}});
        }
        m_checker = std::thread([this] { checkAll(); });
    }

    ~instances()
    {
        m_stopping = true;
        m_checker.join();
        for (node &one : m_all) {
            if (one.pid > 0) {
                ::kill(one.pid, SIGKILL);
                ::waitpid(one.pid, nullptr, 0);
            }
        }
    }

    /** Starts the process. `firstStart` is true only when the whole system starts at first. */
    void start(std::size_t index, bool firstStart)
    {
        node &one = m_all[index];
        const std::string file = m_folder + "/" + one.options.name + ".json";
        const std::string at = addressText(one.options.host);
        const auto local = [&at](std::uint16_t port) { return at + ":" + std::to_string(port); };
        // deploy/instance.json, filled in.
        std::ofstream(file) << R"({"instance":")" << one.options.name << R"(","failure_domain":")"
                            << one.options.zone << R"(","traffic":")" << local(m_ports.traffic)
                            << R"(","readiness":")" << local(m_ports.readiness)
                            << R"(","metrics":")" << local(m_ports.metrics) << R"(","peers":")"
                            << local(m_ports.peers) << R"(","seeds":[)" << m_seeds
                            << R"(],"first_start":)" << (firstStart ? "true" : "false")
                            << R"(,"store":")" << addressText(m_store) << ":" << m_ports.store
                            << R"(","heartbeat":"1200ms","stop_grace":"6s","log_level":"info"})";
        const std::string program = m_root + "/target/bin/ebonywayd";
        const std::string log = m_folder + "/" + one.options.name + ".log";
        const std::string variable = "EBONYWAY_SETTINGS=" + file;
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (std::freopen(log.c_str(), "a", stdout) == nullptr || ::chdir(m_root.c_str()) != 0) {
                ::_exit(127);
            }
            char *const arguments[] = {const_cast<char *>(program.c_str()),
                                       const_cast<char *>("--platform"), nullptr};
            char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        const std::lock_guard lock(m_mutex);
        one.pid = pid;
        one.disturbedAt = steady::now();
    }

    void signal(std::size_t index, int number)
    {
        const std::lock_guard lock(m_mutex);
        node &one = m_all[index];
        ::kill(one.pid, number);
        one.disturbedAt = steady::now();
        if (number == SIGKILL) {
            ::waitpid(one.pid, nullptr, 0);
            one.pid = 0;
        }
    }

    std::size_t size() const { return m_all.size(); }
    const instance_options &options(std::size_t index) const { return m_all[index].options; }

    bool inRotation(std::size_t index) const
    {
        const std::lock_guard lock(m_mutex);
        return m_all[index].inRotation;
    }

    bool allInRotation() const
    {
        const std::lock_guard lock(m_mutex);
        return std::all_of(m_all.begin(), m_all.end(),
                           [](const node &one) { return one.inRotation; });
    }

    /** Processes that ended by themselves. */
    std::size_t endedAlone()
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (node &one : m_all) {
            if (one.pid > 0 && ::waitpid(one.pid, nullptr, WNOHANG) == one.pid) {
                one.pid = 0;
                ++count;
            }
        }
        return count;
    }

    /** The nodes of a zone to which the routers send. */
    std::vector<std::size_t> nodesFor(const std::string &zone) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::size_t> all;
        std::vector<std::size_t> ready;
        std::vector<std::size_t> elsewhere;
        for (std::size_t i = 0; i < m_all.size(); ++i) {
            if (m_all[i].options.zone != zone) {
                if (m_all[i].inRotation) {
                    elsewhere.push_back(i);
                }
                continue;
            }
            all.push_back(i);
            if (m_all[i].inRotation) {
                ready.push_back(i);
            }
        }
        if (ready.empty() && !elsewhere.empty()) {
            return elsewhere;
        }
        return ready.size() * 2 < all.size() ? all : ready;
    }

    /** Whether no signal and no start has touched the instance in the span before. */
    bool calm(std::uint32_t host, time_point at, milliseconds span) const
    {
        const std::lock_guard lock(m_mutex);
        for (const node &one : m_all) {
            if (one.options.host == host) {
                return at < one.disturbedAt || at - one.disturbedAt > span;
            }
        }
        return false;
    }

    std::string log(std::size_t index) const
    {
        return m_folder + "/" + m_all[index].options.name + ".log";
    }

private:
    struct node
    {
        instance_options options;
        pid_t pid = 0;
        bool inRotation = false;
        int misses = 0;
        time_point disturbedAt;
    };

    bool answersReady(std::uint32_t host) const
    {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in to = socketAddress(host, m_ports.readiness);
        ::connect(handle, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
        pollfd waiting{handle, POLLOUT, 0};
        const std::string request = "GET /v1/readiness HTTP/1.1\r\nHost: router\r\nConnection: "
                                    "close\r\n\r\n";
        std::string reply;
        if (::poll(&waiting, 1, 200) == 1
            && ::send(handle, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
            waiting.events = POLLIN;
            char buffer[512];
            if (::poll(&waiting, 1, 300) == 1) {
                const ssize_t size = ::recv(handle, buffer, sizeof(buffer), 0);
                reply.assign(buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
            }
        }
        ::close(handle);
        return reply.find(" 200 ") != std::string::npos;
    }

    void checkAll()
    {
        while (!m_stopping) {
            const time_point next = steady::now() + milliseconds(500);
            std::vector<std::thread> checks;
            for (node &one : m_all) {
                checks.emplace_back([this, &one] {
                    const bool ready = answersReady(one.options.host);
                    const std::lock_guard lock(m_mutex);
                    one.misses = ready ? 0 : one.misses + 1;
                    one.inRotation = ready || (one.inRotation && one.misses < 2);
                });
            }
            for (std::thread &check : checks) {
                check.join();
            }
            std::this_thread::sleep_until(next);
        }
    }

    std::string m_root;
    std::string m_folder;
    ports m_ports;
    std::uint32_t m_store;
    std::string m_seeds;
    std::vector<node> m_all;
    mutable std::mutex m_mutex;
    std::atomic<bool> m_stopping = false;
    std::thread m_checker;
};

} // namespace review
