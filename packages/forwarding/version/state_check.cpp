#include "forwarding/version/state_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr const char *AddressField = "address";

std::string toText(std::chrono::milliseconds length)
{
    return length == 0ms ? "none" : std::to_string(length.count()) + " ms";
}

std::string toText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

std::string toText(const std::vector<service_share> &shares)
{
    std::map<std::string, std::uint64_t> weights;
    for (const service_share &share : shares) {
        weights[share.service] += share.weight;
    }
    std::string text;
    for (const auto &[service, weight] : weights) {
        text += (text.empty() ? "" : ", ") + service + " with weight " + std::to_string(weight);
    }
    return text;
}

/** Checks one desired state and collects the findings. */
class state_checker
{
public:
    state_checker(const state_draft &draft, const state_field_namer &nameOf)
        : m_draft(draft)
        , m_nameOf(nameOf)
    { }

    std::vector<state_finding> check()
    {
        checkNames();
        checkShares();
        checkUse();
        checkRouteTimes();
        checkServiceLimits();
        return std::move(m_findings);
    }

private:
    std::string place(const std::string &item, state_field field) const
    {
        return item + "." + m_nameOf(field);
    }

    void add(state_severity severity, const std::string &code, const std::string &where,
             const std::string &message, const std::string &remedy)
    {
        m_findings.push_back({severity, code, where, message, remedy});
    }

    void warn(const std::string &code, const std::string &where, const std::string &message,
              const std::string &remedy)
    {
        add(state_severity::Warning, code, where, message, remedy);
    }

    void checkNames()
    {
        std::map<std::string, std::string> routes;
        std::map<endpoint, std::string> addresses;
        for (const drafted_route &drafted : m_draft.routes) {
            const route &item = drafted.item;
            const auto named = routes.emplace(item.name, drafted.place);
            if (!named.second) {
                add(state_severity::Error, "duplicate_route_name",
                    place(drafted.place, state_field::Name),
                    "the name " + item.name + " is that of " + named.first->second,
                    "Give each route a name of its own.");
            }
            if (!item.address.address.isV4()) {
                warn("route_never_matches", place(drafted.place, state_field::Address),
                     "route " + item.name + " never matches: packets carry IPv4 addresses only",
                     "Write an IPv4 address.");
            }
            const auto addressed = addresses.emplace(item.address, drafted.place);
            if (!addressed.second) {
                warn("route_never_matches", place(drafted.place, state_field::Address),
                     "route " + item.name + " never matches: " + addressed.first->second + " has "
                             + item.address.toString(),
                     "Remove one of the routes or change its address or port.");
            }
        }
        std::map<std::string, std::string> services;
        for (const drafted_service &drafted : m_draft.services) {
            const auto named = services.emplace(drafted.item.name, drafted.place);
            if (!named.second) {
                add(state_severity::Error, "duplicate_service_name",
                    place(drafted.place, state_field::Name),
                    "the name " + drafted.item.name + " is that of " + named.first->second,
                    "Give each service a name of its own.");
            }
        }
    }

    void checkShares()
    {
        std::set<std::string> listed;
        for (const drafted_service &drafted : m_draft.services) {
            listed.insert(drafted.item.name);
        }
        for (const drafted_route &drafted : m_draft.routes) {
            bool hasWeight = false;
            for (const drafted_share &share : drafted.shares) {
                hasWeight = hasWeight || share.weight > 0;
                if (share.weight == 0) {
                    warn("share_without_weight", share.place,
                         "service " + share.service + " has weight 0 and gets no flow",
                         "Remove the entry or give it a weight above 0.");
                }
                if (m_draft.isComplete && !listed.contains(share.service)) {
                    add(state_severity::Error, "service_not_listed", share.place,
                        "route " + drafted.item.name + " leads to service " + share.service
                                + ", which is not listed",
                        "List the service or correct its name.");
                }
            }
            if (!hasWeight) {
                add(state_severity::Error, "route_without_service",
                    place(drafted.place, state_field::Shares),
                    "route " + drafted.item.name + " has no service with a weight above 0",
                    "Give at least one service a weight above 0.");
            }
        }
    }

    void checkUse()
    {
        std::set<std::string> used;
        for (const drafted_route &drafted : m_draft.routes) {
            for (const service_share &share : drafted.item.shares) {
                used.insert(share.service);
            }
        }
        for (const drafted_service &drafted : m_draft.services) {
            if (m_draft.isComplete && !used.contains(drafted.item.name)) {
                warn("service_not_used", drafted.place,
                     "no route leads to service " + drafted.item.name,
                     "Remove the service or add a route to it.");
            }
        }
    }

