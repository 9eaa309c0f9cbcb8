#pragma once

#include "core/ip_address.h"
#include "version/platform_store.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>

namespace httplib {
class Client;
}

namespace ebonyway {

/** Largest answer in bytes that a call reads; lists of the large size stay far below it. */
constexpr std::size_t MaxHttpAnswerBytes = 8'000'000;

/** The calls under way, so that a stopping process need not wait for a watch. Thread-safe. */
class http_call_registry
{
public:
    void add(httplib::Client &client);
    void remove(httplib::Client &client);
    /** Ends all calls under way and all later ones; they fail with Unavailable. */
    void cancelAll();

private:
    std::mutex m_mutex;
    std::set<httplib::Client *> m_clients;
    bool m_isCancelled = false;
};

/**
 * The platform's object API over HTTP (section 7 of the design page). Every call opens its own
 * connection, so calls from several threads do not wait for each other. Versions of objects contain
 * the era of the platform's store: after it came back from an older copy, the same revision may
 * name another state, so an update on a version of an earlier era fails with Conflict.
 */
class http_platform_store : public platform_store
{
public:
    explicit http_platform_store(const endpoint &platform);

    result<stored_object> get(const std::string &key, timeout limit) override;
    result<std::string> createIfAbsent(const std::string &key, const std::string &value,
                                       timeout limit) override;
    result<std::string> update(const std::string &key, const std::string &value,
                               const std::string &version, timeout limit) override;
    result<object_list> list(const std::string &prefix, const std::string &after,
                             timeout limit) override;
    result<object_list> watch(const std::string &prefix, std::uint64_t revision,
                              timeout limit) override;
    result<std::vector<platform_instance>> instances(timeout limit) override;

    /** Ends all calls under way and all later ones. Safe from any thread. */
    void cancelAll() { m_calls.cancelAll(); }

private:
    result<std::string> put(const std::string &key, const std::string &value,
                            const std::string &conditionName, const std::string &condition,
                            timeout limit);

    void noteEra(std::uint64_t era);
    /** Returns whether the store has come back from an older copy since the version was read. */
    bool isOfEarlierEra(const std::string &version) const;

    endpoint m_platform;
    http_call_registry m_calls;
    std::atomic<std::uint64_t> m_era{0}; ///< Highest era that an answer told; zero without one.
};

/** Reads a page such as /status from an instance. Fails with Unavailable or NotFound. */
result<std::string> readHttpPage(const endpoint &server, const std::string &path,
                                 std::chrono::milliseconds limit);

} // namespace ebonyway
