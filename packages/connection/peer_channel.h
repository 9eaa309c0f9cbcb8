#pragma once

#include "connection/engine_message.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/**
 * Reliable, ordered stream of records to and from one peer over datagrams that may be lost,
 * duplicated or reordered. Frames are acknowledged cumulatively and retransmitted in order. A
 * restart of the peer resets the channel.
 */
class peer_channel
{
public:
    /** The session must be greater than in any earlier run of this instance. */
    explicit peer_channel(std::uint32_t session);

    /** Appends a record. If the queue is too long, discards it and resets the channel. */
    void enqueue(const engine_record &record);

    /** Returns the sequence number of the frame that carries the last appended record. */
    std::uint32_t lastSequence() const;
    bool isAcknowledged(std::uint32_t sequence) const { return sequence <= m_acknowledgedSequence; }
    /** Returns whether everything appended has been acknowledged. */
    bool isIdle() const { return m_openFrame.empty() && m_frames.empty(); }
    /** Number of resets; records sent before a reset may be lost. */
    std::uint32_t resetCount() const { return m_resetCount; }
    std::uint32_t session() const { return m_session; }

    /** Returns the frames to send now. */
    std::vector<std::vector<std::byte>> takeFrames(time_point now);

    /** Accepts a frame and returns the records now in order; buffers frames that arrive early. */
    std::vector<engine_record> accept(engine_frame frame, time_point now);

private:
    struct waiting_frame
    {
        std::uint32_t sequence = 0;
        std::string records;
        bool sent = false;
        time_point sentAt{};
    };

    void closeFrame();
    void reset();
    void onAcknowledged(std::uint32_t sequence, time_point now);
    bool acceptSession(const frame_header &header);
    std::vector<engine_record> takeInOrder(engine_frame frame);
    std::vector<std::byte> encode(std::uint32_t sequence, const std::string &records);

    std::uint32_t m_session;
    std::uint32_t m_peerSession = 0;
    std::uint32_t m_nextSequence = 1;
    std::uint32_t m_acknowledgedSequence = 0;
    std::uint32_t m_lastReceivedSequence = 0; ///< Of the last frame received in order.
    std::uint32_t m_resetCount = 0;
    bool m_resendNow = false;
    std::string m_openFrame;
    std::deque<waiting_frame> m_frames;
    std::map<std::uint32_t, std::vector<engine_record>> m_outOfOrder; ///< Received out of order.
    std::size_t m_unacknowledgedInput = 0;
    time_point m_unacknowledgedSince{};
};

} // namespace ebonyway
