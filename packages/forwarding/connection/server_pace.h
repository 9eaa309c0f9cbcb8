#pragma once

#include "core/time.h"
#include "forwarding/request/flow_packet.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Reports that a server has begun its slow start, or has reached or lost its full share. */
struct pace_change
{
    server_key server;
    double share = 1;
    duration since{}; ///< Time since the slow start began.
};

/**
 * Slow start of backend servers that were started, added or have recovered: the share of new flows
 * that each one gets, relative to the others, follows how it answers. Answers the load that meets a
 * server at the moment at which it becomes usable.
 */
class server_pace
{
public:
    /** Starts the slow start of a server. */
    void begin(server_key server, time_point now);
    /** The server has answered a request of this instance; `usual` is the time others take. */
    void onAnswer(server_key server, duration time, duration usual, time_point now);
    /**
     * The server did not answer or was set aside; a slow start under way begins anew, but not
     * before its start.
     */
    void onSilence(server_key server, time_point now);
    /** Another instance reports when the server last answered and its mean answer time, or zero. */
    void onPeerAnswer(server_key server, time_point at, duration time, duration usual);
    /** The server is gone, or its state was dropped. */
    void forget(server_key server);
    /** Takes the next step where it is due; call it every 200 ms. */
    void tick(time_point now);

    /** Returns the share of a server, in (0, 1]; 1 if it is not in slow start. */
    double share(server_key server) const;

    /** Returns and clears the changes since the last call. */
    std::vector<pace_change> takeChanges();

private:
    struct slow_start
    {
        double share = 1;
        time_point beganAt;
        time_point lastStep;
        time_point lastPeerAnswer; ///< Latest reported answer that was counted.
        // Answers since the last step.
        std::uint32_t answers = 0;
        duration answerTime{}; ///< Sum over the answers whose times are known.
        duration usualTime{}; ///< Sum of what others take, for the same answers.
    };

    void addAnswer(slow_start &state, duration time, duration usual);

    std::unordered_map<server_key, slow_start> m_slowStarts;
    std::vector<pace_change> m_changes;
};

} // namespace ebonyway
