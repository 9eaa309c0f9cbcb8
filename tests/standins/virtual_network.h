#pragma once

#include "standins/backend_server_model.h"
#include "standins/caller_model.h"
#include "standins/fabric_model.h"

#include <deque>
#include <string>
#include <vector>

namespace ebonyway::standins {

/**
 * Callers, a fabric and one backend server in one process under virtual time. The fabric sprays
 * straight to the backend server, so there is no load balancer in between.
 */
class virtual_network
{
public:
    virtual_network(const caller_settings &callers, const backend_server_settings &server,
                    const fabric_disturbance &disturbance, std::uint64_t seed);

    /** Runs until the given time after the start. */
    void runUntil(duration sinceStart);
    time_point now() const { return m_now; }

    caller_model &callers() { return m_callers; }
    backend_server_model &server() { return m_server; }
    fabric_model &fabric() { return m_fabric; }

    /** Appends a line with the time to the log. */
    void note(const std::string &text);
    /** Every packet that was delivered, every event and every note, one line each. */
    const std::string &log() const { return m_log; }

private:
    void exchange();
    void handToFabric();
    void logPacket(const char *hop, std::span<const std::byte> bytes, packet_direction direction);
    time_point nextTimer() const;

    time_point m_start;
    time_point m_now;
    caller_model m_callers;
    fabric_model m_fabric;
    backend_server_model m_server;
    std::string m_log;
};

/** Settings of one service "vitrine" at 192.0.2.10:80 with a backend server "vitrine-01". */
caller_settings vitrineCallers(std::vector<traffic_class> traffic);
backend_server_settings vitrineServer();

} // namespace ebonyway::standins
