#pragma once

#include "core/result.h"
#include "core/time.h"
#include "process/platform_request.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How the simulated platform misbehaves. */
struct platform_faults
{
    bool isDown = false; ///< Refuses calls and ends watches.
    bool losesAnswers = false; ///< Writes take effect, but no answer arrives.
    duration latency = std::chrono::milliseconds(5);
    duration staleness{0}; ///< Reads and listings show the state of this long ago.
};

/** Object store with versions, conditional updates and watches under virtual time. */
class fake_platform
{
public:
    using answer = std::function<void(result<platform_answer>)>;
    using scheduler = std::function<void(time_point, std::function<void()>)>;

    explicit fake_platform(scheduler schedule);

    /** Carries a call out; the answer is scheduled for later. */
    void call(const platform_request &request, time_point now, time_point deadline, answer done);

    /** Writes an object directly, like an operator. Returns whether it was absent. */
    bool create(const std::string &key, const std::string &value, time_point now);

    /** Removes the newest object of a prefix, like a store restored from an old copy. */
    void forgetNewest(const std::string &prefix);

    /**
     * Takes the store back to what it held at a revision, in a new era: later revisions are given
     * out again, and waiting watches are cut off.
     */
    void restoreCopy(std::uint64_t revision, time_point now);
    std::uint64_t revision() const { return m_revision; }

    void setDown(bool isDown, time_point now);

    const std::string *value(const std::string &key) const;
    std::vector<std::string> keys(const std::string &prefix) const;

    platform_faults faults;
    std::uint64_t callCount = 0;
    std::uint64_t conflictCount = 0;

private:
    struct revision_entry
    {
        std::uint64_t revision = 0;
        time_point at;
        std::string value;
    };
    struct waiting_watch
    {
        watch_objects request;
        answer done;
        std::uint64_t id = 0;
    };

    /** Version of an entry as http_platform_store gives it. */
    std::string versionOf(std::uint64_t revision) const;
    void cutWatches(time_point now);
    const revision_entry *find(const std::string &key, time_point now) const;
    result<platform_answer> put(const put_object &request, time_point now);
    result<platform_answer> get(const get_object &request, time_point now) const;
    platform_listing list(const std::string &prefix, const std::string &after,
                          time_point now) const;
    platform_listing changes(const watch_objects &request) const;
    void watch(const watch_objects &request, time_point now, answer done);
    void endWatches(const std::string &key, time_point now);
    void answerLater(time_point at, answer done, result<platform_answer> outcome);

    scheduler m_schedule;
    std::map<std::string, std::vector<revision_entry>> m_objects; ///< All revisions per key.
    std::vector<waiting_watch> m_watches;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 0;
    std::uint64_t m_watchCount = 0;
};

} // namespace ebonyway
