#include "standins/platform_model.h"

#include "core/ip_address.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace ebonyway::standins {

namespace {

const std::string ObjectPath = "/objects/";
/** A watch that names no timeout waits this long. */
constexpr std::uint64_t DefaultWatchTimeout = 30'000;
/** Longest timeout of a watch in milliseconds. */
constexpr std::uint64_t LongestWatchTimeout = 300'000;

platform_response plainResponse(int code, const std::string &text)
{
    platform_response response;
    response.code = code;
    response.contentType = "text/plain";
    response.body = text + "\n";
    return response;
}

platform_response jsonResponse(const Json::Value &body)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    platform_response response;
    response.body = Json::writeString(writer, body);
    return response;
}

std::string quoted(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

std::optional<std::uint64_t> parseEtag(const std::string &etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') {
        return std::nullopt;
    }
    return parseNumber(etag.substr(1, etag.size() - 2));
}

std::string queryValue(const platform_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

Json::Value toJson(const std::vector<object_version> &objects)
{
    Json::Value list(Json::arrayValue);
    for (const object_version &object : objects) {
        Json::Value entry;
        entry["key"] = object.key;
        entry["version"] = Json::UInt64(object.version);
        list.append(entry);
    }
    return list;
}

/** Returns the condition of a write, or nothing if a header has an unknown form. */
std::optional<write_condition> conditionOf(const platform_request &request)
{
    write_condition condition;
    if (!request.ifNoneMatch.empty()) {
        condition.mustBeAbsent = request.ifNoneMatch == "*";
        return condition.mustBeAbsent ? std::optional(condition) : std::nullopt;
    }
    condition.mustBeVersion = parseEtag(request.ifMatch);
    return condition.mustBeVersion ? std::optional(condition) : std::nullopt;
}

} // namespace

result<listed_instance> listed_instance::parse(const std::string &text)
{
    const std::size_t equals = text.find('=');
    const std::size_t at = text.rfind('@');
    const bool complete = equals != std::string::npos && at != std::string::npos && equals < at;
    const auto id = complete ? parseNumber(text.substr(0, equals)) : std::nullopt;
    if (!id) {
        return error{error_kind::InvalidInput, "'" + text + "' is not an instance",
                     "Write id=ADDRESS:PORT@failure-domain with the gossip address."};
    }
    const result<endpoint> gossip = endpoint::parse(text.substr(equals + 1, at - equals - 1));
    if (!isOk(gossip)) {
        return errorOf(gossip);
    }
    listed_instance instance;
    instance.id = static_cast<std::uint32_t>(*id);
    instance.failureDomain = text.substr(at + 1);
    instance.gossip = valueOf(gossip).toString();
    return instance;
}

platform_model::platform_model(std::uint64_t seed)
    : m_random(seed)
    , m_listings{{time_point::min(), {}}}
{ }

std::uint64_t &platform_model::counterFor(const platform_request &request)
{
    if (request.path.starts_with(ObjectPath)) {
        return request.method == "PUT" ? m_calls.put : m_calls.get;
    }
    if (request.path == "/objects") {
        return m_calls.list;
    }
    if (request.path == "/watch") {
        return m_calls.watch;
    }
    return request.path == "/instances" ? m_calls.instances : m_calls.other;
}

std::variant<platform_response, watch_id> platform_model::handle(const platform_request &request,
                                                                 time_point now)
{
    ++counterFor(request);
    if (m_faults.outage != outage_kind::None) {
        ++m_calls.failed;
        return outageResponse();
    }
    auto outcome = dispatch(request, now);
    if (auto *response = std::get_if<platform_response>(&outcome)) {
        response->latency = m_faults.latency;
        response->era = m_store.era();
    }
    return outcome;
}

std::variant<platform_response, watch_id> platform_model::dispatch(const platform_request &request,
                                                                   time_point now)
{
    if (request.path.starts_with(ObjectPath) && request.path.size() > ObjectPath.size()) {
        const std::string key = request.path.substr(ObjectPath.size());
        return request.method == "PUT" ? handlePut(request, key) : handleGet(key);
    }
    if (request.method != "GET") {
        return plainResponse(405, "only GET is possible here");
    }
    if (request.path == "/objects") {
        return handleList(request);
    }
    if (request.path == "/watch") {
        return handleWatch(request, now);
    }
    if (request.path == "/instances") {
        return handleInstances(now);
    }
    return plainResponse(404, "there is no such path");
}

std::uint64_t platform_model::readRevision()
{
    const std::uint64_t latest = m_store.revision();
    const bool stale = m_random.unit() < m_faults.staleReadRatio;
    return stale ? latest - std::min(latest, m_faults.staleRevisions) : latest;
}

