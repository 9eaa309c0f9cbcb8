#include "standins/tcp_connection.h"

#include <algorithm>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Segments in flight at a time; enough to keep an upload moving over a reordering fabric. */
constexpr std::size_t WindowSegments = 16;
/** Receive window in bytes; also bounds which early segments and RSTs are accepted. */
constexpr std::uint32_t WindowBytes = 65535;

std::uint32_t sequenceLength(const stream_segment &segment)
{
    const std::uint32_t flags = (segment.syn ? 1U : 0U) + (segment.fin ? 1U : 0U);
    return static_cast<std::uint32_t>(segment.payload.size()) + flags;
}

/** Sequence numbers wrap around, so their order is the sign of their difference. */
bool isBefore(std::uint32_t first, std::uint32_t second)
{
    return static_cast<std::int32_t>(first - second) < 0;
}

} // namespace

tcp_connection::tcp_connection(std::uint32_t initialSequence, const tcp_timing &timing,
                               tcp_state state)
    : m_timing(timing)
    , m_state(state)
    , m_nextSequence(initialSequence)
    , m_timeout(timing.synTimeout)
{ }

tcp_connection tcp_connection::connect(std::uint32_t initialSequence, const tcp_timing &timing,
                                       time_point now)
{
    tcp_connection connection(initialSequence, timing, tcp_state::SynSent);
    stream_segment syn;
    syn.syn = true;
    connection.enqueue(std::move(syn), now);
    return connection;
}

tcp_connection tcp_connection::accept(const stream_segment &syn, std::uint32_t initialSequence,
                                      const tcp_timing &timing, time_point now)
{
    tcp_connection connection(initialSequence, timing, tcp_state::SynReceived);
    connection.m_expected = syn.sequence + 1;
    stream_segment synAck;
    synAck.syn = true;
    connection.enqueue(std::move(synAck), now);
    return connection;
}

void tcp_connection::send(const std::string &data, time_point now)
{
    if (m_finQueued || m_end != tcp_end::Open) {
        return;
    }
    stream_segment segment;
    segment.payload = data;
    enqueue(std::move(segment), now);
}

void tcp_connection::finish(time_point now)
{
    if (m_finQueued || m_end != tcp_end::Open) {
        return;
    }
    m_finQueued = true;
    m_finishedFirst = !m_peerFinished;
    stream_segment segment;
    segment.fin = true;
    enqueue(std::move(segment), now);
}

void tcp_connection::abort()
{
    if (m_end != tcp_end::Open) {
        return;
    }
    stream_segment segment;
    segment.reset = true;
    // The peer accepts a RST only in sequence, which is the first number not yet acknowledged.
    segment.sequence = m_outgoing.empty() ? m_nextSequence : m_outgoing.front().segment.sequence;
    emit(std::move(segment));
    endWith(tcp_end::Aborted);
}

void tcp_connection::enqueue(stream_segment segment, time_point now)
{
    segment.sequence = m_nextSequence;
    m_nextSequence += sequenceLength(segment);
    if (m_outgoing.empty()) {
        m_lastProgress = now;
    }
    m_outgoing.push_back({std::move(segment), false});
    transmit(now);
}

void tcp_connection::transmit(time_point now)
{
    const bool handshake = m_state == tcp_state::SynSent || m_state == tcp_state::SynReceived;
    const std::size_t window = handshake ? 1 : WindowSegments;
    const std::size_t count = std::min(window, m_outgoing.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (m_outgoing[i].sent) {
            continue;
        }
        m_outgoing[i].sent = true;
        emit(m_outgoing[i].segment);
        if (m_retransmitAt == time_point::max()) {
            m_retransmitAt = now + m_timeout;
        }
    }
}

void tcp_connection::emit(stream_segment segment)
{
    if (m_state != tcp_state::SynSent) {
        segment.ack = true;
        segment.acknowledgement = m_expected;
    }
    m_output.push_back(std::move(segment));
}

void tcp_connection::emitAck()
{
    stream_segment segment;
    segment.sequence = m_nextSequence;
    // Data that waits for the window must not be skipped by the acknowledgement's own number.
    for (const outgoing &waiting : m_outgoing) {
        if (!waiting.sent) {
            segment.sequence = waiting.segment.sequence;
            break;
        }
    }
    emit(std::move(segment));
}

void tcp_connection::onSegment(const stream_segment &segment, time_point now)
{
    if (m_state == tcp_state::Closed) {
        return;
    }
    if (segment.reset) {
        onReset(segment);
        return;
    }
    if (m_state == tcp_state::SynSent) {
        onSegmentInSynSent(segment, now);
        return;
    }
    if (segment.syn) {
        onSynAfterStart(segment);
        return;
    }
    if (segment.ack) {
        acknowledge(segment.acknowledgement, now);
    }
    if (sequenceLength(segment) > 0) {
        receive(segment);
    }
    transmit(now);
    finishIfBothDone(now);
}

