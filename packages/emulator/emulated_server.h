#pragma once

#include "core/seeded_random.h"
#include "core/time.h"
#include "emulator/emulated_packet.h"
#include "forwarding/version/store_objects.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ebonyway {

/** What a backend server does to packets. */
enum class server_mood : std::uint8_t {
    Serving,
    Draining, ///< Serves, and closes each flow after its next answer.
    Crashed, ///< Silent; holds nothing.
    Departed, ///< As Crashed; its address may belong to another server.
    Hanging, ///< Accepts flows and data, and answers no request.
};

/** How long a server works on requests. */
struct work_times
{
    duration usual{}; ///< Mean of one request.
    std::map<endpoint, duration> byAddress; ///< Means of requests to these public addresses.
    double spread = 0; ///< Coefficient of variation; the times are log-normal.
};

/** Work that a server has begun; the emulation ends it after its time. */
struct started_work
{
    server_packet answer;
    duration length{};
};

/** What a packet has caused at a server. */
struct server_reaction
{
    std::vector<server_packet> packets;
    bool opened = false; ///< The flow has just opened here.
    bool ignored = false; ///< A full server does not answer an opening packet.
    bool rejected = false; ///< The request does not run because the server is full.
    std::optional<attempt_id> began; ///< The server has taken this request to run it.
};

/** A backend server: flows, slots and a queue of requests. Pure; `seed` draws the work times. */
class emulated_server
{
public:
    emulated_server(registered_server entry, work_times work, std::uint64_t seed);

    server_reaction onPacket(const caller_packet &packet);
    /** Begins queued requests while slots are free. */
    std::vector<started_work> startWork(time_point now);
    /** One request is done. Returns its answer, if the flow still exists. */
    std::optional<server_packet> finishWork(const server_packet &answer);

    /** A crash loses all flows and work. */
    void setMood(server_mood mood);
    server_mood mood() const { return m_mood; }
    bool serves() const
    {
        return m_mood == server_mood::Serving || m_mood == server_mood::Draining;
    }
    void setWorkFactor(double factor) { m_workFactor = factor; }
    void setColdUntil(time_point until) { m_coldUntil = until; }
    time_point coldUntil() const { return m_coldUntil; }
    bool isCold(time_point now) const { return now < m_coldUntil; }

    bool holds(const flow_id &flow) const { return m_flows.contains(flow); }
    std::uint64_t life() const { return m_life; } ///< Counts the crashes.
    const registered_server &entry() const { return m_entry; }
    registered_server &entry() { return m_entry; }

private:
    struct held_flow
    {
        flow_token token;
        std::uint32_t received = 1; ///< Next sequence expected.
        attempt_id queued; ///< Last request that was taken.
        std::optional<server_packet> lastAnswer;
    };

    bool isFull() const;
    /** Draws the time of a request to the address on a server that is neither slow nor cold. */
    duration drawWork(const endpoint &address);
    server_reaction onRequest(const caller_packet &packet, held_flow &held);
    server_packet reply(const caller_packet &packet, server_packet::content what) const;

    registered_server m_entry;
    work_times m_work;
    seeded_random m_random;
    server_mood m_mood = server_mood::Serving;
    double m_workFactor = 1;
    time_point m_coldUntil;
    std::uint64_t m_life = 0;
    std::uint32_t m_working = 0;
    std::map<flow_id, flow_token> m_offered; ///< Answered opening packets.
    std::map<flow_id, held_flow> m_flows;
    std::deque<server_packet> m_queue; ///< Answers of requests that wait for a slot.
};

} // namespace ebonyway
