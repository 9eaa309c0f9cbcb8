#include "forwarding/connection/expected_wait.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Answer time to reckon with while none is known. All servers then count as equally fast, so it
// has no influence on the choice.
constexpr duration AssumedAnswerTime = 50ms;

// Answer time of a server relative to the usual one from which it counts as slow, and up to which
// it counts. Answer times contain waits. Smaller differences made all instances choose the same
// servers: in simulated queues with 88 instances, the 99th percentile of the waits rose sevenfold.
constexpr double SlowRelativeTime = 3;
constexpr double MaxRelativeTime = 8;

// Number of reports at which an answer time counts as much as the usual one.
constexpr double HalfConfidence = 2;

double confidence(std::uint32_t reporters)
{
    return reporters / (reporters + HalfConfidence);
}

} // namespace

duration expectedWait(const server_queue &server, const usual_queue &usual)
{
    const double slots = std::max(1U, server.slots);
    double relativeTime = 1;
    if (usual.answerTime > 0ns && server.answerTime >= usual.answerTime * SlowRelativeTime) {
        const double measured = std::chrono::duration<double>(server.answerTime)
                                / std::chrono::duration<double>(usual.answerTime);
        relativeTime +=
                confidence(server.answerReporters) * (std::min(measured, MaxRelativeTime) - 1);
    }
    const duration answerTime = usual.answerTime > 0ns ? usual.answerTime : AssumedAnswerTime;
    const double requests = server.ownRequests + usual.requestsPerSlot * slots;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(answerTime)
                                                * relativeTime * (1 + requests / slots));
}

} // namespace ebonyway
