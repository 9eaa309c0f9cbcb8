#pragma once

#include "forwarding/version/directory.h"
#include "forwarding/version/exported_knowledge.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** A change to the knowledge, for the log. */
struct directory_change
{
    std::string event; ///< Name of the log event.
    std::string subject; ///< Name of the changed object.
    std::uint64_t revision = 0;
    std::string detail;
};

/** Durations that directory_builder depends on. */
struct directory_times
{
    duration heartbeat = std::chrono::milliseconds(1200); ///< Interval of backend server reports.
};

/**
 * Merges store objects from lists, watches and peers into the knowledge of an instance. An object
 * replaces only an older revision, and the desired state never returns to an older version.
 */
class directory_builder
{
public:
    explicit directory_builder(directory_times times);

    /** Applies one object from a list, a watch or a peer. Returns the resulting changes. */
    std::vector<directory_change> apply(store_kind kind, const store_object &object,
                                        time_point now);

    /**
     * Treats objects missing from a complete list as deleted, unless they are newer than the list.
     * The desired state stays in effect even if it is missing.
     */
    std::vector<directory_change> retainListed(store_kind kind,
                                               const std::set<std::string> &listedNames,
                                               std::uint64_t listRevision, time_point now);

    /**
     * Must be called when the store answers again after an outage. Entries that lapsed in the
     * outage are kept until their backend servers have had time to register again.
     */
    void onStoreRegained(time_point now);

    /** Marks servers whose grace period has ended as departed; removes those departed long ago. */
    std::vector<directory_change> expire(time_point now);

    /** Returns whether a desired state and a first list of backend servers are known. */
    bool isComplete() const { return m_routes && m_serversListed; }

    /** Merges newer knowledge from another instance. Returns the resulting changes. */
    std::vector<directory_change> integrate(const exported_knowledge &exported, time_point now);
    /** Returns the current knowledge in the form that is sent to other instances. */
    exported_knowledge exportKnowledge(time_point now) const;

    /** Returns, per kind, the revision up to which all changes have been applied. */
    const known_revisions &revisions() const { return m_revisions; }
    /** Records that all changes of the kind up to the revision have been applied. */
    void advanceRevision(store_kind kind, std::uint64_t revision);

    /** Builds an immutable snapshot of the current knowledge. */
    std::shared_ptr<const directory> snapshot();

    std::uint64_t desiredVersion() const { return m_routes ? m_routes->version : 0; }
    std::size_t serverCount() const { return m_servers.size(); }

private:
    struct known_server
    {
        directory_server server;
        std::optional<time_point> lapsesAt; ///< End of the grace period of a lapsed entry.
        std::optional<time_point> departedAt;
    };

    std::vector<directory_change> applyServer(const store_object &object, time_point now);
    std::vector<directory_change> applyDesiredState(const store_object &object);
    std::vector<directory_change> applyEvacuation(const store_object &object, time_point now);
    directory_change removeServer(const std::string &name, known_server &known,
                                  std::uint64_t revision, time_point now);
    /** Marks as lapsed here too what has lapsed at the instance that sent its knowledge. */
    void takeOverLapses(const std::vector<exported_object> &servers, time_point now);
    void markColdAfterEvacuation(const std::string &failureDomain, time_point now);
    duration coldDurationOf(const std::string &service) const;

    directory_times m_times;
    std::uint64_t m_serial = 0;
    std::shared_ptr<const route_table> m_routes;
    std::uint64_t m_routesRevision = 0;
    std::map<std::string, known_server> m_servers;
    bool m_serversListed = false;
    std::map<std::string, std::uint64_t> m_evacuations; ///< Revision by failure domain.
    std::map<std::string, std::uint64_t> m_endedEvacuations; ///< Revision by failure domain.
    std::optional<time_point> m_lapseGraceUntil; ///< End of the grace period after an outage.
    known_revisions m_revisions{};
};

} // namespace ebonyway
