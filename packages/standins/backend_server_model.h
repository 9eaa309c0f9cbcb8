#pragma once

#include "core/ip_address.h"
#include "core/seeded_random.h"
#include "core/time.h"
#include "request/packet.h"
#include "standins/request_line.h"
#include "standins/server_work.h"
#include "standins/tcp_connection.h"
#include "standins/timer_queue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** Configuration of a backend server stand-in. */
struct backend_server_settings
{
    std::string service; ///< Name of the service, named in every answer.
    std::string name; ///< Name of the backend server, named in every answer.
    std::vector<ip_address> serviceAddresses; ///< Packets for others are misrouted; empty: any.
    std::vector<endpoint> answerEndpoints; ///< Where IP-in-UDP answers go, chosen by the seed.
    std::uint32_t connectionLimit = 2000;
    work_settings work;
    tcp_timing timing;
    duration restartTime = std::chrono::seconds(2); ///< Silence after a failure while cold.
};

/** One IP packet and the endpoint to send it to as IP-in-UDP. */
struct answer_packet
{
    endpoint to;
    std::vector<std::byte> bytes;
};

/** Body of the health and load endpoint. */
struct health_report
{
    bool ready = false;
    std::uint32_t openConnections = 0;
    std::uint32_t busySlots = 0;
    std::uint64_t startCount = 0;
};

/** Values that the health endpoint reports instead of the truth. */
struct health_lie
{
    std::optional<bool> ready;
    std::optional<std::uint32_t> openConnections;
    std::optional<std::uint32_t> busySlots;
    std::optional<std::uint64_t> startCount;
};

/** Totals since the stand-in process started. */
struct backend_server_counters
{
    std::uint64_t flowsAccepted = 0;
    std::uint64_t flowsRefused = 0; ///< RST to a SYN: connection limit or draining.
    std::uint64_t requestsAnswered = 0;
    std::uint64_t requestsShed = 0;
    std::uint64_t requestsExpired = 0;
    std::uint64_t unknownFlowResets = 0; ///< Mid-flow packets answered with RST.
    std::uint64_t misroutedPackets = 0; ///< Packets for an address of another service.
    std::uint64_t faultyPackets = 0;
    std::uint64_t abortedFlows = 0; ///< Flows that ended by RST or without progress.
    std::uint64_t restarts = 0; ///< Restarts after the first start.
};

/** Pure logic of a backend server: TCP and UDP flows, requests, capacity and health reports. */
class backend_server_model
{
public:
    backend_server_model(backend_server_settings settings, std::uint64_t seed);

    /** Handles one IP packet from the tunnel port. */
    void onPacket(std::span<const std::byte> bytes, time_point now);
    void onTimer(time_point now);
    time_point nextTimer() const;
    /** Returns and forgets the packets to send. */
    std::vector<answer_packet> takePackets();

    /** What /health reports now; nothing while the server is down. */
    std::optional<health_report> health(time_point now);

    void setAnswerEndpoints(std::vector<endpoint> endpoints);
    /** A draining server reports that it is not ready and refuses new TCP flows. */
    void setDraining(bool draining) { m_draining = draining; }
    /** A silent server ignores packets but keeps its state, like a hung machine. */
    void setSilent(bool silent) { m_silent = silent; }
    /** Health reports show the state of this long ago. */
    void setHealthLag(duration lag) { m_healthLag = lag; }
    void setHealthLie(const health_lie &lie) { m_healthLie = lie; }
    void turnCold() { m_work.turnCold(); }
    /** Loses all flows, is silent for the restart time and starts cold. */
    void crash(time_point now);

    bool isDown() const { return m_down; }
    const backend_server_counters &counters() const { return m_counters; }
    const server_work &work() const { return m_work; }
    std::uint32_t openConnections() const;

private:
    struct server_flow
    {
        tcp_connection connection;
        std::string buffer; ///< Received bytes that are not yet a whole line.
        std::optional<request_line> upload; ///< Put request whose body is arriving.
        std::uint64_t bodyMissing = 0;
        std::uint32_t openRequests = 0;
    };
    struct pending_request
    {
        flow_key flow;
        request_line request;
    };
    struct health_sample
    {
        time_point at;
        health_report report;
    };

    void onTcp(const packet_view &packet, time_point now);
    void onFirstSyn(const packet_view &packet, const stream_segment &segment, time_point now);
    void onUdp(const packet_view &packet, time_point now);
    void serveFlow(const flow_key &key, server_flow &flow, time_point now);
    void consume(const flow_key &key, server_flow &flow, time_point now);
    bool consumeBody(const flow_key &key, server_flow &flow, time_point now);
    bool consumeLine(const flow_key &key, server_flow &flow, time_point now);
    void startRequest(const flow_key &key, const request_line &request, time_point now);
    void finishWork(time_point now);
    void answer(const flow_key &key, const request_line &request, answer_verdict verdict,
                const std::string &detail, time_point now);
    void answerTcp(const flow_key &key, const std::string &line, time_point now);
    void cancelRequestsOf(const flow_key &key, time_point now);
    void flush(const flow_key &key, server_flow &flow, time_point now);
    void sendPacket(std::vector<std::byte> bytes);
    void sampleHealth(time_point now);
    void startAgain(time_point now);

    backend_server_settings m_settings;
    seeded_random m_random;
    server_work m_work;
    std::map<flow_key, server_flow> m_flows;
    std::map<work_id, pending_request> m_pending;
    timer_queue<flow_key> m_timers;
    std::vector<answer_packet> m_packets;
    std::deque<health_sample> m_healthHistory;
    duration m_healthLag{};
    health_lie m_healthLie;
    backend_server_counters m_counters;
    work_id m_nextWork = 1;
    std::uint64_t m_startCount = 1;
    time_point m_downUntil = time_point::max();
    bool m_down = false;
    bool m_draining = false;
    bool m_silent = false;
};

} // namespace ebonyway::standins
