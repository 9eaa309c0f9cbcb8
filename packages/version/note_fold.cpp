#include "version/note_fold.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>

namespace ebonyway {

namespace {

std::string quoted(const std::string &name)
{
    return "'" + name + "'";
}

/** Objects of one kind with their names, for lookups while a note is folded. */
template <typename Object>
class name_index
{
public:
    explicit name_index(const std::vector<Object> &objects)
    {
        for (const Object &object : objects) {
            m_ids[object.name] = object.id;
        }
    }

    bool contains(const std::string &name) const { return m_ids.count(name) > 0; }
    auto idOf(const std::string &name) const { return m_ids.at(name); }
    void add(const Object &object) { m_ids[object.name] = object.id; }

private:
    std::unordered_map<std::string, decltype(Object::id)> m_ids;
};

/** Finds an object by id in a vector that is ordered by id; the object must exist. */
template <typename Object, typename Id>
Object &objectWith(std::vector<Object> &objects, Id id)
{
    return *std::lower_bound(objects.begin(), objects.end(), id,
                             [](const Object &object, Id wanted) { return object.id < wanted; });
}

template <typename Object>
void eraseNamed(std::vector<Object> &objects, const std::vector<std::string> &names)
{
    const std::set<std::string> withdrawn(names.begin(), names.end());
    std::erase_if(objects,
                  [&withdrawn](const Object &object) { return withdrawn.count(object.name) > 0; });
}

/** Copies a field that the note names. */
template <typename Field, typename Value>
void apply(const std::optional<Value> &named, Field &field)
{
    if (named) {
        field = *named;
    }
}

void applyObjective(const service_entry &entry, service &target)
{
    apply(entry.goodFlowRatio, target.objective.goodFlowRatio);
    apply(entry.objectiveWindow, target.objective.window);
}

void applyLimits(const backend_server_entry &entry, backend_server &target)
{
    apply(entry.health, target.health);
    apply(entry.weight, target.weight);
    apply(entry.connectionLimit, target.connectionLimit);
    apply(entry.slotLimit, target.slotLimit);
    apply(entry.draining, target.draining);
}

bool namesNothing(const note_section &section)
{
    return section.services.empty() && section.backendServers.empty()
           && section.failureDomains.empty();
}

/** Folds one note. The first fault is kept and ends the work. */
class note_fold
{
public:
    note_fold(const intent &current, const release_note &note)
        : m_current(current)
        , m_note(note)
        , m_next(current)
        , m_services(current.services)
        , m_servers(current.backendServers)
        , m_domains(current.failureDomains)
    { }

    result<intent> run(const note_digest &digest)
    {
        checkNumber();
        checkNotEmpty();
        checkNames();
        foldFailureDomains();
        foldServices();
        foldBackendServers();
        withdrawBackendServers();
        withdrawServices();
        withdrawFailureDomains();
        checkAddresses();
        checkTunnels();
        checkLimits();
        if (m_fault) {
            return *m_fault;
        }
        m_next.number = m_note.number;
        m_next.digest = digest;
        return std::move(m_next);
    }

private:
    void fail(error_kind kind, const std::string &message, const std::string &remedy)
    {
        if (!m_fault) {
            m_fault = error{kind, message, remedy};
        }
    }

    void refuse(const std::string &message, const std::string &remedy)
    {
        fail(error_kind::InvalidInput, message, remedy);
    }

    void checkNumber()
    {
        const std::uint64_t expected = m_current.number.value + 1;
        const std::string given = std::to_string(m_note.number.value);
        const std::string remedy = "Set \"note\" to " + std::to_string(expected)
                                   + " after reading what is in force, then check it again.";
        if (m_note.number.value < expected) {
            fail(error_kind::Conflict, "note " + given + " is already in force", remedy);
        } else if (m_note.number.value > expected) {
            refuse("note is " + given + ", but note " + std::to_string(expected) + " comes next",
                   remedy);
        }
    }

    void checkNotEmpty()
    {
        const note_withdrawals &withdrawn = m_note.withdrawn;
        if (namesNothing(m_note.added) && namesNothing(m_note.changed) && withdrawn.services.empty()
            && withdrawn.backendServers.empty() && withdrawn.failureDomains.empty()) {
            refuse("the release note changes nothing",
                   "List at least one object under added, changed or withdrawn.");
        }
    }

    void checkNames()
    {
        checkNamesOf("services", m_services, m_note.added.services, m_note.changed.services,
                     m_note.withdrawn.services);
        checkNamesOf("backend_servers", m_servers, m_note.added.backendServers,
                     m_note.changed.backendServers, m_note.withdrawn.backendServers);
        checkNamesOf("failure_domains", m_domains, m_note.added.failureDomains,
                     m_note.changed.failureDomains, m_note.withdrawn.failureDomains);
    }