platform_response platform_model::handleGet(const std::string &key)
{
    const std::optional<stored_object> object = m_store.get(key, readRevision());
    if (!object) {
        return plainResponse(404, "there is no object " + key);
    }
    platform_response response;
    response.contentType = "application/octet-stream";
    response.etag = quoted(object->version);
    response.body = object->value;
    return response;
}

platform_response platform_model::handlePut(const platform_request &request, const std::string &key)
{
    const std::optional<write_condition> condition = conditionOf(request);
    if (!condition) {
        return plainResponse(428, "a write needs If-None-Match: * or If-Match: \"<version>\"");
    }
    const write_outcome outcome = m_store.put(key, request.body, *condition);
    if (outcome == write_outcome::PreconditionFailed) {
        return plainResponse(412, "the condition does not hold");
    }
    if (outcome == write_outcome::TooLarge) {
        return plainResponse(413, "a value has at most 1 MB");
    }
    platform_response response;
    response.code = outcome == write_outcome::Created ? 201 : 200;
    response.etag = quoted(m_store.revision());
    response.lost = m_faults.loseResponses > 0;
    m_faults.loseResponses -= response.lost ? 1 : 0;
    return response;
}

platform_response platform_model::handleList(const platform_request &request)
{
    const std::uint64_t revision = readRevision();
    Json::Value body;
    body["objects"] = toJson(
            m_store.list(queryValue(request, "prefix"), queryValue(request, "after"), revision));
    body["revision"] = Json::UInt64(revision);
    return jsonResponse(body);
}

std::variant<platform_response, watch_id>
platform_model::handleWatch(const platform_request &request, time_point now)
{
    const auto revision = parseNumber(queryValue(request, "revision"));
    if (!revision) {
        return plainResponse(400, "a watch needs the revision after which it waits");
    }
    if (*revision > m_store.revision()) {
        return plainResponse(410, "there is no such revision");
    }
    const std::string timeoutText = queryValue(request, "timeout_ms");
    const std::uint64_t timeout = parseNumber(timeoutText).value_or(DefaultWatchTimeout);
    waiting_watch watch;
    watch.prefix = queryValue(request, "prefix");
    watch.revision = *revision;
    watch.era = m_store.era();
    watch.timeoutAt = now + std::chrono::milliseconds(std::min(timeout, LongestWatchTimeout));
    const watch_id id = m_nextWatch++;
    m_watches.emplace(id, std::move(watch));
    std::optional<platform_response> immediate = pollWatch(id, now);
    if (immediate) {
        return *immediate;
    }
    return id;
}

std::optional<platform_response> platform_model::pollWatch(watch_id id, time_point now)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end()) {
        return plainResponse(410, "the watch has ended");
    }
    std::optional<platform_response> response;
    const auto changes = m_store.changesAfter(found->second.prefix, found->second.revision);
    if (m_faults.outage != outage_kind::None) {
        response = outageResponse();
    } else if (found->second.era != m_store.era()) {
        response = plainResponse(410, "the store came back from an older copy");
        response->era = m_store.era();
    } else if (!changes.empty() || now >= found->second.timeoutAt) {
        response = changesResponse(changes);
        response->latency = m_faults.latency;
        response->era = m_store.era();
    }
    if (response) {
        m_watches.erase(found);
    }
    return response;
}

platform_response platform_model::outageResponse() const
{
    platform_response response = plainResponse(503, "outage");
    response.held = m_faults.outage == outage_kind::Timeout;
    response.lost = m_faults.outage != outage_kind::Unavailable;
    return response;
}

platform_response platform_model::changesResponse(const std::vector<object_version> &changes) const
{
    Json::Value body;
    body["revision"] = Json::UInt64(m_store.revision());
    body["objects"] = toJson(changes);
    return jsonResponse(body);
}

void platform_model::setInstances(std::vector<listed_instance> instances, time_point now)
{
    m_listings.push_back({now, std::move(instances)});
}

platform_response platform_model::handleInstances(time_point now)
{
    while (m_listings.size() > 1 && m_listings[1].at + m_faults.instancesLag <= now) {
        m_listings.pop_front();
    }
    Json::Value list(Json::arrayValue);
    for (const listed_instance &instance : m_listings.front().instances) {
        Json::Value entry;
        entry["id"] = instance.id;
        entry["state"] = instance.state;
        entry["failure_domain"] = instance.failureDomain;
        entry["gossip"] = instance.gossip;
        list.append(entry);
    }
    Json::Value body;
    body["instances"] = list;
    return jsonResponse(body);
}

} // namespace ebonyway::standins
