#include "version/note_effect.h"

#include "core/duration_text.h"
#include "version/number_text.h"
#include "version/route_plan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace ebonyway {

namespace {

struct effect_line
{
    std::string text;
    std::optional<service_id> service; ///< The service whose slots the line explains.
};

std::string fromTo(const std::string &what, const std::string &before, const std::string &after)
{
    return what + " changes from " + before + " to " + after;
}

std::string addressList(const std::vector<ip_address> &addresses)
{
    std::string list;
    for (const ip_address &address : addresses) {
        list += (list.empty() ? "" : ", ") + address.toString();
    }
    return list;
}

std::string healthText(const endpoint &health)
{
    return health.port == 0 ? "none" : health.toString();
}

class effect_writer
{
public:
    effect_writer(const route_plan &before, const route_plan &after)
        : m_before(before)
        , m_after(after)
    { }

    std::vector<std::string> write()
    {
        describeFailureDomains();
        describeServices();
        describeBackendServers();
        describeSlots();
        std::vector<std::string> lines;
        for (const effect_line &line : m_lines) {
            lines.push_back(line.text);
        }
        return lines;
    }

private:
    void say(std::string text, std::optional<service_id> service = std::nullopt)
    {
        m_lines.push_back({std::move(text), service});
    }

    void describeFailureDomains()
    {
        for (const failure_domain &domain : m_after.currentIntent().failureDomains) {
            const failure_domain *old = findFailureDomain(m_before.currentIntent(), domain.id);
            if (old == nullptr) {
                say("failure domain " + domain.name
                    + (domain.inService ? " is added" : " is added out of service"));
            } else if (old->inService != domain.inService) {
                describeServiceState(domain);
            }
        }
        for (const failure_domain &old : m_before.currentIntent().failureDomains) {
            if (findFailureDomain(m_after.currentIntent(), old.id) == nullptr) {
                say("failure domain " + old.name + " is withdrawn");
            }
        }
    }

    void describeServiceState(const failure_domain &domain)
    {
        const std::size_t count = serverCountIn(domain.id);
        const bool one = count == 1;
        std::string text = "failure domain " + domain.name;
        text += domain.inService ? " returns to service: its " : " is taken out of service: its ";
        text += one ? "backend server" : std::to_string(count) + " backend servers";
        if (domain.inService) {
            text += one ? " takes new flows again" : " take new flows again";
        } else {
            text += one ? " gets no packet, and its open flows are given up"
                        : " get no packet, and their open flows are given up";
        }
        say(text);
    }

    std::size_t serverCountIn(failure_domain_id domain) const
    {
        const auto &servers = m_after.currentIntent().backendServers;
        return static_cast<std::size_t>(std::count_if(
                servers.begin(), servers.end(),
                [domain](const backend_server &server) { return server.failureDomain == domain; }));
    }

    void describeServices()
    {
        for (const service &current : m_after.currentIntent().services) {
            const service *old = findService(m_before.currentIntent(), current.id);
            if (old == nullptr) {
                const char *protocol = current.protocol == transport_protocol::Tcp ? "TCP" : "UDP";
                say("service " + current.name + " is added at " + addressList(current.addresses)
                    + ", " + protocol + " port " + std::to_string(current.port)
                    + "; a flow that is silent for " + durationText(current.idleTimeout)
                    + " counts as ended");
            } else {
                describeServiceChange(*old, current);
            }
        }
        for (const service &old : m_before.currentIntent().services) {
            if (findService(m_after.currentIntent(), old.id) == nullptr) {
                say("service " + old.name + " is withdrawn: packets to its addresses are dropped");
            }
        }
    }

    void describeServiceChange(const service &old, const service &current)
    {
        const std::string subject = "service " + current.name + ": ";
        if (old.addresses != current.addresses) {
            say(subject
                + fromTo("the address list", addressList(old.addresses),
                         addressList(current.addresses)));
        }
        if (old.idleTimeout != current.idleTimeout) {
            say(subject
                + fromTo("the idle timeout", durationText(old.idleTimeout),
                         durationText(current.idleTimeout)));
        }
        if (old.objective.goodFlowRatio != current.objective.goodFlowRatio) {
            say(subject
                + fromTo("the objective", percentText(old.objective.goodFlowRatio),
                         percentText(current.objective.goodFlowRatio))
                + " good flows");
        }
        if (old.objective.window != current.objective.window) {
            say(subject
                + fromTo("the budget period", durationText(old.objective.window),
                         durationText(current.objective.window)));
        }
    }

