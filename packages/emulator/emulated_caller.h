#pragma once

#include "core/seeded_random.h"
#include "emulator/emulated_packet.h"
#include "emulator/event_queue.h"
#include "emulator/scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How a request ended for its caller. */
enum class request_outcome : std::uint8_t {
    InGoal,
    Late,
    Failed,
};

/** Sends packets of callers and learns how their requests end. */
class caller_port
{
public:
    virtual ~caller_port() = default;

    /** Sends a packet to the routers of a failure domain. */
    virtual void sendPacket(const caller_packet &packet, const std::string &failureDomain) = 0;
    virtual void onRequestEnd(std::size_t traffic, const std::string &failureDomain,
                              time_point startedAt, request_outcome outcome) = 0;
};

/** What the callers of the emulation send: flows, copies, repeats and retries. */
class emulated_callers
{
public:
    emulated_callers(const scenario &plan, event_queue &queue, seeded_random &random,
                     caller_port &port);

    /** Starts to send; ends at the time. */
    void start(time_point end);
    void onPacket(const server_packet &packet);
    /** A reset from an instance. */
    void onReset(const flow_id &flow);

    /**
     * Multiplies the rate of new flows of one kind, or of all kinds if `traffic` is empty, from the
     * callers of one failure domain, or of all domains if `failureDomain` is empty.
     */
    void setRate(double factor, const std::string &failureDomain = "",
                 const std::string &traffic = "");

private:
    /** A request with all its attempts. */
    struct request
    {
        std::uint64_t number = 0;
        std::size_t traffic = 0; ///< Index into the scenario's traffic.
        std::string failureDomain;
        time_point startedAt;
        std::uint32_t attempts = 0;
        std::uint64_t caller = 0; ///< Number of the caller's address, if the scenario has callers.
    };
    struct caller_flow
    {
        request current; ///< Its number is zero between requests.
        server_key chosen;
        flow_token token;
        attempt_id attempt;
        bool opened = false;
        bool waiting = false; ///< For an answer.
        std::uint32_t requestStart = 1;
        std::uint32_t requestEnd = 1;
        std::uint32_t acknowledgedByServer = 1;
        std::uint32_t sentUpTo = 1;
        std::uint32_t answered = 1; ///< Sequence of the server that this caller acknowledges.
        std::uint64_t timer = 0; ///< Identifies the last timer that was set.
        std::uint32_t requestsLeft = 0;
    };

    double rateFactor(std::size_t traffic) const;
    std::size_t drawDomain(std::size_t traffic);
    endpoint sourceOf(const request &wanted);
    void scheduleNext(std::size_t traffic);
    request newRequest(std::size_t traffic, const std::string &failureDomain);
    void open(const request &wanted, std::uint32_t requestsLeft);
    void sendOpening(const flow_id &flow, std::uint32_t copy);
    void beginRequest(const flow_id &flow, caller_flow &state);
    void sendWindow(const flow_id &flow, caller_flow &state, bool again);
    void sendControl(const flow_id &flow, const caller_flow &state, bool finishes);
    void armRepeat(const flow_id &flow, caller_flow &state, duration pause);
    void onAccepted(const flow_id &flow, caller_flow &state, const server_packet &packet);
    void onAnswer(const flow_id &flow, caller_flow &state, const server_packet &packet);
    void onFailure(const flow_id &flow);
    void onTimeLimit(std::uint64_t number);
    void end(const request &finished, request_outcome outcome);
    caller_packet packetOf(const flow_id &flow, const caller_flow &state) const;
    const traffic_kind &kindOf(std::size_t traffic) const { return m_plan.traffic[traffic]; }

    const scenario &m_plan;
    event_queue &m_queue;
    seeded_random &m_random;
    caller_port &m_port;
    time_point m_end;
    std::vector<std::vector<double>> m_rateFactors; ///< By kind and failure domain.
    std::map<std::uint64_t, std::uint64_t> m_portsUsed; ///< By the number of the address.
    std::uint64_t m_nextFlow = 0;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_nextTimer = 0;
    std::map<flow_id, caller_flow> m_flows;
    std::map<std::uint64_t, flow_id> m_flowOf; ///< By the number of an unfinished request.
};

} // namespace ebonyway
