#pragma once

#include "core/time.h"
#include "standins/stream_segment.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** Retransmission timing. The defaults are those of the Linux kernel where it has them. */
struct tcp_timing
{
    duration synTimeout = std::chrono::seconds(1); ///< First retransmission of a SYN.
    duration dataTimeout = std::chrono::milliseconds(200); ///< First retransmission of data.
    duration longestTimeout = std::chrono::seconds(2); ///< Cap of the exponential backoff.
    duration giveUpAfter = std::chrono::seconds(15); ///< Without progress the connection ends.
    duration timeWait = std::chrono::seconds(2); ///< How long a finished peer is acknowledged.
};

/** States of RFC 9293 as far as the stand-ins tell them apart. */
enum class tcp_state : std::uint8_t {
    SynSent,
    SynReceived,
    Established, ///< Also while only one side has sent FIN.
    TimeWait,
    Closed,
};

/** How a connection ended. */
enum class tcp_end : std::uint8_t {
    Open, ///< It has not ended.
    Finished, ///< Both sides sent FIN and had it acknowledged.
    Reset, ///< The peer or the network sent RST.
    Aborted, ///< This side called abort().
    TimedOut, ///< No progress within tcp_timing::giveUpAfter.
};

/**
 * One end of a TCP connection without congestion control or options. Every send() starts a new
 * segment and retransmissions keep the segment boundaries.
 */
class tcp_connection
{
public:
    /** Starts a connection as the caller; the SYN is the first output. */
    static tcp_connection connect(std::uint32_t initialSequence, const tcp_timing &timing,
                                  time_point now);
    /** Accepts a SYN as the server; the SYN-ACK is the first output. */
    static tcp_connection accept(const stream_segment &syn, std::uint32_t initialSequence,
                                 const tcp_timing &timing, time_point now);

    /** Queues data. Has no effect after finish() or the end of the connection. */
    void send(const std::string &data, time_point now);
    /** Sends FIN after all queued data. */
    void finish(time_point now);
    /** Sends RST and ends the connection. */
    void abort();

    void onSegment(const stream_segment &segment, time_point now);
    /** Ends the connection as if a RST had arrived, for example after an ICMP error. */
    void onNetworkError();
    /** Retransmits what is due and gives up when there is no progress. */
    void onTimer(time_point now);

    /** When onTimer must be called next; time_point::max() if not needed. */
    time_point nextTimer() const;
    /** Returns and forgets the segments to send. */
    std::vector<stream_segment> takeOutput();
    /** Returns and forgets the bytes received in order. */
    std::string takeReceived();

    tcp_state state() const { return m_state; }
    tcp_end end() const { return m_end; }
    bool wasEstablished() const { return m_wasEstablished; }
    bool peerFinished() const { return m_peerFinished; }
    /** Returns whether the peer has acknowledged everything that was queued. */
    bool allAcknowledged() const { return m_outgoing.empty(); }
    std::uint64_t retransmissions() const { return m_retransmissions; }

private:
    struct outgoing
    {
        stream_segment segment;
        bool sent = false;
    };

    tcp_connection(std::uint32_t initialSequence, const tcp_timing &timing, tcp_state state);

    void enqueue(stream_segment segment, time_point now);
    void transmit(time_point now);
    void emit(stream_segment segment);
    void emitAck();
    void onReset(const stream_segment &segment);
    void onSegmentInSynSent(const stream_segment &segment, time_point now);
    void onSynAfterStart(const stream_segment &segment);
    void acknowledge(std::uint32_t acknowledgement, time_point now);
    void receive(const stream_segment &segment);
    void acceptInOrder(const stream_segment &segment);
    void finishIfBothDone(time_point now);
    void endWith(tcp_end end);

    tcp_timing m_timing;
    tcp_state m_state;
    tcp_end m_end = tcp_end::Open;
    bool m_wasEstablished = false;
    bool m_finQueued = false;
    bool m_peerFinished = false;
    bool m_finishedFirst = false; ///< This side sent FIN before the peer's arrived.
    std::uint32_t m_nextSequence; ///< Of the next segment to queue.
    std::uint32_t m_expected = 0; ///< Next sequence number expected from the peer.
    std::deque<outgoing> m_outgoing; ///< Not yet acknowledged, in sequence order.
    std::map<std::uint32_t, stream_segment> m_early; ///< Received ahead of m_expected.
    std::string m_received;
    std::vector<stream_segment> m_output;
    duration m_timeout;
    time_point m_retransmitAt = time_point::max();
    time_point m_lastProgress;
    time_point m_closeBy = time_point::max(); ///< End of TIME-WAIT or of the wait for a FIN.
    std::uint64_t m_retransmissions = 0;
};

} // namespace ebonyway::standins
