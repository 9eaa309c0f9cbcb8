#include "system/object_store_standin.h"

#include <algorithm>
#include <chrono>

namespace ebonyway::standins {

namespace {

const std::string PathStart = "/v1/objects/";

std::string objectJson(const std::string &name, std::uint64_t revision, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","rev":)" + std::to_string(revision) + R"(},"spec":)"
           + spec + R"(,"status":null})";
}

} // namespace

object_store_standin::object_store_standin(const endpoint &local)
{
    m_server.Get(PathStart + "(.*)",
                 [this](const auto &request, auto &response) { answer(request, response); });
    m_server.bind_to_port(local.address.toString(), local.port);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running()) {
        // Stopping it before it runs would have no effect.
        std::this_thread::yield();
    }
}

object_store_standin::~object_store_standin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
    m_thread.join();
}

void object_store_standin::record(const std::string &kind, const std::string &object, bool deleted)
{
    m_content.history.push_back({m_content.revision, kind,
                                 std::string(R"({"deleted":)") + (deleted ? "true" : "false")
                                         + R"(,"object":)" + object + "}"});
    m_changed.notify_all();
}

void object_store_standin::put(const std::string &kind, const std::string &name,
                               const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    const std::string object = objectJson(name, ++m_content.revision, spec);
    m_content.objects[kind][name] = object;
    record(kind, object, false);
}

void object_store_standin::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_content.objects[kind].erase(name);
    record(kind, objectJson(name, ++m_content.revision, "null"), true);
}

void object_store_standin::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
}

void object_store_standin::keepCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_content;
}

void object_store_standin::restoreCopy()
{
    const std::lock_guard lock(m_mutex);
    m_content = m_copy;
    ++m_era;
    m_changed.notify_all();
}

int object_store_standin::callCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::string object_store_standin::list(const std::string &kind) const
{
    std::string items;
    const auto found = m_content.objects.find(kind);
    if (found != m_content.objects.end()) {
        for (const auto &[name, object] : found->second) {
            items += (items.empty() ? "" : ",") + object;
        }
    }
    return R"({"items":[)" + items + R"(],"more":false,"currentRev":)"
           + std::to_string(m_content.revision) + "}";
}

void object_store_standin::answer(const httplib::Request &request, httplib::Response &response)
{
    const std::string kind = request.path.substr(PathStart.size());
    std::unique_lock lock(m_mutex);
    ++m_calls;
    const std::uint64_t era = m_era;
    std::string events;
    if (request.has_param("watch") && !m_down) {
        const std::uint64_t since = std::stoull(request.get_param_value("watch"));
        if (since > m_content.revision) {
            response.status = 410;
            response.set_header("Store-Era", std::to_string(m_era));
            return;
        }
        const auto wait = std::chrono::milliseconds(std::stoi(request.get_param_value("waitMs")));
        m_changed.wait_for(lock, wait, [&] {
            return m_down || m_stopping || m_era != era
                   || std::any_of(m_content.history.begin(), m_content.history.end(),
                                  [&](const event &item) {
                                      return item.kind == kind && item.revision > since;
                                  });
        });
        for (const event &item : m_content.history) {
            if (item.kind == kind && item.revision > since) {
                events += (events.empty() ? "" : ",") + item.json;
            }
        }
    }
    // A watch that began before the store came back is cut off, as in an outage.
    if (m_down || m_stopping || m_era != era) {
        response.status = 503;
        return;
    }
    response.set_header("Store-Era", std::to_string(m_era));
    const std::string body = request.has_param("watch")
                                     ? R"({"events":[)" + events + R"(],"currentRev":)"
                                               + std::to_string(m_content.revision) + "}"
                                     : list(kind);
    response.set_content(body, "application/json");
}

} // namespace ebonyway::standins