    void checkRouteTimes()
    {
        bool anyGoal = false;
        bool anyTimeout = false;
        for (const drafted_route &drafted : m_draft.routes) {
            anyGoal = anyGoal || drafted.item.goal > 0ms;
            anyTimeout = anyTimeout || drafted.item.timeout > 0ms;
        }
        const bool hasIdleTimeout = m_draft.idleTimeout > 0ms;
        const auto idleTimeout = hasIdleTimeout ? m_draft.idleTimeout : DefaultIdleTimeout;
        for (const drafted_route &drafted : m_draft.routes) {
            const route &item = drafted.item;
            if (item.timeout > 0ms && item.goal > item.timeout) {
                warn("goal_above_timeout", place(drafted.place, state_field::Goal),
                     "the goal of " + toText(item.goal) + " is above the timeout of "
                             + toText(item.timeout),
                     "Lower the goal or raise the timeout.");
            }
            if (idleTimeout < item.timeout) {
                warn("idle_timeout_below_timeout", m_nameOf(state_field::IdleTimeout),
                     std::string(hasIdleTimeout ? "the" : "the default") + " idle timeout of "
                             + toText(idleTimeout) + " is shorter than the timeout of route "
                             + item.name + ", " + toText(item.timeout),
                     "Raise the idle timeout above the timeouts of all routes.");
            }
            if (anyGoal && item.goal == 0ms) {
                warnOfNone("goal_none", place(drafted.place, state_field::Goal),
                           "route " + item.name, "goal", "routes");
            }
            if (anyTimeout && item.timeout == 0ms) {
                warnOfNone("timeout_none", place(drafted.place, state_field::Timeout),
                           "route " + item.name, "timeout", "routes");
            }
        }
    }

    void checkServiceLimits()
    {
        bool anyMaximum = false;
        bool anyCold = false;
        for (const drafted_service &drafted : m_draft.services) {
            anyMaximum = anyMaximum || drafted.item.maxConnections > 0;
            anyCold = anyCold || drafted.item.coldDuration > 0ms;
        }
        for (const drafted_service &drafted : m_draft.services) {
            const service_limits &item = drafted.item;
            const bool hasDuration = item.coldDuration > 0ms;
            const bool hasRate = item.coldRequestsPerSecond > 0;
            const std::string subject = "service " + item.name;
            if (hasDuration && !hasRate) {
                warn("cold_rate_none", place(drafted.place, state_field::ColdRate),
                     subject + " has a cold duration but no cold rate: cold servers get no flow",
                     "Set a cold rate or remove the cold duration.");
            }
            if (hasRate && !hasDuration) {
                warn("cold_duration_none", place(drafted.place, state_field::ColdDuration),
                     subject + " has a cold rate but no cold duration: its servers are never cold",
                     "Set a cold duration or remove the cold rate.");
            }
            if (anyCold && !hasDuration && !hasRate) {
                warnOfNone("cold_limits_none", place(drafted.place, state_field::ColdDuration),
                           subject, "cold duration", "services");
            }
            if (anyMaximum && item.maxConnections == 0) {
                warnOfNone("max_connections_none",
                           place(drafted.place, state_field::ConnectionLimit), subject,
                           "maximum of connections", "services");
            }
        }
    }

    void warnOfNone(const std::string &code, const std::string &where, const std::string &subject,
                    const std::string &what, const std::string &others)
    {
        warn(code, where, subject + " has no " + what + " (0 means none), other " + others + " do",
             "Set a value if none is not intended.");
    }

    const state_draft &m_draft;
    const state_field_namer &m_nameOf;
    std::vector<state_finding> m_findings;
};

using field_texts = std::vector<std::pair<std::string, std::string>>;

field_texts fieldsOf(const route &item)
{
    return {{AddressField, item.address.toString()},
            {"target", toText(item.shares)},
            {"priority", std::to_string(item.priority)},
            {"idempotent", item.idempotent ? "yes" : "no"},
            {"goal", toText(item.goal)},
            {"timeout", toText(item.timeout)}};
}

field_texts fieldsOf(const service_limits &item)
{
    return {{"maximum of connections",
             item.maxConnections == 0 ? "none" : std::to_string(item.maxConnections)},
            {"cold duration", toText(item.coldDuration)},
            {"cold rate", toText(item.coldRequestsPerSecond) + " per second"}};
}

