#include "forwarding/connection/expected_wait.h"

#include <algorithm>
#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// Answer time to reckon with while none is known. All servers then count as equally fast, so it
// has no influence on the choice.
constexpr duration AssumedAnswerTime = 50ms;

// Bounds of a server's answer time relative to the usual one. Above the upper one a server gets
// next to nothing anyway; a few lucky answers must not draw all flows.
constexpr double MinRelativeTime = 0.5;
constexpr double MaxRelativeTime = 8;

// Number of reports at which a figure counts as much as what is usual.
constexpr double HalfConfidence = 2;

double confidence(std::uint32_t reporters)
{
    return reporters / (reporters + HalfConfidence);
}

} // namespace

duration expectedWait(const server_queue &server, const usual_queue &usual)
{
    const double slots = std::max(1U, server.slots);
    const double trust = confidence(server.reporters);
    const double peerRequests =
            trust * server.peerRequests + (1 - trust) * usual.requestsPerSlot * slots;
    double relativeTime = 1;
    if (server.answerTime > 0ns && usual.answerTime > 0ns) {
        const double measured = std::chrono::duration<double>(server.answerTime)
                                / std::chrono::duration<double>(usual.answerTime);
        relativeTime += confidence(server.answerReporters)
                        * (std::clamp(measured, MinRelativeTime, MaxRelativeTime) - 1);
    }
    const duration answerTime = usual.answerTime > 0ns ? usual.answerTime : AssumedAnswerTime;
    const double requests = server.ownRequests + peerRequests;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(answerTime)
                                                * relativeTime * (1 + requests / slots));
}

} // namespace ebonyway
