#include "standins/backend_server_model.h"
#include "standins/event_loop.h"
#include "standins/http_port.h"
#include "standins/json_line.h"
#include "standins/option_parser.h"
#include "standins/server_control.h"
#include "standins/udp_port.h"

#include <httplib.h>

#include <iostream>
#include <mutex>
#include <string>

namespace ebonyway::standins {

namespace {

struct server_options
{
    backend_server_settings settings;
    endpoint tunnel;
    endpoint http;
    std::uint64_t seed = 1;
};

/** Connects the backend server model to its tunnel port and its HTTP port. */
class backend_server_process
{
public:
    explicit backend_server_process(const server_options &options)
        : m_server(options.settings, options.seed)
        , m_name(options.settings.name)
    { }

    status open(const server_options &options)
    {
        status opened =
                m_tunnel.open(m_loop.sockets(), options.tunnel,
                              [this](const endpoint &, std::span<const std::byte> bytes) {
                                  const std::lock_guard guard(m_mutex);
                                  m_server.onPacket(bytes, std::chrono::steady_clock::now());
                              });
        if (!isOk(opened) || options.http.port == 0) {
            return opened;
        }
        m_http.server().Get("/health", [this](const httplib::Request &, httplib::Response &to) {
            answerHealth(to);
        });
        m_http.server().Get("/control", [this](const httplib::Request &, httplib::Response &to) {
            answerControl(to, std::monostate{}, counters());
        });
        m_http.server().Post("/control", [this](const httplib::Request &from,
                                                httplib::Response &to) { onControl(from, to); });
        return m_http.open(options.http);
    }

    void run()
    {
        Json::Value started;
        started["server"] = m_name;
        printEvent("started", started);
        m_loop.run([this](time_point now) { return wake(now); });
        m_http.close();
        printEvent("summary", counters());
    }

private:
    time_point wake(time_point now)
    {
        const std::lock_guard guard(m_mutex);
        m_server.onTimer(now);
        for (const answer_packet &packet : m_server.takePackets()) {
            m_tunnel.send(packet.to, packet.bytes);
        }
        if (m_server.isDown() != m_wasDown) {
            m_wasDown = m_server.isDown();
            Json::Value event;
            event["server"] = m_name;
            printEvent(m_wasDown ? "went_down" : "restarted", event);
        }
        return m_server.nextTimer();
    }

    void answerHealth(httplib::Response &to)
    {
        const std::lock_guard guard(m_mutex);
        const auto report = m_server.health(std::chrono::steady_clock::now());
        if (!report) {
            to.status = 503;
            return;
        }
        to.set_content(formatJsonLine(healthBody(*report)) + "\n", "application/json");
    }

    void onControl(const httplib::Request &from, httplib::Response &to)
    {
        Json::Value body;
        if (!readJsonBody(from, to, body)) {
            return;
        }
        status applied;
        {
            const std::lock_guard guard(m_mutex);
            applied = applyServerControl(m_server, body, std::chrono::steady_clock::now());
        }
        answerControl(to, applied, counters());
    }

    Json::Value counters()
    {
        const std::lock_guard guard(m_mutex);
        Json::Value value = serverCounters(m_server);
        value["server"] = m_name;
        return value;
    }

    event_loop m_loop;
    std::mutex m_mutex; ///< Guards m_server against the HTTP threads.
    backend_server_model m_server;
    std::string m_name;
    bool m_wasDown = false;
    udp_port m_tunnel;
    http_port m_http;
};

bool parseOptions(int argc, const char **argv, server_options &options, int &exitCode)
{
    backend_server_settings &settings = options.settings;
    std::uint64_t connections = settings.connectionLimit;
    std::uint64_t slots = settings.work.slotLimit;
    std::uint64_t queue = settings.work.queueLimit;
    std::uint64_t warmup = settings.work.warmupRequests;
    option_parser parser("Simulates a backend server behind an IP-in-UDP tunnel.");
    parser.addText("service", settings.service, "name of the service");
    parser.addText("name", settings.name, "name of this backend server");
    parser.addEndpoint("tunnel", options.tunnel, "UDP address for IP-in-UDP packets");
    parser.addEndpoint("http", options.http, "HTTP address of /health and /control");
    parser.addList("answer", settings.answerEndpoints,
                   "UDP address for answers, usually an instance's answer port; may be repeated");
    parser.addList("address", settings.serviceAddresses,
                   "address of the service, checked in every packet; may be repeated");
    parser.addInteger("seed", options.seed, "seed of service times and answer endpoints");
    parser.addInteger("connections", connections, "most open connections");
    parser.addInteger("slots", slots, "requests run at the same time");
    parser.addInteger("queue", queue, "most waiting requests before load is shed");
    parser.addMilliseconds("service-ms", settings.work.serviceTime, "mean time of one request");
    parser.addInteger("warmup", warmup, "requests until the server is warm; 0: always warm");
    parser.addNumber("cold-share", settings.work.coldShare, "speed right after a start, 0 to 1");
    parser.addMilliseconds("restart-ms", settings.restartTime, "silence after a crash");
    const bool parsed = parser.parse(argc, argv);
    exitCode = parser.exitCode();
    settings.connectionLimit = static_cast<std::uint32_t>(connections);
    settings.work.slotLimit = static_cast<std::uint32_t>(slots);
    settings.work.queueLimit = static_cast<std::uint32_t>(queue);
    settings.work.warmupRequests = static_cast<std::uint32_t>(warmup);
    return parsed;
}

} // namespace

} // namespace ebonyway::standins

int main(int argc, const char **argv)
{
    using namespace ebonyway;
    standins::server_options options;
    int exitCode = 0;
    if (!standins::parseOptions(argc, argv, options, exitCode)) {
        return exitCode;
    }
    standins::backend_server_process process(options);
    status opened = process.open(options);
    if (!isOk(opened)) {
        std::cerr << describe(errorOf(opened)) << '\n';
        return 1;
    }
    process.run();
    return 0;
}
