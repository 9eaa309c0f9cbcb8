#pragma once

#include "core/time.h"

#include <cstdint>

namespace ebonyway {

/** What an instance knows of the requests at one backend server. */
struct server_queue
{
    double ownRequests = 0; ///< Requests of this instance that are under way or about to begin.
    std::uint32_t slots = 1;
    duration answerTime{}; ///< Mean of recent answers; zero if there are none.
    std::uint32_t answerReporters = 0; ///< Instances whose answers are in the mean.
};

/** What a backend server of the service usually has. */
struct usual_queue
{
    double requestsPerSlot = 0;
    duration answerTime{}; ///< Zero if unknown; speeds then count as equal.
};

/**
 * Returns the expected time until the server has answered a new request: the requests before it and
 * its own work. Requests of other instances count as usual at every server, because what is known
 * of them is older than a request takes.
 */
duration expectedWait(const server_queue &server, const usual_queue &usual);

} // namespace ebonyway
