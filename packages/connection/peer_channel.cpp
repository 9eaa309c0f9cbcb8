#include "connection/peer_channel.h"

#include <algorithm>
#include <iterator>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

/** Size in bytes of the header fields, including the byte order mark. */
constexpr std::size_t HeaderSize = 18;
/** Maximum number of frames in flight to one peer; limits a burst to about 37 KB. */
constexpr std::size_t Window = 32;
/** Maximum number of frames queued for one peer, about 18 MB; one home's flows need far less. */
constexpr std::size_t QueueLimit = 16384;
/** Retransmission timeout; well above the inter-domain round trip plus acknowledgement delay. */
constexpr duration RetransmissionTimeout = 700ms;
/** A frame sent longer ago than this was lost if a new acknowledgement does not cover it. */
constexpr duration RoundTripTime = 50ms;
/** Maximum number of frames retransmitted at once; usually only the first of them was lost. */
constexpr std::size_t RetransmissionLimit = 4;
/** Delay of a bare acknowledgement, so that it can be sent with a data frame instead. */
constexpr duration AcknowledgementDelay = 250ms;
/** Number of unacknowledged received frames at which an acknowledgement is sent at once. */
constexpr std::size_t AcknowledgementThreshold = 8;

} // namespace

peer_channel::peer_channel(std::uint32_t session)
    : m_session(session)
{ }

void peer_channel::enqueue(const engine_record &record)
{
    const std::string encoded = encodeRecord(record);
    if (HeaderSize + m_openFrame.size() + encoded.size() > FrameSizeLimit) {
        closeFrame();
    }
    m_openFrame += encoded;
    if (m_frames.size() > QueueLimit) {
        // A new session tells the peer that the old sequence numbers are no longer valid.
        reset();
        ++m_session;
    }
}

std::uint32_t peer_channel::lastSequence() const
{
    return m_openFrame.empty() ? m_nextSequence - 1 : m_nextSequence;
}

void peer_channel::closeFrame()
{
    if (m_openFrame.empty()) {
        return;
    }
    m_frames.push_back({m_nextSequence, std::move(m_openFrame), false, {}});
    m_openFrame.clear();
    ++m_nextSequence;
}

void peer_channel::reset()
{
    m_openFrame.clear();
    m_frames.clear();
    m_nextSequence = 1;
    m_acknowledgedSequence = 0;
    ++m_resetCount;
}

std::vector<std::vector<std::byte>> peer_channel::takeFrames(time_point now)
{
    closeFrame();
    std::vector<std::vector<std::byte>> frames;
    const bool resend = !m_frames.empty() && m_frames.front().sent
                        && (m_resendNow || now - m_frames.front().sentAt >= RetransmissionTimeout);
    m_resendNow = false;
    const std::size_t count = std::min(Window, m_frames.size());
    for (std::size_t index = 0; index < count; ++index) {
        waiting_frame &frame = m_frames[index];
        if (frame.sent && (!resend || index >= RetransmissionLimit)) {
            continue;
        }
        frame.sent = true;
        frame.sentAt = now;
        frames.push_back(encode(frame.sequence, frame.records));
    }
    const bool acknowledge =
            m_unacknowledgedInput >= AcknowledgementThreshold
            || (m_unacknowledgedInput > 0 && now - m_unacknowledgedSince >= AcknowledgementDelay);
    if (frames.empty() && acknowledge) {
        frames.push_back(encode(0, {}));
    }
    return frames;
}

std::vector<std::byte> peer_channel::encode(std::uint32_t sequence, const std::string &records)
{
    m_unacknowledgedInput = 0;
    return encodeFrame(
            {frame_header{}.version, m_session, m_peerSession, sequence, m_lastReceivedSequence},
            records);
}

bool peer_channel::acceptSession(const frame_header &header)
{
    if (header.session < m_peerSession || header.session == 0) {
        return false;
    }
    if (header.session > m_peerSession) {
        const bool restarted = m_peerSession != 0;
        m_peerSession = header.session;
        m_lastReceivedSequence = 0;
        m_outOfOrder.clear();
        if (restarted) {
            reset();
        }
    }
    return header.peerSession == 0 || header.peerSession == m_session;
}

std::vector<engine_record> peer_channel::accept(engine_frame frame, time_point now)
{
    const frame_header &header = frame.header;
    const bool current = acceptSession(header);
    if (m_unacknowledgedInput == 0) {
        m_unacknowledgedSince = now;
    }
    if (!current) {
        // The acknowledgement tells the peer the current session.
        m_unacknowledgedInput += header.session == m_peerSession ? AcknowledgementThreshold : 0;
        return {};
    }
    if (header.peerSession == m_session) {
        onAcknowledged(header.acknowledged, now);
    }
    if (header.sequence == 0) {
        return {};
    }
    ++m_unacknowledgedInput;
    if (header.sequence != m_lastReceivedSequence + 1) {
        // A frame is missing or duplicated; acknowledging at once makes the peer retransmit.
        m_unacknowledgedInput += AcknowledgementThreshold;
    }
    return takeInOrder(std::move(frame));
}

std::vector<engine_record> peer_channel::takeInOrder(engine_frame frame)
{
    const std::uint32_t sequence = frame.header.sequence;
    if (sequence <= m_lastReceivedSequence || sequence > m_lastReceivedSequence + Window) {
        return {};
    }
    m_outOfOrder.insert_or_assign(sequence, std::move(frame.records));
    std::vector<engine_record> records;
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first == m_lastReceivedSequence + 1) {
        std::vector<engine_record> &next = m_outOfOrder.begin()->second;
        records.insert(records.end(), std::make_move_iterator(next.begin()),
                       std::make_move_iterator(next.end()));
        m_outOfOrder.erase(m_outOfOrder.begin());
        ++m_lastReceivedSequence;
    }
    return records;
}

void peer_channel::onAcknowledged(std::uint32_t sequence, time_point now)
{
    if (sequence >= m_nextSequence || sequence < m_acknowledgedSequence) {
        return;
    }
    m_acknowledgedSequence = sequence;
    while (!m_frames.empty() && m_frames.front().sequence <= sequence) {
        m_frames.pop_front();
    }
    m_resendNow = !m_frames.empty() && m_frames.front().sent
                  && now - m_frames.front().sentAt >= RoundTripTime;
}

} // namespace ebonyway
