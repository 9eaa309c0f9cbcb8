#pragma once

#include "core/result.h"
#include "core/seeded_random.h"
#include "core/time.h"
#include "standins/platform_store.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway::standins {

/** A request to the platform, independent of the HTTP library. */
struct platform_request
{
    std::string method; ///< "GET" or "PUT".
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::string ifMatch; ///< Value of the header, or empty.
    std::string ifNoneMatch; ///< Value of the header, or empty.
    std::string body;
};

/** A response of the platform. */
struct platform_response
{
    int code = 200; ///< HTTP status.
    std::uint64_t era = 0; ///< Value of the Store-Era header, or zero.
    std::string etag; ///< Value of the ETag header with its quotes, or empty.
    std::string contentType = "application/json";
    std::string body;
    duration latency{}; ///< Wait before it is sent.
    bool held = false; ///< Wait until the outage ends before doing anything.
    bool lost = false; ///< Close the connection instead of sending the response.
};

/** Identifies a waiting watch. */
using watch_id = std::uint64_t;

/** How the platform fails during an outage. */
enum class outage_kind : std::uint8_t {
    None,
    Unavailable, ///< Status 503.
    Timeout, ///< No response while the outage lasts.
    Refused, ///< The HTTP port is closed.
};

/** An instance in the platform's list. */
struct listed_instance
{
    std::uint32_t id = 0;
    std::string state = "live"; ///< "live" or "leaving".
    std::string failureDomain;
    std::string gossip; ///< ADDRESS:PORT of the gossip port.

    /** Parses "id=ADDRESS:PORT@failure-domain". Fails with InvalidInput. */
    static result<listed_instance> parse(const std::string &text);
};

/** Calls by kind. A waiting watch counts as one call. */
struct call_counters
{
    std::uint64_t get = 0;
    std::uint64_t put = 0;
    std::uint64_t list = 0;
    std::uint64_t watch = 0;
    std::uint64_t instances = 0;
    std::uint64_t other = 0;
    std::uint64_t failed = 0; ///< Of the above: answered by an outage.

    std::uint64_t total() const { return get + put + list + watch + instances + other; }
};

/** Faults that can be injected at run time. */
struct platform_faults
{
    duration latency{}; ///< Added to every response.
    outage_kind outage = outage_kind::None;
    std::uint32_t loseResponses = 0; ///< Responses to the next writes that are lost.
    double staleReadRatio = 0; ///< Share of GET requests that see an earlier revision, in [0, 1].
    std::uint64_t staleRevisions = 1; ///< How many revisions stale reads lag behind.
    duration instancesLag{}; ///< Changes of the instance list show after this time.
};

/** Pure logic of the platform (design section 7). */
class platform_model
{
public:
    explicit platform_model(std::uint64_t seed);

    /** Handles a request. A watch without changes waits: ask pollWatch() for its response. */
    std::variant<platform_response, watch_id> handle(const platform_request &request,
                                                     time_point now);
    /** Returns the response of a watch once there is one, and forgets the watch. */
    std::optional<platform_response> pollWatch(watch_id id, time_point now);
    /** Forgets a watch whose connection was closed. */
    void cancelWatch(watch_id id) { m_watches.erase(id); }

    void setFaults(const platform_faults &faults) { m_faults = faults; }
    const platform_faults &faults() const { return m_faults; }
    /** Replaces the list of instances; it shows after the lag. */
    void setInstances(std::vector<listed_instance> instances, time_point now);
    const std::vector<listed_instance> &instances() const { return m_listings.back().instances; }

    /** Keeps a copy of the objects, to which restoreCopy() takes the store back. */
    void keepCopy() { m_copy = m_store; }
    void restoreCopy() { m_store.restoreCopy(m_copy); }

    platform_store &store() { return m_store; }
    const platform_store &store() const { return m_store; }
    const call_counters &calls() const { return m_calls; }
    std::size_t waitingWatches() const { return m_watches.size(); }

private:
    struct waiting_watch
    {
        std::string prefix;
        std::uint64_t revision = 0;
        std::uint64_t era = 0; ///< In which the watch began.
        time_point timeoutAt;
    };
    struct listing
    {
        time_point at;
        std::vector<listed_instance> instances;
    };

    std::uint64_t &counterFor(const platform_request &request);
    std::variant<platform_response, watch_id> dispatch(const platform_request &request,
                                                       time_point now);
    platform_response handleGet(const std::string &key);
    platform_response handlePut(const platform_request &request, const std::string &key);
    platform_response handleList(const platform_request &request);
    std::variant<platform_response, watch_id> handleWatch(const platform_request &request,
                                                          time_point now);
    platform_response handleInstances(time_point now);
    platform_response outageResponse() const;
    platform_response changesResponse(const std::vector<object_version> &changes) const;
    std::uint64_t readRevision();

    seeded_random m_random;
    platform_store m_store;
    platform_store m_copy;
    platform_faults m_faults;
    call_counters m_calls;
    std::map<watch_id, waiting_watch> m_watches;
    watch_id m_nextWatch = 1;
    std::deque<listing> m_listings; ///< Oldest first; never empty.
};

} // namespace ebonyway::standins
