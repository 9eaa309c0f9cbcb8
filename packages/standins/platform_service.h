#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "standins/http_port.h"
#include "standins/platform_model.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace ebonyway::standins {

/** Addresses and files of the platform stand-in. */
struct platform_options
{
    endpoint listen; ///< HTTP address of the object API.
    endpoint control; ///< HTTP address of /control; port 0 for none.
    std::string stateFile; ///< Keeps the objects over a restart; empty for none.
    std::uint64_t seed = 1;
    std::vector<listed_instance> instances;
};

/** Serves the platform model over HTTP. */
class platform_service
{
public:
    explicit platform_service(platform_options options);
    ~platform_service();

    /** Loads the state file and opens both ports. */
    status open();
    /** Opens or closes the object port as the outage demands. Call it repeatedly. */
    status followOutage();
    void close();
    /** Returns the faults in force and the calls counted. */
    Json::Value summary();

private:
    std::unique_ptr<http_port> makeObjectPort();
    void serve(const httplib::Request &from, httplib::Response &to);
    platform_response respond(const platform_request &request);
    platform_response waitForWatch(watch_id id, std::unique_lock<std::mutex> &lock);
    void onControl(const httplib::Request &from, httplib::Response &to);
    status loadState();
    void saveState();

    platform_options m_options;
    std::mutex m_mutex; ///< Guards m_model and m_closing against the HTTP threads.
    std::condition_variable m_changed;
    platform_model m_model;
    bool m_closing = false;
    std::unique_ptr<http_port> m_objects;
    http_port m_control;
};

} // namespace ebonyway::standins
