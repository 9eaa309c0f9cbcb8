#include "process/edge/http_platform_store.h"

#include "core/json_text.h"

#include <httplib.h>

#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace ebonyway {

namespace {

/** A watch answers at its timeout at the latest; this is the time for the answer to travel. */
constexpr std::chrono::milliseconds WatchMargin{1000};

/** An answer of the server, whatever its status. */
struct http_answer
{
    int status = 0;
    std::string etag;
    std::uint64_t era = 0; ///< Zero if the platform does not tell it.
    std::string body;
};

/** A successful answer that is a JSON object. */
struct json_answer
{
    Json::Value root;
    std::uint64_t era = 0; ///< Zero if the platform does not tell it.
};

/** Header in which the platform tells how often its store has come back from an older copy. */
const std::string EraHeader = "Store-Era";

/** Separates the era from the ETag in the version of an object. */
constexpr char EraSeparator = '/';

std::uint64_t eraIn(const httplib::Response &response)
{
    const std::string text = response.get_header_value(EraHeader);
    std::uint64_t era = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? era : 0;
}

/** An HTTP client for one call, listed in the registry while it lives. */
class registered_client
{
public:
    registered_client(http_call_registry &calls, const endpoint &server,
                      std::chrono::milliseconds limit)
        : m_calls(calls)
        , m_client(server.address.toString(), server.port)
    {
        m_client.set_connection_timeout(limit);
        m_client.set_read_timeout(limit);
        m_client.set_write_timeout(limit);
        m_calls.add(m_client);
    }
    ~registered_client() { m_calls.remove(m_client); }
    registered_client(const registered_client &) = delete;
    registered_client &operator=(const registered_client &) = delete;

    httplib::Client *operator->() { return &m_client; }

private:
    http_call_registry &m_calls;
    httplib::Client m_client;
};

error unavailable(const endpoint &server, const std::string &reason)
{
    return {error_kind::Unavailable, server.toString() + " did not answer: " + reason,
            "Check the address and try again later."};
}

error notUnderstood(const endpoint &server, const std::string &what)
{
    return {error_kind::Internal,
            "the answer of " + server.toString() + " is not understood: " + what,
            "Check that the address is the platform's object API."};
}

result<http_answer> sendGet(http_call_registry &calls, const endpoint &server,
                            const std::string &path, const httplib::Params &query,
                            std::chrono::milliseconds limit)
{
    http_answer answer;
    registered_client client(calls, server, limit);
    const httplib::Result sent = client->Get(
            path, query, httplib::Headers{},
            [&answer](const httplib::Response &response) {
                answer.status = response.status;
                answer.etag = response.get_header_value("ETag");
                answer.era = eraIn(response);
                return true;
            },
            [&answer](const char *data, std::size_t length) {
                answer.body.append(data, length);
                return answer.body.size() <= MaxHttpAnswerBytes;
            });
    if (!sent) {
        return unavailable(server, httplib::to_string(sent.error()));
    }
    return answer;
}

/** Turns an answer that is not a success into the error that the interface promises. */
error errorFor(const endpoint &server, int httpStatus, const std::string &what)
{
    const std::string answered = what + " was answered with status " + std::to_string(httpStatus);
    switch (httpStatus) {
    case 404:
        return {error_kind::NotFound, what + " does not exist", "Check the name."};
    case 412:
        return {error_kind::Conflict, what + " has been written by someone else",
                "Read it again before writing."};
    case 413:
        return {error_kind::LimitExceeded, what + " is larger than the platform stores",
                "Make it smaller."};
    case 503:
        return unavailable(server, "it is out of service");
    default:
        return {error_kind::Internal, answered,
                "Check that the address is the platform's object API."};
    }
}

/** Returns an ETag without its quotes and with its era; nothing if it is not a strong ETag. */
std::optional<std::string> versionIn(const std::string &etag, std::uint64_t era)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') {
        return std::nullopt;
    }
    const std::string text = etag.substr(1, etag.size() - 2);
    return era == 0 ? text : std::to_string(era) + EraSeparator + text;
}

/** Returns the condition of an update, which names the ETag alone. */
std::string conditionFor(const std::string &version)
{
    // substr() starts at the beginning if there is no separator, since npos + 1 is zero.
    return "\"" + version.substr(version.find(EraSeparator) + 1) + "\"";
}

result<json_answer> sendJsonGet(http_call_registry &calls, const endpoint &server,
                                const std::string &path, const httplib::Params &query,
                                std::chrono::milliseconds limit)
{
    const result<http_answer> answer = sendGet(calls, server, path, query, limit);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    if (valueOf(answer).status != 200) {
        return errorFor(server, valueOf(answer).status, path);
    }
    result<Json::Value> parsed = parseJsonObject(valueOf(answer).body);
    if (!isOk(parsed)) {
        return notUnderstood(server, errorOf(parsed).message);
    }
    return json_answer{std::move(valueOf(parsed)), valueOf(answer).era};
}

result<object_list> readObjectList(const endpoint &server, const result<json_answer> &answer)
{
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    const Json::Value &root = valueOf(answer).root;
    if (!root["objects"].isArray() || !root["revision"].isUInt64()) {
        return notUnderstood(server, "objects or revision is missing");
    }
    object_list listed{{}, root["revision"].asUInt64()};
    for (const Json::Value &item : root["objects"]) {
        if (!item.isObject() || !item["key"].isString()
            || !item["version"].isConvertibleTo(Json::stringValue)) {
            return notUnderstood(server, "an object has no key or version");
        }
        listed.objects.push_back({item["key"].asString(), item["version"].asString()});
    }
    return listed;
}

} // namespace

void http_call_registry::add(httplib::Client &client)
{
    const std::lock_guard lock(m_mutex);
    m_clients.insert(&client);
    if (m_isCancelled) {
        client.stop();
    }
}

