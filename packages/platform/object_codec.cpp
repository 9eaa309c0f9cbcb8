#include "platform/object_codec.h"

#include "platform/json_slices.h"

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <limits>
#include <memory>
#include <string_view>

namespace ebonyway::platform {

namespace {

// Only the object with this name is read as the desired state; others of its kind are rejected.
constexpr const char *DesiredStateName = "main";

// Maximum length of a fault description or a response body in an error message.
constexpr std::size_t MaxFaultBytes = 120;

// Upper bound of decoded floating-point numbers; keeps durations and rates within the range of
// their types.
constexpr double MaxReal = 1e6;

const char *kindPath(store_kind kind)
{
    switch (kind) {
    case store_kind::DesiredState:
        return "config";
    case store_kind::BackendServers:
        return "servers";
    case store_kind::Evacuations:
        return "evacuations";
    }
    return "";
}

std::int64_t toMillis(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/** Percent-encodes a query value. */
std::string escapeQuery(const std::string &text)
{
    static const char *digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            escaped += character;
            continue;
        }
        escaped += '%';
        escaped += digits[byte >> 4];
        escaped += digits[byte & 15];
    }
    return escaped;
}

/** Reads members of a JSON object and keeps the first error. */
class member_reader
{
public:
    explicit member_reader(const Json::Value &object)
        : m_object(object)
    {
        if (!object.isObject()) {
            m_fault = "not a JSON object";
        }
    }

    std::string text(const char *name)
    {
        const Json::Value &member = find(name);
        if (!member.isString()) {
            fail(name, "text");
            return {};
        }
        return member.asString();
    }

    std::uint64_t number(const char *name)
    {
        const Json::Value &member = find(name);
        if (!member.isUInt64()) {
            fail(name, "a non-negative integer");
            return 0;
        }
        return member.asUInt64();
    }

    std::uint64_t numberOr(const char *name, std::uint64_t fallback)
    {
        return find(name).isNull() ? fallback : number(name);
    }

    double realOr(const char *name, double fallback)
    {
        const Json::Value &member = find(name);
        if (member.isNull()) {
            return fallback;
        }
        if (!member.isNumeric()) {
            fail(name, "a number");
            return fallback;
        }
        return std::clamp(member.asDouble(), 0.0, MaxReal);
    }

    std::chrono::milliseconds millis(const char *name) { return boundedMillis(number(name)); }

    std::chrono::milliseconds millisOr(const char *name, std::uint64_t fallback)
    {
        return boundedMillis(numberOr(name, fallback));
    }

    const Json::Value &find(const char *name) const
    {
        static const Json::Value None;
        return m_object.isObject() && m_object.isMember(name) ? m_object[name] : None;
    }

    void fail(const char *name, const char *expected)
    {
        if (m_fault.empty()) {
            m_fault = std::string(name) + " is not " + expected;
        }
    }

    const std::string &fault() const { return m_fault; }

private:
    static std::chrono::milliseconds boundedMillis(std::uint64_t count)
    {
        constexpr std::uint64_t MaxMillis = 1'000ULL * 86'400 * 365 * 200;
        return std::chrono::milliseconds(std::min(count, MaxMillis));
    }

    const Json::Value &m_object;
    std::string m_fault;
};

using decoded_value = result<store_value>;

error unreadable(const std::string &fault)
{
    return error{error_kind::InvalidInput, fault.substr(0, MaxFaultBytes),
                 "Correct the object in the store."};
}

decoded_value decodeServer(const std::string &id, const Json::Value &spec)
{
    member_reader members(spec);
    registered_server entry;
    const auto key = decodeServerKey(id);
    if (!key) {
        return unreadable("the id does not end in 1 to 16 hexadecimal digits");
    }
    entry.key = *key;
    entry.service = members.text("service");
    const auto address = endpoint::parse(members.text("addr"));
    entry.failureDomain = members.text("zone");
    entry.slots = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(members.number("slots"), std::numeric_limits<int>::max()));
    const std::string state = members.text("state");
    entry.draining = state == "draining";
    members.text("version");
    entry.coldRemaining = members.millis("coldLeftMs");
    entry.reportCount = members.number("seq");
    entry.startedAt = members.millis("born");
    if (!members.fault().empty()) {
        return unreadable(members.fault());
    }
    if (!isOk(address) || !valueOf(address).address.isV4()) {
        return unreadable("addr is not an IPv4 address with a port");
    }
    if (state != "ready" && state != "draining") {
        return unreadable("state " + state + " is unknown");
    }
    entry.address = valueOf(address);
    return store_value(entry);
}

decoded_value decodeDesiredState(const Json::Value &spec)
{
    member_reader members(spec);
    desired_state state;
    state.version = members.number("version");
    for (const Json::Value &object : members.find("routes")) {
        auto item = decodeRoute(object);
        if (!isOk(item)) {
            return errorOf(item);
        }
        state.routes.push_back(std::move(valueOf(item)));
    }
    for (const Json::Value &object : members.find("services")) {
        auto limits = decodeServiceLimits(object);
        if (!isOk(limits)) {
            return errorOf(limits);
        }
        state.services.push_back(std::move(valueOf(limits)));
    }
    state.idleTimeout = decodeIdleTimeout(members.find("limits"));
    if (!members.fault().empty()) {
        return unreadable(members.fault());
    }
    return store_value(std::move(state));
}

