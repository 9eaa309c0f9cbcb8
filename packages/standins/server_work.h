#pragma once

#include "core/seeded_random.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** Capacity of a backend server stand-in. */
struct work_settings
{
    std::uint32_t slotLimit = 4; ///< Requests run at the same time.
    std::uint32_t queueLimit = 256; ///< Waiting requests; beyond that the server sheds load.
    duration serviceTime = std::chrono::milliseconds(2); ///< Mean time of one run when warm.
    std::uint32_t warmupRequests = 0; ///< Completed runs until the server is warm; 0: always warm.
    double coldShare = 0.05; ///< Speed right after a start, relative to a warm server.
    std::uint32_t coldQueueLimit = 16; ///< A cold server fails when more requests wait.
};

/** Identifies one submitted request. */
using work_id = std::uint64_t;

/** How a submitted request ended. */
enum class work_outcome : std::uint8_t {
    Done,
    Shed, ///< Not run: the queue was full.
    ExpiredWaiting, ///< Not run: the deadline passed in the queue.
    ExpiredRunning, ///< Aborted: the deadline passed during the run.
};

struct finished_work
{
    work_id id = 0;
    work_outcome outcome = work_outcome::Done;
};

/** A request as the capacity model sees it. */
struct work_item
{
    work_id id = 0;
    std::string countedId; ///< Request id whose runs are counted; empty for idempotent requests.
    time_point deadline = time_point::max();
};

/** Slots, queue and cold start of one backend server. */
class server_work
{
public:
    server_work(const work_settings &settings, std::uint64_t seed);

    /** Runs or queues a request. It may finish at once if it is shed. */
    void submit(const work_item &item, time_point now);
    /** Removes a waiting request or aborts a running one. */
    void cancel(work_id id, time_point now);
    /** Ends runs and deadlines that are due and starts waiting requests. */
    void onTimer(time_point now);
    time_point nextTimer() const;
    std::vector<finished_work> takeFinished();

    /** Forgets all requests and the warm-up; the counted runs stay. */
    void restart();
    /** Loses the warm-up without a restart. */
    void turnCold() { m_warmth = 0; }

    /** Returns whether the server was overloaded while cold. restart() clears it. */
    bool hasFailed() const { return m_failed; }
    /** Speed relative to a warm server, in (0, 1]. */
    double capacityShare() const;
    std::uint32_t busySlots() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint64_t cancelledRuns() const { return m_cancelledRuns; }
    /** Runs per counted request id. */
    const std::map<std::string, std::uint32_t> &runs() const { return m_runs; }
    /** Number of counted requests that were run more than once. */
    std::uint64_t repeatedRuns() const { return m_repeatedRuns; }

private:
    struct running_item
    {
        work_item item;
        time_point endsAt;
    };

    void expireWaiting(time_point now);
    void endRuns(time_point now);
    void startWaiting(time_point now);
    void countRun(const std::string &countedId);

    work_settings m_settings;
    seeded_random m_random;
    std::deque<work_item> m_waiting;
    std::vector<running_item> m_running;
    std::vector<finished_work> m_finished;
    std::map<std::string, std::uint32_t> m_runs;
    std::uint64_t m_repeatedRuns = 0;
    std::uint64_t m_cancelledRuns = 0;
    std::uint32_t m_warmth = 0; ///< Runs completed since the start.
    bool m_failed = false;
};

} // namespace ebonyway::standins
