#include "platform/state_document.h"

#include "core/json_text.h"
#include "platform/object_codec.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

namespace ebonyway::platform {

namespace {

constexpr std::uint64_t Max32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t Max64 = std::numeric_limits<std::uint64_t>::max();
// Larger numbers are read as floating-point numbers by the JSON library.
constexpr auto MaxInteger = static_cast<double>(Max64);

/** Checks the members of one JSON object and adds findings with their places. */
class member_checker
{
public:
    member_checker(const Json::Value &object, std::string place,
                   std::vector<state_finding> &findings)
        : m_object(object)
        , m_place(std::move(place))
        , m_findings(findings)
        , m_earlier(findings.size())
    {
        if (!object.isObject()) {
            add("wrong_type", m_place, "it is " + shortJson(object) + ", not an object",
                "Write an object.");
        }
    }

    bool isValid() const { return m_findings.size() == m_earlier; }

    std::string placeOf(const std::string &name) const
    {
        return m_place.empty() ? name : m_place + "." + name;
    }

    void fail(const char *code, const char *name, const std::string &message,
              const std::string &remedy)
    {
        add(code, placeOf(name), message, remedy);
    }

    const Json::Value &find(const char *name) const
    {
        static const Json::Value None;
        return m_object.isObject() && m_object.isMember(name) ? m_object[name] : None;
    }

    /** Returns a text that must be present, or nothing. */
    std::string text(const char *name)
    {
        if (!require(name)) {
            return {};
        }
        if (!find(name).isString()) {
            wrongType(name, "a text");
            return {};
        }
        return find(name).asString();
    }

    /** Checks an optional whole number. */
    void number(const char *name, std::uint64_t maximum)
    {
        const Json::Value &member = find(name);
        if (member.isNull()) {
            return;
        }
        const bool isNumber = member.isNumeric();
        const bool isBeyond = isNumber && !member.isUInt64() && member.asDouble() >= MaxInteger;
        if (isNumber && member.asDouble() < 0) {
            negative(name);
        } else if (!member.isUInt64() && !isBeyond) {
            wrongType(name, "a whole number");
        } else if (isBeyond || member.asUInt64() > maximum) {
            tooLarge(name, std::to_string(maximum));
        }
    }

    /** Checks an optional number. */
    void real(const char *name)
    {
        const Json::Value &member = find(name);
        if (member.isNull()) {
            return;
        }
        if (!member.isNumeric()) {
            wrongType(name, "a number");
        } else if (member.asDouble() < 0) {
            negative(name);
        }
    }

    /** Returns an array that must be present; empty if it is not. */
    const Json::Value &list(const char *name)
    {
        static const Json::Value Empty(Json::arrayValue);
        if (!require(name)) {
            return Empty;
        }
        if (!find(name).isArray()) {
            wrongType(name, "an array");
            return Empty;
        }
        return find(name);
    }

    bool require(const char *name)
    {
        if (m_object.isObject() && find(name).isNull()) {
            fail("missing", name, std::string(name) + " is missing", "Add it.");
        }
        return !find(name).isNull();
    }

    void wrongType(const char *name, const std::string &expected)
    {
        fail("wrong_type", name, "it is " + shortJson(find(name)) + ", not " + expected,
             "Write " + expected + ".");
    }

    void tooLarge(const char *name, const std::string &maximum)
    {
        fail("number_too_large", name,
             shortJson(find(name)) + " is too large; instances would use another number",
             "Write at most " + maximum + ".");
    }

private:
    void negative(const char *name)
    {
        fail("number_negative", name, shortJson(find(name)) + " is negative",
             "Write 0 or a positive number.");
    }

    void add(const char *code, const std::string &place, const std::string &message,
             const std::string &remedy)
    {
        m_findings.push_back({state_severity::Error, code, place, message, remedy});
    }