using state_items = std::map<std::string, field_texts>;

template <typename Drafted>
state_items itemsOf(const std::vector<Drafted> &drafted)
{
    state_items items;
    for (const Drafted &entry : drafted) {
        items.emplace(entry.item.name, fieldsOf(entry.item));
    }
    return items;
}

std::string itemText(const std::string &subject, const std::string &name)
{
    return subject + " " + name;
}

void compareFields(const std::string &subject, const std::string &name, const field_texts &before,
                   const field_texts &after, std::vector<state_change> &changes)
{
    const std::string item = name.empty() ? "" : itemText(subject, name) + ": ";
    for (std::size_t index = 0; index < before.size(); ++index) {
        const auto &[field, old] = before[index];
        const std::string &now = after[index].second;
        if (old == now) {
            continue;
        }
        std::string text = item;
        text.append(field).append(" changes from ").append(old).append(" to ").append(now);
        changes.push_back({state_change::change_kind::Changed, subject, name, field, old, now,
                           false, std::move(text)});
    }
}

void compareItems(const std::string &subject, const state_items &before, const state_items &after,
                  std::vector<state_change> &changes)
{
    for (const auto &[name, fields] : before) {
        const auto kept = after.find(name);
        if (kept != after.end()) {
            compareFields(subject, name, fields, kept->second, changes);
            continue;
        }
        changes.push_back({state_change::change_kind::Removed, subject, name, "", "", "", false,
                           itemText(subject, name) + " is removed"});
    }
    for (const auto &[name, fields] : after) {
        if (before.contains(name)) {
            continue;
        }
        std::string text = itemText(subject, name) + " is added";
        for (const auto &[field, value] : fields) {
            text.append(&field == &fields.front().first ? ": " : "; ");
            text.append(field).append(" ").append(value);
        }
        changes.push_back({state_change::change_kind::Added, subject, name, "", "", "", false,
                           std::move(text)});
    }
}

/** Adds to changes of routes that their open flows end because no route has their address. */
void addEndedFlows(const state_draft &inForce, const state_draft &next,
                   std::vector<state_change> &changes)
{
    std::map<std::string, std::string> withdrawn; // Addresses by route name.
    for (const drafted_route &drafted : inForce.routes) {
        const bool isKept = std::any_of(next.routes.begin(), next.routes.end(),
                                        [&drafted](const drafted_route &other) {
                                            return other.item.address == drafted.item.address;
                                        });
        if (!isKept) {
            withdrawn.emplace(drafted.item.name, drafted.item.address.toString());
        }
    }
    for (state_change &change : changes) {
        const bool losesAddress =
                change.kind == state_change::change_kind::Removed || change.field == AddressField;
        const auto found = withdrawn.find(change.name);
        if (change.subject == "route" && losesAddress && found != withdrawn.end()) {
            change.endsFlows = true;
            change.text += "; open flows to " + found->second + " end";
        }
    }
}

} // namespace

std::vector<state_finding> checkState(const state_draft &draft, const state_field_namer &nameOf)
{
    return state_checker(draft, nameOf).check();
}

std::vector<state_finding> checkSuccession(const state_draft &inForce, const state_draft &next,
                                           const state_field_namer &nameOf)
{
    // A version that could not be decoded has a finding of its own.
    if (next.version == 0 || next.version > inForce.version) {
        return {};
    }
    return {{state_severity::Error, "version_not_higher", nameOf(state_field::Version),
             "version " + std::to_string(next.version) + " is not higher than version "
                     + std::to_string(inForce.version) + " in force",
             "Set a version above " + std::to_string(inForce.version) + "."}};
}

std::vector<state_change> compareStates(const state_draft &inForce, const state_draft &next)
{
    std::vector<state_change> changes;
    compareFields(
            "state", "",
            {{"version", std::to_string(inForce.version)},
             {"idle timeout", toText(inForce.idleTimeout)}},
            {{"version", std::to_string(next.version)}, {"idle timeout", toText(next.idleTimeout)}},
            changes);
    compareItems("route", itemsOf(inForce.routes), itemsOf(next.routes), changes);
    addEndedFlows(inForce, next, changes);
    compareItems("service", itemsOf(inForce.services), itemsOf(next.services), changes);
    return changes;
}

} // namespace ebonyway