decoded_value decodeValue(store_kind kind, const std::string &name, const Json::Value &spec)
{
    switch (kind) {
    case store_kind::DesiredState:
        if (name != DesiredStateName) {
            return unreadable("only the object " + std::string(DesiredStateName)
                              + " defines the desired state");
        }
        return decodeDesiredState(spec);
    case store_kind::BackendServers:
        return decodeServer(name, spec);
    case store_kind::Evacuations:
        return store_value(evacuation{name});
    }
    return unreadable("unknown object kind");
}

/** Decodes the name and revision of an object. */
std::optional<store_object> decodeMeta(const Json::Value &meta, bool deleted)
{
    member_reader members(meta);
    store_object object;
    object.name = members.text("name");
    object.revision = members.number("rev");
    object.deleted = deleted;
    return members.fault().empty() ? std::optional(object) : std::nullopt;
}

std::optional<store_object> decodeObject(store_kind kind, const Json::Value &json, bool deleted)
{
    std::optional<store_object> object = decodeMeta(member_reader(json).find("meta"), deleted);
    if (!object || deleted) {
        return object;
    }
    decoded_value value = decodeValue(kind, object->name, member_reader(json).find("spec"));
    if (isOk(value)) {
        object->value = std::move(valueOf(value));
    } else {
        object->fault = errorOf(value).message;
    }
    return object;
}

store_failure failureFromStatus(int httpStatus, const std::string &body)
{
    const std::string detail =
            "HTTP status " + std::to_string(httpStatus) + " " + body.substr(0, MaxFaultBytes);
    switch (httpStatus) {
    case 410:
        return {store_failure::cause::HistoryGone, detail};
    case 429:
    case 503:
        return {store_failure::cause::TurnedAway, detail};
    default:
        return {store_failure::cause::Unreadable, detail};
    }
}

/** Parses JSON texts. A text beyond the limits of the JSON library is a fault like any other. */
class json_parser
{
public:
    json_parser()
        : m_reader(Json::CharReaderBuilder().newCharReader())
    { }

    /** Returns the value, or nothing if it cannot be read; see fault(). */
    std::optional<Json::Value> parse(std::string_view text)
    {
        Json::Value value;
        m_fault.clear();
        try {
            if (m_reader->parse(text.data(), text.data() + text.size(), &value, &m_fault)) {
                return value;
            }
        } catch (const Json::Exception &deep) {
            // jsoncpp throws if the nesting exceeds its stack limit.
            m_fault = deep.what();
        }
        return std::nullopt;
    }

    std::string fault() const { return m_fault.substr(0, MaxFaultBytes); }

private:
    std::unique_ptr<Json::CharReader> m_reader;
    std::string m_fault;
};

void addObject(std::optional<store_object> object, const std::string &fault, store_page &page)
{
    if (object) {
        page.lastName = object->name;
        page.objects.push_back(std::move(*object));
        return;
    }
    if (page.unnamedObjects++ == 0) {
        page.unnamedFault = fault;
    }
}

void decodeItem(const store_call &call, const Json::Value &item, store_page &page)
{
    const Json::Value &object = call.isWatch ? member_reader(item).find("object") : item;
    const Json::Value &deleted = member_reader(item).find("deleted");
    const bool isGone = call.isWatch && deleted.isBool() && deleted.asBool();
    addObject(decodeObject(call.kind, object, isGone), "it has no name and revision", page);
}

/** Decodes an item that the JSON library cannot read; only its name and revision are needed. */
void decodeUnreadableItem(const store_call &call, std::string_view item, const std::string &fault,
                          json_parser &parser, store_page &page)
{
    const auto object = call.isWatch ? sliceJsonMember(item, "object") : std::optional(item);
    const bool isGone = call.isWatch && sliceJsonMember(item, "deleted") == "true";
    const auto metaText = object ? sliceJsonMember(*object, "meta") : std::nullopt;
    const auto meta = metaText ? parser.parse(*metaText) : std::nullopt;
    auto decoded = meta ? decodeMeta(*meta, isGone) : std::nullopt;
    if (decoded) {
        decoded->fault = fault;
    }
    addObject(std::move(decoded), fault, page);
}

