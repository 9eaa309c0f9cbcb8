#pragma once

#include "core/ip_address.h"
#include "core/seeded_random.h"
#include "core/time.h"
#include "request/packet.h"
#include "standins/request_line.h"
#include "standins/tcp_connection.h"
#include "standins/timer_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** A service as callers know it. */
struct caller_service
{
    std::string name;
    endpoint address;
    transport_protocol protocol = transport_protocol::Tcp;

    /** Parses "name=ADDRESS:PORT/tcp" or ".../udp". Fails with InvalidInput. */
    static result<caller_service> parse(const std::string &text);
};

/** What a flow does. */
enum class flow_kind : std::uint8_t {
    Long, ///< Stays open and sends a Ping at every interval.
    Short, ///< One Get, then the flow ends.
    Upload, ///< One Put, then the flow ends.
    Hold, ///< One request that must not run twice, then the flow ends. Never repeated.
};

/** Returns "long", "short", "upload" or "hold". */
const char *flowKindName(flow_kind kind);

/** A stream of flows to one service. */
struct traffic_class
{
    flow_kind kind = flow_kind::Short;
    std::string service;
    double amount = 0; ///< Long: flows held open. Others: new flows per second.

    /** Parses "KIND:SERVICE:AMOUNT", for example "short:vitrine:100". Fails with InvalidInput. */
    static result<traffic_class> parse(const std::string &text);
};

/** Configuration of the caller stand-in. */
struct caller_settings
{
    std::string name = "caller"; ///< Start of every request id.
    std::vector<caller_service> services;
    std::vector<traffic_class> traffic;
    ip_address firstAddress; ///< Flows come from this address and those after it.
    std::uint32_t addressCount = 16;
    double longFlowRate = 200; ///< New long flows per second until the amount is held.
    duration pingInterval = std::chrono::seconds(1);
    duration answerTimeout = std::chrono::seconds(10); ///< A request without an answer fails.
    std::uint32_t datagramPings = 5; ///< Requests of one UDP flow.
    duration datagramTimeout = std::chrono::seconds(1); ///< Before a datagram is sent again.
    std::uint32_t datagramCopies = 3; ///< Copies of an idempotent datagram before giving up.
    std::uint64_t uploadBytes = 100'000;
    std::optional<std::chrono::milliseconds> deadline; ///< Sent with every request.
    tcp_timing timing;
};

/** What became of the flows of one service. */
struct flow_counters
{
    std::uint64_t started = 0; ///< Flows of which a first packet was sent.
    std::uint64_t opened = 0; ///< TCP: handshake completed. UDP: first answer received.
    std::uint64_t answered = 0; ///< Flows that ended with every request answered.
    std::uint64_t refused = 0; ///< RST, ICMP or "not run" instead of service.
    std::uint64_t unreachable = 0; ///< Nothing came back before the flow was opened.
    std::uint64_t brokenByReset = 0; ///< RST after opening.
    std::uint64_t brokenByIcmp = 0; ///< ICMP error after opening.
    std::uint64_t brokenByTimeout = 0; ///< No progress or no answer after opening.
    std::uint64_t failed = 0; ///< The backend server reported a failed request.
    std::uint64_t misdelivered = 0; ///< The answer names another service or request.

    std::uint64_t broken() const { return brokenByReset + brokenByIcmp + brokenByTimeout; }
};

/** Flows of one service that one backend server answered. */
struct server_share
{
    std::uint64_t flows = 0; ///< All flows, including those that have ended.
    std::uint64_t longFlowsOpen = 0;
};

/** Something that happened to a flow and deserves a line in the output. */
struct caller_event
{
    time_point at;
    std::string what; ///< Stable name, for example "flow_broken".
    std::uint64_t flow = 0;
    flow_key key;
    std::string detail;
};

/** Pure logic of many callers: opens flows, sends requests and checks the answers. */
class caller_model
{
public:
    caller_model(caller_settings settings, std::uint64_t seed, time_point start);