void tcp_connection::onReset(const stream_segment &segment)
{
    if (m_state == tcp_state::TimeWait) {
        return;
    }
    const bool acceptable =
            m_state == tcp_state::SynSent
                    ? segment.ack
                              && segment.acknowledgement == m_outgoing.front().segment.sequence + 1
                    : segment.sequence - m_expected <= WindowBytes;
    if (acceptable) {
        endWith(tcp_end::Reset);
    }
}

void tcp_connection::onSegmentInSynSent(const stream_segment &segment, time_point now)
{
    const std::uint32_t afterSyn = m_outgoing.front().segment.sequence + 1;
    if (!segment.syn || !segment.ack || segment.acknowledgement != afterSyn) {
        return;
    }
    m_expected = segment.sequence + 1;
    m_state = tcp_state::Established;
    m_wasEstablished = true;
    acknowledge(segment.acknowledgement, now);
    emitAck();
    transmit(now);
}

void tcp_connection::onSynAfterStart(const stream_segment &segment)
{
    const bool repeated = segment.sequence + 1 == m_expected;
    if (m_state == tcp_state::SynReceived && repeated) {
        emit(m_outgoing.front().segment);
        return;
    }
    // A repeated SYN-ACK needs its ACK again; any other SYN gets a challenge ACK (RFC 5961).
    emitAck();
}

void tcp_connection::acknowledge(std::uint32_t acknowledgement, time_point now)
{
    bool progress = false;
    while (!m_outgoing.empty()) {
        const outgoing &first = m_outgoing.front();
        const std::uint32_t end = first.segment.sequence + sequenceLength(first.segment);
        if (!first.sent || isBefore(acknowledgement, end)) {
            break;
        }
        m_outgoing.pop_front();
        progress = true;
    }
    if (!progress) {
        return;
    }
    if (m_state == tcp_state::SynReceived) {
        m_state = tcp_state::Established;
        m_wasEstablished = true;
    }
    m_lastProgress = now;
    m_timeout = m_timing.dataTimeout;
    m_retransmitAt = m_outgoing.empty() ? time_point::max() : now + m_timeout;
}

void tcp_connection::receive(const stream_segment &segment)
{
    const bool early = segment.sequence != m_expected && !isBefore(segment.sequence, m_expected);
    if (early && segment.sequence - m_expected <= WindowBytes) {
        m_early.emplace(segment.sequence, segment);
    }
    if (segment.sequence == m_expected) {
        acceptInOrder(segment);
    }
    for (auto next = m_early.find(m_expected); next != m_early.end();
         next = m_early.find(m_expected)) {
        const stream_segment waiting = std::move(next->second);
        m_early.erase(next);
        acceptInOrder(waiting);
    }
    emitAck();
}

void tcp_connection::acceptInOrder(const stream_segment &segment)
{
    m_received += segment.payload;
    m_expected += sequenceLength(segment);
    m_peerFinished = m_peerFinished || segment.fin;
}

void tcp_connection::finishIfBothDone(time_point now)
{
    const bool finished = m_finQueued && m_outgoing.empty();
    if (!finished || m_end != tcp_end::Open) {
        return;
    }
    if (!m_peerFinished) {
        m_closeBy = std::min(m_closeBy, now + m_timing.giveUpAfter);
        return;
    }
    endWith(tcp_end::Finished);
    if (m_finishedFirst) {
        m_state = tcp_state::TimeWait;
        m_closeBy = now + m_timing.timeWait;
    }
}

void tcp_connection::endWith(tcp_end end)
{
    m_end = end;
    m_state = tcp_state::Closed;
    m_outgoing.clear();
    m_early.clear();
    m_retransmitAt = time_point::max();
    m_closeBy = time_point::max();
}

void tcp_connection::onNetworkError()
{
    if (m_end == tcp_end::Open) {
        endWith(tcp_end::Reset);
    }
}

void tcp_connection::onTimer(time_point now)
{
    if (now >= m_closeBy) {
        endWith(m_end == tcp_end::Open ? tcp_end::TimedOut : m_end);
        return;
    }
    if (m_outgoing.empty() || now < m_retransmitAt) {
        return;
    }
    if (now - m_lastProgress >= m_timing.giveUpAfter) {
        endWith(tcp_end::TimedOut);
        return;
    }
    emit(m_outgoing.front().segment);
    ++m_retransmissions;
    m_timeout = std::min(m_timeout * 2, std::max(m_timing.longestTimeout, m_timing.synTimeout));
    m_retransmitAt = now + m_timeout;
}

time_point tcp_connection::nextTimer() const
{
    return std::min(m_retransmitAt, m_closeBy);
}

std::vector<stream_segment> tcp_connection::takeOutput()
{
    return std::exchange(m_output, {});
}

std::string tcp_connection::takeReceived()
{
    return std::exchange(m_received, {});
}

} // namespace ebonyway::standins