    template <typename Index, typename Entry>
    void checkNamesOf(const std::string &kind, const Index &index, const std::vector<Entry> &added,
                      const std::vector<Entry> &changed, const std::vector<std::string> &withdrawn)
    {
        std::set<std::string> seen;
        for (const Entry &entry : added) {
            checkOnce(kind, entry.name, seen);
            if (index.contains(entry.name)) {
                refuse("added." + kind + " names " + quoted(entry.name) + ", which is in force",
                       "Move the entry to changed, or choose another name.");
            }
        }
        for (const Entry &entry : changed) {
            checkOnce(kind, entry.name, seen);
            checkExists("changed." + kind, entry.name, index);
        }
        for (const std::string &name : withdrawn) {
            checkOnce(kind, name, seen);
            checkExists("withdrawn." + kind, name, index);
        }
    }

    void checkOnce(const std::string &kind, const std::string &name, std::set<std::string> &seen)
    {
        if (!seen.insert(name).second) {
            refuse(kind + " names " + quoted(name) + " more than once",
                   "Keep one entry for each object in a release note.");
        }
    }

    template <typename Index>
    void checkExists(const std::string &place, const std::string &name, const Index &index)
    {
        if (!index.contains(name)) {
            refuse(place + " names " + quoted(name) + ", which is not in force",
                   "Correct the name; `ebonyway status` lists what is in force.");
        }
    }

    /** Ids are never reused, and 0xffff stands for "none". */
    bool idLeft(std::uint16_t nextId, const char *kind)
    {
        if (nextId >= NoBackendServer.value) {
            fail(error_kind::LimitExceeded,
                 std::string("this deployment has used all ids of ") + kind,
                 "Start a new deployment; ids are not reused.");
        }
        return !m_fault;
    }

    void foldFailureDomains()
    {
        for (const failure_domain_entry &entry : m_note.added.failureDomains) {
            if (!idLeft(m_next.nextFailureDomainId, "failure domains")) {
                return;
            }
            m_next.failureDomains.push_back(
                    {{m_next.nextFailureDomainId++}, entry.name, entry.inService.value_or(true)});
            m_domains.add(m_next.failureDomains.back());
        }
        for (const failure_domain_entry &entry : m_note.changed.failureDomains) {
            if (m_fault) {
                return;
            }
            apply(entry.inService,
                  objectWith(m_next.failureDomains, m_domains.idOf(entry.name)).inService);
        }
    }

    void foldServices()
    {
        for (const service_entry &entry : m_note.added.services) {
            if (m_fault || !idLeft(m_next.nextServiceId, "services")) {
                return;
            }
            addService(entry);
        }
        for (const service_entry &entry : m_note.changed.services) {
            if (m_fault) {
                return;
            }
            changeService(entry, objectWith(m_next.services, m_services.idOf(entry.name)));
        }
    }

    void addService(const service_entry &entry)
    {
        service added;
        added.id = {m_next.nextServiceId++};
        added.name = entry.name;
        apply(entry.addresses, added.addresses);
        apply(entry.protocol, added.protocol);
        apply(entry.port, added.port);
        apply(entry.idleTimeout, added.idleTimeout);
        applyObjective(entry, added);
        m_next.services.push_back(added);
        m_services.add(added);
    }

    void changeService(const service_entry &entry, service &target)
    {
        const std::string place = "changed.services " + quoted(entry.name);
        const std::string remedy = "Add a new service, move its callers, then withdraw this one.";
        if (entry.protocol.value_or(target.protocol) != target.protocol
            || entry.port.value_or(target.port) != target.port) {
            refuse(place + " changes the protocol or the port, which breaks every open flow",
                   remedy);
        }
        for (const ip_address &address : target.addresses) {
            if (entry.addresses
                && std::count(entry.addresses->begin(), entry.addresses->end(), address) == 0) {
                refuse(place + " removes the address " + address.toString()
                               + ", which breaks its open flows",
                       remedy);
            }
        }
        apply(entry.addresses, target.addresses);
        apply(entry.idleTimeout, target.idleTimeout);
        applyObjective(entry, target);
    }

    void foldBackendServers()
    {
        for (const backend_server_entry &entry : m_note.added.backendServers) {
            if (m_fault || !idLeft(m_next.nextBackendServerId, "backend servers")) {
                return;
            }
            addBackendServer(entry);
        }
        for (const backend_server_entry &entry : m_note.changed.backendServers) {
            if (m_fault) {
                return;
            }
            changeBackendServer(entry,
                                objectWith(m_next.backendServers, m_servers.idOf(entry.name)));
        }
    }

    void addBackendServer(const backend_server_entry &entry)
    {
        const std::string place = "added.backend_servers " + quoted(entry.name) + " names the ";
        if (!m_services.contains(*entry.service)) {
            refuse(place + "service " + quoted(*entry.service) + ", which does not exist",
                   "Add the service in the same release note, or correct its name.");
            return;
        }
        if (!m_domains.contains(*entry.failureDomain)) {
            refuse(place + "failure domain " + quoted(*entry.failureDomain)
                           + ", which does not exist",
                   "Add the failure domain in the same release note, or correct its name.");
            return;
        }
        backend_server added;
        added.id = {m_next.nextBackendServerId++};
        added.name = entry.name;
        added.service = m_services.idOf(*entry.service);
        added.failureDomain = m_domains.idOf(*entry.failureDomain);
        apply(entry.tunnel, added.tunnel);
        applyLimits(entry, added);
        m_next.backendServers.push_back(added);
    }