/** Decodes an answer in which a part cannot be read; the other parts are decoded as usual. */
store_answer decodeByParts(const store_call &call, std::string_view body, json_parser &parser)
{
    const store_failure unreadable{store_failure::cause::Unreadable, parser.fault()};
    const auto revisionText = sliceJsonMember(body, "currentRev");
    const auto itemsText = sliceJsonMember(body, call.isWatch ? "events" : "items");
    const auto items = itemsText ? sliceJsonArray(*itemsText) : std::nullopt;
    const auto revision = revisionText ? parser.parse(*revisionText) : std::nullopt;
    if (!items || !revision || !revision->isUInt64()) {
        return unreadable;
    }
    store_page page;
    page.revision = revision->asUInt64();
    page.hasMore = !call.isWatch && sliceJsonMember(body, "more") == "true";
    for (const std::string_view text : *items) {
        const auto item = parser.parse(text);
        if (item) {
            decodeItem(call, *item, page);
            continue;
        }
        decodeUnreadableItem(call, text, parser.fault(), parser, page);
    }
    return page;
}

} // namespace

std::optional<std::uint16_t> decodeRoutePort(const std::string &text)
{
    if (text.size() < 3 || text.front() != '/' || text.back() != '/') {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *first = text.data() + 1;
    const char *last = text.data() + text.size() - 1;
    const auto parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last) {
        return std::nullopt;
    }
    return port;
}

result<route> decodeRoute(const Json::Value &object)
{
    member_reader members(object);
    route item;
    item.name = members.text("name");
    // "host" holds the route's public address.
    const auto address = ip_address::parse(members.text("host"));
    const auto port = decodeRoutePort(members.text("pathPrefix"));
    item.idempotent = members.text("kind") == "idempotent";
    item.priority = static_cast<std::uint32_t>(members.numberOr("priority", 0));
    item.goal = members.millisOr("goalMs", 0);
    item.timeout = members.millisOr("timeoutMs", 0);
    const Json::Value &shares = members.find("backends");
    if (shares.isArray()) {
        for (const Json::Value &share : shares) {
            member_reader shareMembers(share);
            const std::string service = shareMembers.text("service");
            const auto weight = static_cast<std::uint32_t>(shareMembers.numberOr("weight", 1));
            if (!shareMembers.fault().empty()) {
                return unreadable("route " + item.name + ": " + shareMembers.fault());
            }
            if (weight > 0) {
                item.shares.push_back({service, weight});
            }
        }
    } else {
        item.shares.push_back({members.text("service"), 1});
    }
    if (!members.fault().empty() || !isOk(address) || !port) {
        return unreadable("route " + item.name + ": " + members.fault());
    }
    item.address = endpoint{valueOf(address), *port};
    return item;
}

result<service_limits> decodeServiceLimits(const Json::Value &object)
{
    member_reader service(object);
    service_limits limits;
    limits.name = service.text("name");
    limits.maxConnections = static_cast<std::uint32_t>(service.numberOr("maxConns", 0));
    const std::chrono::duration<double> cold(service.realOr("coldS", 0));
    limits.coldDuration = std::chrono::duration_cast<std::chrono::milliseconds>(cold);
    limits.coldRequestsPerSecond = service.realOr("coldPerS", 0);
    if (!service.fault().empty()) {
        return unreadable("service " + limits.name + ": " + service.fault());
    }
    return limits;
}

std::chrono::milliseconds decodeIdleTimeout(const Json::Value &limits)
{
    return member_reader(limits).millisOr("idleTimeoutMs", 0);
}

std::optional<server_key> decodeServerKey(const std::string &id)
{
    // The key follows a prefix such as "i-" in hexadecimal.
    const std::size_t dash = id.rfind('-');
    const std::string digits = dash == std::string::npos ? id : id.substr(dash + 1);
    server_key key;
    const char *last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, key.value, 16);
    if (digits.empty() || digits.size() > 16 || parsed.ec != std::errc() || parsed.ptr != last) {
        return std::nullopt;
    }
    return key;
}

std::uint64_t decodeEra(const std::map<std::string, std::string> &headers)
{
    const auto found = headers.find("store-era");
    if (found == headers.end()) {
        return 0;
    }
    const std::string &text = found->second;
    std::uint64_t era = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? era : 0;
}

std::string encodeCall(const store_call &call)
{
    std::string target = std::string("/v1/objects/") + kindPath(call.kind);
    if (call.isWatch) {
        return target + "?watch=" + std::to_string(call.revision)
               + "&waitMs=" + std::to_string(toMillis(call.wait));
    }
    if (!call.afterName.empty()) {
        target += "?after=" + escapeQuery(call.afterName);
    }
    return target;
}

store_answer decodeAnswer(const store_call &call, int httpStatus, const std::string &body)
{
    if (httpStatus != 200) {
        return failureFromStatus(httpStatus, body);
    }
    json_parser parser;
    const auto root = parser.parse(body);
    if (!root) {
        return decodeByParts(call, body, parser);
    }
    member_reader members(*root);
    store_page page;
    page.revision = members.number("currentRev");
    const Json::Value &more = members.find("more");
    page.hasMore = !call.isWatch && more.isBool() && more.asBool();
    if (!members.fault().empty()) {
        return store_failure{store_failure::cause::Unreadable, members.fault()};
    }
    for (const Json::Value &item : members.find(call.isWatch ? "events" : "items")) {
        decodeItem(call, item, page);
    }
    return page;
}

} // namespace ebonyway::platform