    /** Handles one IP packet from the fabric. */
    void onPacket(std::span<const std::byte> bytes, time_point now);
    void onTimer(time_point now);
    time_point nextTimer() const;
    std::vector<std::vector<std::byte>> takePackets();
    std::vector<caller_event> takeEvents();

    /** Starts no more flows and requests; open flows end when their answers have arrived. */
    void stop(time_point now);
    /** Returns whether no flow is open. */
    bool isIdle() const { return m_flows.empty(); }

    std::size_t openFlows() const { return m_flows.size(); }
    const std::map<std::string, flow_counters> &counters() const { return m_counters; }
    flow_counters total() const;
    /** Service name -> backend server name -> share. */
    const std::map<std::string, std::map<std::string, server_share>> &spread() const
    {
        return m_spread;
    }
    /** Packets that belong to no open flow. */
    std::uint64_t strayPackets() const { return m_strayPackets; }

private:
    struct caller_flow
    {
        std::uint64_t id = 0;
        flow_key key;
        flow_kind kind = flow_kind::Short;
        std::size_t trafficIndex = 0;
        std::string service;
        std::optional<tcp_connection> connection; ///< Nothing for UDP.
        std::string buffer; ///< Received bytes that are not yet a whole line.
        std::string server; ///< Backend server named by the first answer.
        request_line request; ///< The latest request.
        std::uint32_t requestsSent = 0;
        std::uint32_t copiesSent = 0; ///< UDP: copies of the latest request.
        bool waiting = false; ///< The latest request has no answer yet.
        bool opened = false;
        bool closing = false; ///< FIN was sent after the last answer.
        bool settled = false; ///< The outcome was counted.
        time_point nextRequest = time_point::max();
        time_point answerDue = time_point::max();
    };
    struct arrival
    {
        time_point next;
        std::uint64_t open = 0; ///< Open long flows of the class.
    };

    void startFlow(std::size_t trafficIndex, time_point now);
    void scheduleArrival(std::size_t trafficIndex, time_point now);
    const caller_service *serviceNamed(const std::string &name) const;
    flow_key newKey(const caller_service &service);
    void sendRequest(caller_flow &flow, time_point now);
    void sendDatagram(caller_flow &flow, time_point now);
    request_line nextRequestOf(const caller_flow &flow) const;
    void onTcp(caller_flow &flow, const packet_view &packet, time_point now);
    void onLine(caller_flow &flow, const std::string &line, time_point now);
    void onAnswer(caller_flow &flow, const answer_line &answer, time_point now);
    void planNext(caller_flow &flow, time_point now);
    void onFlowTimer(caller_flow &flow, time_point now);
    void onDatagramTimer(caller_flow &flow, time_point now);
    void markOpened(caller_flow &flow);
    void noteServer(caller_flow &flow, const std::string &server);
    void closeFlow(caller_flow &flow, time_point now);
    void settleUnanswered(caller_flow &flow, std::uint64_t flow_counters::*broken,
                          std::uint64_t flow_counters::*beforeOpening, const char *cause,
                          time_point now);
    void settle(caller_flow &flow, std::uint64_t flow_counters::*counter, const char *event,
                const std::string &detail, time_point now);
    void afterTcp(caller_flow &flow, time_point now);
    void update(std::uint64_t id, time_point now);
    void removeFlow(std::uint64_t id, time_point now);

    caller_settings m_settings;
    seeded_random m_random;
    std::map<std::uint64_t, caller_flow> m_flows;
    std::map<flow_key, std::uint64_t> m_flowsByKey;
    std::vector<arrival> m_arrivals;
    timer_queue<std::uint64_t> m_timers;
    std::vector<std::vector<std::byte>> m_packets;
    std::vector<caller_event> m_events;
    std::map<std::string, flow_counters> m_counters;
    std::map<std::string, std::map<std::string, server_share>> m_spread;
    std::uint64_t m_nextFlow = 0;
    std::uint64_t m_strayPackets = 0;
    bool m_stopped = false;
};

} // namespace ebonyway::standins
