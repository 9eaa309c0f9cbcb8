#pragma once

#include "forwarding/version/directory.h"
#include "forwarding/version/passed_knowledge.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** What one change did to the knowledge, for the log. */
struct directory_change
{
    std::string event; ///< Stable name of the log event.
    std::string subject; ///< Name of the object.
    std::uint64_t revision = 0;
    std::string detail;
};

/** Times that the knowledge depends on. */
struct directory_times
{
    duration heartbeat = std::chrono::milliseconds(1200); ///< Interval of the servers' reports.
};

/**
 * Merges objects of the store into the knowledge of an instance. An object replaces only what is
 * older than itself, and the desired state never goes back to an older version.
 */
class directory_builder
{
public:
    explicit directory_builder(directory_times times);

    /** Applies one object of a list, a watch or a peer. Returns what changed. */
    std::vector<directory_change> apply(store_kind kind, const store_object &object,
                                        time_point now);

    /**
     * Treats objects that a complete list did not name as deleted, unless they are newer than the
     * list.
     */
    std::vector<directory_change> retainListed(store_kind kind, const std::set<std::string> &listed,
                                               std::uint64_t listRevision, time_point now);

    /**
     * Tells that the store answers again after an outage. Entries that lapsed meanwhile count as
     * present until their backend servers had time to register again.
     */
    void onStoreRegained(time_point now);

    /** Departs lapsed servers and forgets those that departed long ago. */
    std::vector<directory_change> expire(time_point now);

    /** Returns whether a desired state and a first list of backend servers are known. */
    bool isComplete() const { return m_routes && m_serversListed; }

    /** Takes over what another instance knows, as far as it is newer. Returns what changed. */
    std::vector<directory_change> integrate(const passed_knowledge &passed, time_point now);
    /** Writes all current knowledge, for another instance. */
    passed_knowledge pass(time_point now) const;

    /** Revision up to which all changes of each kind are known. */
    const known_revisions &revisions() const { return m_revisions; }
    /** Tells that all changes of the kind up to the revision were applied. */
    void noteRevision(store_kind kind, std::uint64_t revision);

    /** Builds a snapshot of the current knowledge. */
    std::shared_ptr<const directory> snapshot();

    std::uint64_t desiredVersion() const { return m_routes ? m_routes->version : 0; }
    std::size_t serverCount() const { return m_servers.size(); }

private:
    struct known_server
    {
        directory_server server;
        std::optional<time_point> lapsesAt; ///< Its entry is gone, but it may register again.
        std::optional<time_point> departedAt;
    };

    std::vector<directory_change> applyServer(const store_object &object, time_point now);
    std::vector<directory_change> applyDesiredState(const store_object &object);
    std::vector<directory_change> applyEvacuation(const store_object &object, time_point now);
    directory_change removeServer(const std::string &name, known_server &known,
                                  std::uint64_t revision, time_point now);
    void warmUpAfterEvacuation(const std::string &failureDomain, time_point now);
    duration coldDurationOf(const std::string &service) const;

    directory_times m_times;
    std::uint64_t m_serial = 0;
    std::shared_ptr<const route_table> m_routes;
    std::uint64_t m_routesRevision = 0;
    std::map<std::string, known_server> m_servers;
    bool m_serversListed = false;
    std::map<std::string, std::uint64_t> m_evacuations; ///< Revision by failure domain.
    std::map<std::string, std::uint64_t> m_endedEvacuations;
    std::optional<time_point> m_lapseGraceUntil;
    known_revisions m_revisions{};
};

} // namespace ebonyway