    void changeBackendServer(const backend_server_entry &entry, backend_server &target)
    {
        const std::string &serviceName = findService(m_next, target.service)->name;
        const std::string &domainName = findFailureDomain(m_next, target.failureDomain)->name;
        if (entry.service.value_or(serviceName) != serviceName
            || entry.failureDomain.value_or(domainName) != domainName
            || entry.tunnel.value_or(target.tunnel) != target.tunnel) {
            refuse("changed.backend_servers " + quoted(entry.name)
                           + " changes the service, the failure domain or the tunnel, which "
                             "breaks its open flows",
                   "Add a backend server with a new name, drain this one, then withdraw it.");
        }
        applyLimits(entry, target);
    }

    void withdrawBackendServers()
    {
        for (const std::string &name : m_note.withdrawn.backendServers) {
            if (m_fault) {
                return;
            }
            const backend_server *server = findBackendServer(m_current, m_servers.idOf(name));
            if (!server->draining && acceptsPackets(m_current, *server)) {
                refuse("withdrawn.backend_servers names " + quoted(name)
                               + ", which is not draining",
                       "Set \"draining\" to true in a release note of its own, and withdraw it "
                       "after its open flows have run out.");
            }
        }
        eraseNamed(m_next.backendServers, m_note.withdrawn.backendServers);
    }

    void withdrawServices()
    {
        const std::set<std::string> names(m_note.withdrawn.services.begin(),
                                          m_note.withdrawn.services.end());
        for (const backend_server &server : m_next.backendServers) {
            const service *owner = findService(m_next, server.service);
            if (names.count(owner->name) > 0) {
                refuse("withdrawn.services names " + quoted(owner->name)
                               + ", which still has the backend server " + quoted(server.name),
                       "Drain and withdraw its backend servers first.");
                return;
            }
        }
        eraseNamed(m_next.services, m_note.withdrawn.services);
    }

    void withdrawFailureDomains()
    {
        const std::set<std::string> names(m_note.withdrawn.failureDomains.begin(),
                                          m_note.withdrawn.failureDomains.end());
        for (const backend_server &server : m_next.backendServers) {
            const failure_domain *domain = findFailureDomain(m_next, server.failureDomain);
            if (names.count(domain->name) > 0) {
                refuse("withdrawn.failure_domains names " + quoted(domain->name)
                               + ", which still has the backend server " + quoted(server.name),
                       "Withdraw its backend servers first.");
                return;
            }
        }
        eraseNamed(m_next.failureDomains, m_note.withdrawn.failureDomains);
    }

    void checkAddresses()
    {
        std::set<std::tuple<ip_address, std::uint16_t, transport_protocol>> seen;
        for (const service &current : m_next.services) {
            for (const ip_address &address : current.addresses) {
                if (!seen.insert({address, current.port, current.protocol}).second) {
                    refuse("service " + quoted(current.name) + " repeats "
                                   + endpoint{address, current.port}.toString(),
                           "Give each service its own combination of address, port and protocol.");
                }
            }
        }
    }

    void checkTunnels()
    {
        std::set<std::pair<service_id, endpoint>> seen;
        for (const backend_server &server : m_next.backendServers) {
            if (!seen.insert({server.service, server.tunnel}).second) {
                refuse("backend server " + quoted(server.name) + " has the tunnel "
                               + server.tunnel.toString()
                               + " of another backend server of its service",
                       "Give each backend server of a service its own tunnel address.");
            }
        }
    }

    void checkLimits()
    {
        checkLimit("services", m_next.services.size(), MaxServices);
        checkLimit("backend servers", m_next.backendServers.size(), MaxBackendServers);
        checkLimit("failure domains", m_next.failureDomains.size(), MaxFailureDomains);
    }

    void checkLimit(const std::string &kind, std::size_t count, std::size_t limit)
    {
        if (count > limit) {
            fail(error_kind::LimitExceeded,
                 "the release note leads to " + std::to_string(count) + " " + kind
                         + "; the limit is " + std::to_string(limit),
                 "Withdraw " + kind + " that are no longer needed, or use a second deployment.");
        }
    }

    const intent &m_current;
    const release_note &m_note;
    intent m_next;
    name_index<service> m_services;
    name_index<backend_server> m_servers;
    name_index<failure_domain> m_domains;
    std::optional<error> m_fault;
};

} // namespace

result<intent> foldReleaseNote(const intent &current, const release_note &note,
                               const note_digest &digest)
{
    return note_fold(current, note).run(digest);
}

result<intent> foldReleaseNote(const intent &current, const std::string &text)
{
    const result<release_note> note = parseReleaseNote(text);
    if (!isOk(note)) {
        return errorOf(note);
    }
    return foldReleaseNote(current, valueOf(note), digestNote(current.digest, text));
}

} // namespace ebonyway
