#pragma once

#include "core/ip_address.h"

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace ebonyway::standins {

/** The part of the platform's object store that an instance reads, over real HTTP. */
class object_store_standin
{
public:
    explicit object_store_standin(const endpoint &local);
    ~object_store_standin();

    /** Writes or replaces an object. `spec` is JSON. */
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

    /** While it is down, every call is answered with 503. */
    void setDown(bool down);

    /**
     * Keeps a copy of all objects, and takes the store back to it later: what was written since is
     * gone, its revisions are given out again, and a new era begins.
     */
    void keepCopy();
    void restoreCopy();

    int callCount() const;

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string json;
    };

    void answer(const httplib::Request &request, httplib::Response &response);
    std::string list(const std::string &kind) const;
    void record(const std::string &kind, const std::string &object, bool deleted);

    httplib::Server m_server;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    struct content
    {
        std::map<std::string, std::map<std::string, std::string>> objects; ///< By kind and name.
        std::vector<event> history;
        std::uint64_t revision = 10;
    };

    content m_content;
    content m_copy;
    std::uint64_t m_era = 1;
    bool m_down = false;
    bool m_stopping = false;
    int m_calls = 0;
};

} // namespace ebonyway::standins