    std::string subjectOf(const intent &where, const backend_server &server) const
    {
        return "backend server " + server.name + " in "
               + findFailureDomain(where, server.failureDomain)->name;
    }

    void describeBackendServers()
    {
        const intent &next = m_after.currentIntent();
        for (const backend_server &server : next.backendServers) {
            const backend_server *old = findBackendServer(m_before.currentIntent(), server.id);
            if (old == nullptr) {
                describeAddedServer(server);
            } else {
                describeServerChange(*old, server);
            }
        }
        for (const backend_server &old : m_before.currentIntent().backendServers) {
            if (findBackendServer(next, old.id) == nullptr) {
                say(subjectOf(m_before.currentIntent(), old)
                            + " is withdrawn: flows still open on it are given up",
                    old.service);
            }
        }
    }

    void describeAddedServer(const backend_server &server)
    {
        const intent &next = m_after.currentIntent();
        std::string text =
                subjectOf(next, server) + " is added to " + findService(next, server.service)->name;
        if (acceptsNewFlows(next, server)) {
            text += " with weight " + std::to_string(server.weight)
                    + ": it starts cold, and its load grows as it answers";
        } else {
            text += ", but gets no new flow for now";
        }
        say(text, server.service);
    }

    void describeServerChange(const backend_server &old, const backend_server &server)
    {
        const std::string subject = subjectOf(m_after.currentIntent(), server);
        if (!old.draining && server.draining) {
            say(subject + " is drained: it gets no new flow; open flows run out", server.service);
        } else if (old.draining && !server.draining) {
            say(subject + " is no longer draining: it takes new flows again", server.service);
        }
        if (old.weight != server.weight) {
            say(subject + ": "
                        + fromTo("the weight", std::to_string(old.weight),
                                 std::to_string(server.weight))
                        + (server.weight == 0 ? "; it gets no new flow" : ""),
                server.service);
        }
        if (old.connectionLimit != server.connectionLimit) {
            say(subject + ": "
                + fromTo("the connection limit", std::to_string(old.connectionLimit),
                         std::to_string(server.connectionLimit)));
        }
        if (old.slotLimit != server.slotLimit) {
            say(subject + ": "
                + fromTo("the limit of requests at the same time", std::to_string(old.slotLimit),
                         std::to_string(server.slotLimit)));
        }
        if (old.health != server.health) {
            say(subject + ": "
                + fromTo("the health address", healthText(old.health), healthText(server.health)));
        }
    }

    void describeSlots()
    {
        for (const service &current : m_after.currentIntent().services) {
            const slot_table *before = m_before.slotTable(current.id);
            const slot_table *after = m_after.slotTable(current.id);
            if (after == before) {
                continue;
            }
            if (before != nullptr) {
                describeMoves(current, *before, *after);
            }
            if (after->targets.front() == NoBackendServer) {
                say("service " + current.name
                    + " has no backend server for new flows: they are "
                      "dropped until one is added or returns");
            }
        }
    }

    void describeMoves(const service &current, const slot_table &before, const slot_table &after)
    {
        std::size_t moved = 0;
        for (std::size_t slot = 0; slot < after.targets.size(); ++slot) {
            moved += before.targets[slot] != after.targets[slot] ? 1 : 0;
        }
        const std::string text = std::to_string(moved) + " of "
                                 + std::to_string(after.targets.size()) + " slots of "
                                 + current.name + " move";
        if (effect_line *only = onlyLineOf(current.id)) {
            only->text += "; " + text;
        } else {
            say(text);
        }
    }

    /** Returns the line that alone explains the moves of a service, or nullptr. */
    effect_line *onlyLineOf(service_id service)
    {
        effect_line *found = nullptr;
        for (effect_line &line : m_lines) {
            if (line.service != service) {
                continue;
            }
            if (found != nullptr) {
                return nullptr;
            }
            found = &line;
        }
        return found;
    }

    const route_plan &m_before;
    const route_plan &m_after;
    std::vector<effect_line> m_lines;
};

} // namespace

std::vector<std::string> describeEffect(const route_plan &before, const route_plan &after)
{
    return effect_writer(before, after).write();
}

} // namespace ebonyway