void http_call_registry::remove(httplib::Client &client)
{
    const std::lock_guard lock(m_mutex);
    m_clients.erase(&client);
}

void http_call_registry::cancelAll()
{
    const std::lock_guard lock(m_mutex);
    m_isCancelled = true;
    for (httplib::Client *client : m_clients) {
        client->stop();
    }
}

http_platform_store::http_platform_store(const endpoint &platform)
    : m_platform(platform)
{ }

result<stored_object> http_platform_store::get(const std::string &key, timeout limit)
{
    const result<http_answer> answer = sendGet(m_calls, m_platform, "/objects/" + key, {}, limit);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    noteEra(valueOf(answer).era);
    if (valueOf(answer).status != 200) {
        return errorFor(m_platform, valueOf(answer).status, key);
    }
    const auto version = versionIn(valueOf(answer).etag, valueOf(answer).era);
    if (!version) {
        return notUnderstood(m_platform, "the ETag is missing");
    }
    return stored_object{valueOf(answer).body, *version};
}

result<std::string> http_platform_store::createIfAbsent(const std::string &key,
                                                        const std::string &value, timeout limit)
{
    return put(key, value, "If-None-Match", "*", limit);
}

result<std::string> http_platform_store::update(const std::string &key, const std::string &value,
                                                const std::string &version, timeout limit)
{
    const error overtaken{
            error_kind::Conflict,
            key + " was read before the platform's store came back from an older copy",
            "Read it again before writing."};
    if (isOfEarlierEra(version)) {
        return overtaken;
    }
    result<std::string> written = put(key, value, "If-Match", conditionFor(version), limit);
    if (isOk(written) && isOfEarlierEra(version)) {
        // The answer is the first of a new era, in which the condition named another state.
        return error{error_kind::OutcomeUnknown, overtaken.message, overtaken.remedy};
    }
    return written;
}

result<object_list> http_platform_store::list(const std::string &prefix, const std::string &after,
                                              timeout limit)
{
    const httplib::Params query{{"prefix", prefix}, {"after", after}};
    const auto answer = sendJsonGet(m_calls, m_platform, "/objects", query, limit);
    noteEra(isOk(answer) ? valueOf(answer).era : 0);
    return readObjectList(m_platform, answer);
}

result<object_list> http_platform_store::watch(const std::string &prefix, std::uint64_t revision,
                                               timeout limit)
{
    const httplib::Params query{{"prefix", prefix},
                                {"revision", std::to_string(revision)},
                                {"timeout_ms", std::to_string(limit.count())}};
    const auto answer = sendJsonGet(m_calls, m_platform, "/watch", query, limit + WatchMargin);
    noteEra(isOk(answer) ? valueOf(answer).era : 0);
    return readObjectList(m_platform, answer);
}

result<std::vector<platform_instance>> http_platform_store::instances(timeout limit)
{
    const result<json_answer> answer = sendJsonGet(m_calls, m_platform, "/instances", {}, limit);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    noteEra(valueOf(answer).era);
    const Json::Value &instances = valueOf(answer).root["instances"];
    if (!instances.isArray()) {
        return notUnderstood(m_platform, "instances is missing");
    }
    std::vector<platform_instance> listed;
    for (const Json::Value &item : instances) {
        if (!item.isObject() || !item["id"].isUInt() || !item["state"].isString()
            || !item["failure_domain"].isString() || !item["gossip"].isString()) {
            return notUnderstood(m_platform, "an instance lacks a field");
        }
        listed.push_back({item["id"].asUInt(), item["state"].asString() == "leaving",
                          item["failure_domain"].asString(), item["gossip"].asString()});
    }
    return listed;
}

void http_platform_store::noteEra(std::uint64_t era)
{
    std::uint64_t known = m_era;
    while (era > known && !m_era.compare_exchange_weak(known, era)) {
        // `known` holds the era that another call has noted meanwhile.
    }
}

bool http_platform_store::isOfEarlierEra(const std::string &version) const
{
    std::uint64_t era = 0;
    if (version.find(EraSeparator) != std::string::npos) {
        std::from_chars(version.data(), version.data() + version.size(), era);
    }
    return era < m_era;
}

result<std::string> http_platform_store::put(const std::string &key, const std::string &value,
                                             const std::string &conditionName,
                                             const std::string &condition, timeout limit)
{
    registered_client client(m_calls, m_platform, limit);
    const httplib::Result sent = client->Put("/objects/" + key, {{conditionName, condition}}, value,
                                             "application/octet-stream");
    const error unknown{error_kind::OutcomeUnknown,
                        "the write of " + key + " was not confirmed by " + m_platform.toString(),
                        "Read it back before writing again."};
    if (!sent) {
        const bool notSent = sent.error() == httplib::Error::Connection
                             || sent.error() == httplib::Error::ConnectionTimeout;
        return notSent ? unavailable(m_platform, httplib::to_string(sent.error())) : unknown;
    }
    noteEra(eraIn(sent.value()));
    if (sent->status == 200 || sent->status == 201) {
        return versionIn(sent->get_header_value("ETag"), eraIn(sent.value())).value_or("");
    }
    if (sent->status >= 500 && sent->status != 503) {
        return unknown;
    }
    return errorFor(m_platform, sent->status, key);
}

result<std::string> readHttpPage(const endpoint &server, const std::string &path,
                                 std::chrono::milliseconds limit)
{
    http_call_registry calls;
    const result<http_answer> answer = sendGet(calls, server, path, {}, limit);
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    if (valueOf(answer).status != 200) {
        return errorFor(server, valueOf(answer).status, server.toString() + path);
    }
    return valueOf(answer).body;
}

} // namespace ebonyway
