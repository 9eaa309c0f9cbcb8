#include "standins/platform_service.h"

#include "standins/json_line.h"
#include "standins/platform_control.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <json/json.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Longest wait between two looks at a watch or an outage. */
constexpr std::chrono::milliseconds PollInterval(20);
/** File descriptors searched for a connection. */
constexpr int SearchedDescriptors = 1024;

time_point now()
{
    return std::chrono::steady_clock::now();
}

/** cpp-httplib gives handlers no access to their socket, so it is found by the peer's port. */
void shutDownConnection(const httplib::Request &request)
{
    for (int descriptor = 0; descriptor < SearchedDescriptors; ++descriptor) {
        sockaddr_storage peer{};
        socklen_t length = sizeof peer;
        if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &length) != 0) {
            continue;
        }
        // The port is at the same place in IPv4 and IPv6 socket addresses.
        const auto *address = reinterpret_cast<const sockaddr_in *>(&peer);
        const bool ip = peer.ss_family == AF_INET || peer.ss_family == AF_INET6;
        if (ip && ntohs(address->sin_port) == request.remote_port) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

platform_request toModel(const httplib::Request &from)
{
    platform_request request;
    request.method = from.method;
    request.path = from.path;
    request.query = {from.params.begin(), from.params.end()};
    request.ifMatch = from.get_header_value("If-Match");
    request.ifNoneMatch = from.get_header_value("If-None-Match");
    request.body = from.body;
    return request;
}

} // namespace

platform_service::platform_service(platform_options options)
    : m_options(std::move(options))
    , m_model(m_options.seed)
{
    m_model.setInstances(m_options.instances, now());
}

platform_service::~platform_service()
{
    close();
}

status platform_service::open()
{
    status loaded = loadState();
    if (!isOk(loaded)) {
        return loaded;
    }
    m_control.server().Get("/control", [this](const httplib::Request &, httplib::Response &to) {
        answerControl(to, std::monostate{}, summary());
    });
    m_control.server().Post("/control", [this](const httplib::Request &from,
                                               httplib::Response &to) { onControl(from, to); });
    if (m_options.control.port != 0) {
        status opened = m_control.open(m_options.control);
        if (!isOk(opened)) {
            return opened;
        }
    }
    return followOutage();
}

std::unique_ptr<http_port> platform_service::makeObjectPort()
{
    auto port = std::make_unique<http_port>();
    const auto handler = [this](const httplib::Request &from, httplib::Response &to) {
        serve(from, to);
    };
    port->server().Get(".*", handler);
    port->server().Put(".*", handler);
    return port;
}

status platform_service::followOutage()
{
    bool refused = false;
    {
        const std::lock_guard guard(m_mutex);
        refused = m_model.faults().outage == outage_kind::Refused;
    }
    if (refused && m_objects) {
        m_objects->close();
        m_objects.reset();
    }
    if (!refused && !m_objects) {
        m_objects = makeObjectPort();
        return m_objects->open(m_options.listen);
    }
    return std::monostate{};
}

void platform_service::close()
{
    {
        const std::lock_guard guard(m_mutex);
        m_closing = true;
    }
    m_changed.notify_all();
    if (m_objects) {
        m_objects->close();
    }
    m_control.close();
}

void platform_service::serve(const httplib::Request &from, httplib::Response &to)
{
    const platform_response response = respond(toModel(from));
    if (response.latency > duration::zero()) {
        std::this_thread::sleep_for(response.latency);
    }
    if (response.lost) {
        shutDownConnection(from);
        return;
    }
    to.status = response.code;
    if (response.era != 0) {
        to.set_header("Store-Era", std::to_string(response.era));
    }
    if (!response.etag.empty()) {
        to.set_header("ETag", response.etag);
    }
    to.set_content(response.body, response.contentType);
}

platform_response platform_service::respond(const platform_request &request)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t revision = m_model.store().revision();
    auto outcome = m_model.handle(request, now());
    if (m_model.store().revision() != revision) {
        saveState();
        m_changed.notify_all();
        Json::Value event;
        event["path"] = request.path;
        event["revision"] = Json::UInt64(m_model.store().revision());
        printEvent("written", event);
    }
    platform_response response;
    if (const auto *watch = std::get_if<watch_id>(&outcome)) {
        response = waitForWatch(*watch, lock);
    } else {
        response = std::get<platform_response>(outcome);
    }
    while (response.held && !m_closing && m_model.faults().outage == outage_kind::Timeout) {
        m_changed.wait_for(lock, PollInterval);
    }
    return response;
}

platform_response platform_service::waitForWatch(watch_id id, std::unique_lock<std::mutex> &lock)
{
    while (!m_closing) {
        const std::optional<platform_response> response = m_model.pollWatch(id, now());
        if (response) {
            return *response;
        }
        m_changed.wait_for(lock, PollInterval);
    }
    platform_response response;
    response.lost = true;
    return response;
}

void platform_service::onControl(const httplib::Request &from, httplib::Response &to)
{
    Json::Value body;
    if (!readJsonBody(from, to, body)) {
        return;
    }
    Json::Value counters;
    status applied;
    {
        const std::lock_guard guard(m_mutex);
        applied = applyPlatformControl(m_model, body, now());
        saveState();
        counters = platformCounters(m_model);
        Json::Value event;
        event["body"] = body;
        event["accepted"] = isOk(applied);
        printEvent("control", event);
    }
    m_changed.notify_all();
    answerControl(to, applied, counters);
}

Json::Value platform_service::summary()
{
    const std::lock_guard guard(m_mutex);
    return platformCounters(m_model);
}

status platform_service::loadState()
{
    std::ifstream file(m_options.stateFile);
    if (m_options.stateFile.empty() || !file) {
        return std::monostate{};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return m_model.store().load(content.str());
}

void platform_service::saveState()
{
    if (m_options.stateFile.empty()) {
        return;
    }
    // The rename keeps the previous state whole if the process is killed while it writes.
    const std::string temporary = m_options.stateFile + ".new";
    std::ofstream(temporary) << m_model.store().save();
    std::rename(temporary.c_str(), m_options.stateFile.c_str());
}

} // namespace ebonyway::standins
