#include "core/seeded_random.h"
#include "standins/tcp_connection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace ebonyway::standins {

using namespace std::chrono_literals;

namespace {

/** Two ends; segments are passed on by hand or over a faulty link. */
struct tcp_fixture
{
    static constexpr std::uint32_t NearWrap = 0xfffffff0; ///< Sequence numbers wrap soon.

    time_point now{1h};
    tcp_timing timing;
    tcp_connection caller = tcp_connection::connect(NearWrap, timing, now);
    std::vector<stream_segment> synOutput = caller.takeOutput();
    tcp_connection server = tcp_connection::accept(synOutput.front(), 7, timing, now);

    static std::vector<stream_segment> give(const std::vector<stream_segment> &segments,
                                            tcp_connection &to, time_point at)
    {
        for (const stream_segment &segment : segments) {
            to.onSegment(segment, at);
        }
        return segments;
    }

    /** Passes segments both ways until none is left. */
    void settle()
    {
        bool moved = true;
        while (moved) {
            const auto toServer = give(caller.takeOutput(), server, now);
            const auto toCaller = give(server.takeOutput(), caller, now);
            moved = !toServer.empty() || !toCaller.empty();
        }
    }

    /** Moves both ends to a later time. */
    void wait(duration length)
    {
        now += length;
        caller.onTimer(now);
        server.onTimer(now);
    }
};

/** Carries segments with loss and reordering; gives up nothing else. */
class faulty_link
{
public:
    explicit faulty_link(std::uint64_t seed)
        : m_random(seed)
    { }

    void carry(std::vector<stream_segment> segments, time_point now)
    {
        for (stream_segment &segment : segments) {
            if (m_random.unit() < 0.2) {
                continue;
            }
            const auto delay = std::chrono::milliseconds(m_random.below(20));
            m_waiting.emplace(now + delay, std::move(segment));
        }
    }

    void deliver(tcp_connection &to, time_point now)
    {
        while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
            to.onSegment(m_waiting.begin()->second, now);
            m_waiting.erase(m_waiting.begin());
        }
    }

private:
    seeded_random m_random;
    std::multimap<time_point, stream_segment> m_waiting;
};

} // namespace

TEST_CASE_FIXTURE(tcp_fixture, "connection, sequence numbers wrap, carries data both ways")
{
    settle();
    caller.send("GET price 17 id=a\n", now);
    server.send("DONE\n", now);
    settle();
    CHECK(server.takeReceived() == "GET price 17 id=a\n");
    CHECK(caller.takeReceived() == "DONE\n");
    CHECK(caller.allAcknowledged());
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, SYN lost, is sent again after the SYN time-out")
{
    wait(timing.synTimeout - 1ms);
    CHECK(caller.takeOutput().empty());
    wait(1ms);
    const std::vector<stream_segment> repeated = caller.takeOutput();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().syn);
    CHECK(repeated.front().sequence == NearWrap);
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, refused with data waiting, ends by RST")
{
    caller.send("GET price 17 id=a\n", now);
    stream_segment refusal;
    refusal.reset = true;
    refusal.ack = true;
    refusal.acknowledgement = NearWrap;
    caller.onSegment(refusal, now);
    CHECK(caller.end() == tcp_end::Open); // Does not acknowledge the SYN.
    refusal.acknowledgement = NearWrap + 1;
    caller.onSegment(refusal, now);
    CHECK(caller.end() == tcp_end::Reset);
}

TEST_CASE_FIXTURE(tcp_fixture, "server end, SYN arrives twice, repeats the same SYN-ACK")
{
    // A second initial sequence number would break the flow when the first SYN-ACK was only late.
    server.onSegment(synOutput.front(), now);
    const std::vector<stream_segment> answers = server.takeOutput();
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].sequence == answers[1].sequence);
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, segments arrive in reverse and twice, delivers once")
{
    settle();
    caller.send("one ", now);
    caller.send("two ", now);
    caller.send("three", now);
    std::vector<stream_segment> segments = caller.takeOutput();
    std::reverse(segments.begin(), segments.end());
    give(segments, server, now);
    give(segments, server, now);
    CHECK(server.takeReceived() == "one two three");
    settle();
    CHECK(caller.allAcknowledged());
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, RST outside the window, stays open")
{
    // An old or forged RST must not end a flow; one in sequence must.
    settle();
    stream_segment reset;
    reset.reset = true;
    reset.sequence = 7; // Before the sequence number that the caller expects.
    caller.onSegment(reset, now);
    CHECK(caller.end() == tcp_end::Open);
    reset.sequence = 8;
    caller.onSegment(reset, now);
    CHECK(caller.end() == tcp_end::Reset);
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, peer is silent, times out after the limit only")
{
    settle();
    const time_point sent = now;
    caller.send("PING 1 id=a\n", now);
    while (caller.end() == tcp_end::Open && now - sent < 60s) {
        wait(100ms);
    }
    CHECK(caller.end() == tcp_end::TimedOut);
    CHECK(now - sent >= timing.giveUpAfter);
    CHECK(caller.retransmissions() > 3);
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, last ACK lost, is acknowledged again in TIME-WAIT")
{
    // Without TIME-WAIT the server's repeated FIN would meet a closed caller.
    settle();
    caller.finish(now);
    give(caller.takeOutput(), server, now);
    server.finish(now);
    give(server.takeOutput(), caller, now);
    CHECK(caller.end() == tcp_end::Finished);
    caller.takeOutput(); // The last ACK is lost.
    wait(timing.dataTimeout);
    settle();
    CHECK(server.end() == tcp_end::Finished);
    wait(timing.timeWait);
    CHECK(caller.state() == tcp_state::Closed);
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, peer never sends FIN, is closed after the limit")
{
    // A server that lost its state after the ACK of the FIN would leave the flow open for ever.
    settle();
    caller.finish(now);
    settle();
    wait(timing.giveUpAfter);
    CHECK(caller.end() == tcp_end::TimedOut);
    CHECK(caller.nextTimer() == time_point::max());
}

TEST_CASE_FIXTURE(tcp_fixture, "connection, lossy and reordering link, carries everything")
{
    constexpr int Segments = 60;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        timing.giveUpAfter = 10min; // Loss alone must not end the flow here.
        timing.timeWait = 1min; // Longer than several lost copies of the last FIN.
        caller = tcp_connection::connect(static_cast<std::uint32_t>(seed) * 0x9e3779b9U, timing,
                                         now);
        synOutput = caller.takeOutput();
        server = tcp_connection::accept(synOutput.front(), 7, timing, now);
        faulty_link toServer(seed);
        faulty_link toCaller(seed + 1000);
        std::string expected;
        for (int i = 0; i < Segments; ++i) {
            const std::string text = std::to_string(i) + ",";
            expected += text;
            caller.send(text, now);
            server.send(text, now);
        }
        caller.finish(now);
        server.finish(now);
        std::string atServer;
        std::string atCaller;
        const time_point limit = now + 10min;
        while ((caller.end() == tcp_end::Open || server.end() == tcp_end::Open) && now < limit) {
            wait(5ms);
            toServer.carry(caller.takeOutput(), now);
            toCaller.carry(server.takeOutput(), now);
            toServer.deliver(server, now);
            toCaller.deliver(caller, now);
            atServer += server.takeReceived();
            atCaller += caller.takeReceived();
        }
        CHECK(atServer == expected);
        CHECK(atCaller == expected);
        CHECK(caller.end() == tcp_end::Finished);
        CHECK(server.end() == tcp_end::Finished);
    }
}

} // namespace ebonyway::standins