    const Json::Value &m_object;
    std::string m_place;
    std::vector<state_finding> &m_findings;
    std::size_t m_earlier;
};

std::string indexed(const char *list, std::size_t index)
{
    return std::string(list) + "[" + std::to_string(index) + "]";
}

/** Adds a finding if the decoder kept another duration than the one written. */
void checkKept(member_checker &members, const char *name, std::chrono::milliseconds kept)
{
    const Json::Value &written = members.find(name);
    if (written.isUInt64() && written.asUInt64() != static_cast<std::uint64_t>(kept.count())) {
        members.tooLarge(name, std::to_string(kept.count()));
    }
}

void readShares(member_checker &members, drafted_route &drafted,
                std::vector<state_finding> &findings)
{
    if (members.find("backends").isNull()) {
        drafted.shares.push_back({members.placeOf("service"), members.text("service"), 1});
        return;
    }
    std::size_t index = 0;
    for (const Json::Value &share : members.list("backends")) {
        const std::string place = members.placeOf(indexed("backends", index++));
        member_checker shareMembers(share, place, findings);
        const std::string service = shareMembers.text("service");
        shareMembers.number("weight", Max32);
        if (!shareMembers.isValid()) {
            continue;
        }
        const Json::Value &weight = shareMembers.find("weight");
        drafted.shares.push_back({place, service, weight.isNull() ? 1 : weight.asUInt()});
    }
}

void readRoute(const Json::Value &object, const std::string &place, state_document &document)
{
    member_checker members(object, place, document.findings);
    drafted_route drafted;
    drafted.place = place;
    members.text("name");
    const std::string host = members.text("host");
    const std::string prefix = members.text("pathPrefix");
    members.text("kind");
    members.number("priority", Max32);
    members.number("goalMs", Max64);
    members.number("timeoutMs", Max64);
    if (members.find("host").isString() && !isOk(ip_address::parse(host))) {
        members.fail("address_unreadable", "host", "'" + host + "' is not an IP address",
                     "Write the public address of the route, for example 198.18.0.1.");
    }
    if (members.find("pathPrefix").isString() && decodeRoutePort(prefix).value_or(0) == 0) {
        members.fail("port_unreadable", "pathPrefix", "'" + prefix + "' holds no port",
                     "Write a port from 1 to 65535 between slashes, for example /8443/.");
    }
    readShares(members, drafted, document.findings);
    if (!members.isValid()) {
        return;
    }
    auto decoded = decodeRoute(object);
    if (!isOk(decoded)) {
        document.findings.push_back({state_severity::Error, "unreadable", place,
                                     errorOf(decoded).message, "Correct the route."});
        return;
    }
    drafted.item = std::move(valueOf(decoded));
    checkKept(members, "goalMs", drafted.item.goal);
    checkKept(members, "timeoutMs", drafted.item.timeout);
    document.draft.routes.push_back(std::move(drafted));
}

void readService(const Json::Value &object, const std::string &place, state_document &document)
{
    member_checker members(object, place, document.findings);
    members.text("name");
    members.number("maxConns", Max32);
    members.real("coldS");
    members.real("coldPerS");
    if (!members.isValid()) {
        return;
    }
    auto decoded = decodeServiceLimits(object);
    if (!isOk(decoded)) {
        document.findings.push_back({state_severity::Error, "unreadable", place,
                                     errorOf(decoded).message, "Correct the service."});
        return;
    }
    const service_limits &limits = valueOf(decoded);
    const double cold = std::chrono::duration<double>(limits.coldDuration).count();
    // The decoder keeps milliseconds, so a smaller difference is no fault.
    if (members.find("coldS").asDouble() - cold > 0.001) {
        members.tooLarge("coldS", std::to_string(static_cast<std::int64_t>(cold)));
    }
    const double rate = limits.coldRequestsPerSecond;
    if (members.find("coldPerS").asDouble() > rate) {
        members.tooLarge("coldPerS", std::to_string(static_cast<std::int64_t>(rate)));
    }
    document.draft.services.push_back({place, std::move(valueOf(decoded))});
}

} // namespace

state_document readStateDocument(const std::string &text)
{
    state_document document;
    const auto root = parseJsonObject(text);
    if (!isOk(root)) {
        document.findings.push_back({state_severity::Error, "not_json", "document",
                                     errorOf(root).message, "Correct the text at this place."});
        document.draft.isComplete = false;
        return document;
    }
    member_checker members(valueOf(root), "", document.findings);
    members.number("version", Max64);
    if (members.require("version") && members.isValid()) {
        document.draft.version = members.find("version").asUInt64();
        if (document.draft.version == 0) {
            members.fail("missing", "version", "version is 0", "Write a version above 0.");
        }
    }
    std::size_t index = 0;
    for (const Json::Value &object : members.list("routes")) {
        readRoute(object, indexed("routes", index++), document);
    }
    index = 0;
    for (const Json::Value &object : members.list("services")) {
        readService(object, indexed("services", index++), document);
    }
    const Json::Value &limits = members.find("limits");
    if (!limits.isNull()) {
        member_checker limitMembers(limits, "limits", document.findings);
        limitMembers.number("idleTimeoutMs", Max64);
        if (limitMembers.isValid()) {
            document.draft.idleTimeout = decodeIdleTimeout(limits);
            checkKept(limitMembers, "idleTimeoutMs", document.draft.idleTimeout);
        }
    }
    document.draft.isComplete = document.findings.empty();
    return document;
}

std::string stateFieldName(state_field field)
{
    switch (field) {
    case state_field::Version:
        return "version";
    case state_field::Name:
        return "name";
    case state_field::Address:
        return "host";
    case state_field::Shares:
        return "backends";
    case state_field::Goal:
        return "goalMs";
    case state_field::Timeout:
        return "timeoutMs";
    case state_field::ConnectionLimit:
        return "maxConns";
    case state_field::ColdDuration:
        return "coldS";
    case state_field::ColdRate:
        return "coldPerS";
    case state_field::IdleTimeout:
        return "limits.idleTimeoutMs";
    }
    return "";
}

} // namespace ebonyway::platform
