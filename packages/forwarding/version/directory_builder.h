#pragma once

#include "forwarding/version/directory.h"
#include "forwarding/version/exported_knowledge.h"
#include "forwarding/version/server_coldness.h"

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
 * replaces only one at an older position, and the desired state never returns to an older version.
 * After the store has come back from an older copy, what the copy holds of a server does not
 * replace a later report of that server.
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
                                               store_position listPosition, time_point now);

    /**
     * Must be called when the store answers again after an outage. Entries that lapsed in the
     * outage are kept until their backend servers have had time to register again.
     */
    void onStoreRegained(time_point now);

    /**
     * Ends grace periods: lapsed servers depart, lost evacuations end, and an older report of a
     * server that is still in the store takes effect. Removes servers that departed long ago.
     */
    std::vector<directory_change> expire(time_point now);

    /** Returns whether a desired state and a first list of backend servers are known. */
    bool isComplete() const { return m_routes && m_serversListed; }

    /**
     * Merges knowledge from another instance: newer objects, and at the same position what the
     * other one remembers although the store has lost it. Returns the resulting changes.
     */
    std::vector<directory_change> integrate(const exported_knowledge &exported, time_point now);
    /**
     * Returns the current knowledge in the form that is sent to another instance. For one that has
     * applied all changes up to `since`, it holds only what changed after that, if this is known.
     */
    exported_knowledge exportKnowledge(time_point now, const known_positions &since = {}) const;

    /** Returns, per kind, the position up to which all changes have been applied. */
    const known_positions &positions() const { return m_positions; }
    /** Records that all changes of the kind up to the position have been applied. */
    void advancePosition(store_kind kind, store_position position);

    /** Builds an immutable snapshot of the current knowledge. */
    std::shared_ptr<const directory> snapshot();
    /** Returns and clears which backend servers got another token in the snapshots so far. */
    std::vector<directory_change> takeTokenChanges();

    std::uint64_t desiredVersion() const { return m_routes ? m_routes->version : 0; }
    std::size_t serverCount() const { return m_servers.size(); }

private:
    struct known_server
    {
        directory_server server;
        server_coldness coldness;
        std::optional<time_point> lapsesAt; ///< End of the grace period of a lapsed entry.
        std::optional<time_point> departedAt;
        /** Entry that an older copy of the store holds, while it contradicts what is known. */
        std::optional<registered_server> outdatedEntry;
        time_point outdatedUntil; ///< If still in the store then, `outdatedEntry` is in effect.
        bool sharesToken = false; ///< In the last snapshot, another server had its first token.
    };

    struct known_evacuation
    {
        store_position position;
        std::optional<time_point> lapsesAt; ///< Set if the copy of the store does not have it.
    };

    struct ended_evacuation
    {
        store_position position;
        time_point at; ///< When this instance learned of the end.
    };

    std::vector<directory_change> applyServer(const store_object &object, time_point now);
    std::vector<directory_change> applyDesiredState(const store_object &object);
    std::vector<directory_change> applyEvacuation(const store_object &object, time_point now);
    void adoptEntry(known_server &known, const registered_server &entry, time_point now);
    /** Applies a report that the sender remembers although an older copy of the store lacks it. */
    std::vector<directory_change> applyLostReport(const store_object &object, known_server &known,
                                                  const registered_server &entry, time_point now);
    static bool isOutdated(const known_server &known, const store_object &object,
                           const registered_server &entry);
    directory_change removeServer(const std::string &name, known_server &known,
                                  store_position position, time_point now);
    std::vector<directory_change> retainListedServers(const std::set<std::string> &listedNames,
                                                      store_position listPosition, time_point now);
    std::vector<directory_change> retainListedEvacuations(const std::set<std::string> &listedNames,
                                                          store_position listPosition,
                                                          time_point now);
    directory_change endEvacuation(const std::string &domain, store_position position,
                                   time_point now);
    /** Takes over how long the sender counts servers as cold, besides the same report of them. */
    std::vector<directory_change> takeOverColdEstimates(const exported_knowledge &exported,
                                                        time_point now);
    /** Ends evacuations that the sender has not seen end, but that are missing in a later list. */
    std::vector<directory_change> takeOverEndedEvacuations(const exported_knowledge &exported,
                                                           time_point now);
    /** Adds departed servers that share a token, so that no other server gets their flows. */
    std::vector<directory_change> takeOverDepartures(const exported_knowledge &exported,
                                                     time_point now);
    /** Marks as lapsed here too what has lapsed at the instance that sent its knowledge. */
    void takeOverLapses(const exported_knowledge &exported, time_point now);
    void takeOverOutdatedEntries(const exported_knowledge &exported, time_point now);
    /** Takes the last ended evacuation of the server's failure domain into account. */
    void expectColdAfterEvacuation(known_server &known);
    duration coldDurationOf(const std::string &service) const;
    /** Gives each server a token for new flows that no other server has. */
    void chooseTokens();

    directory_times m_times;
    std::uint64_t m_serial = 0;
    std::shared_ptr<const route_table> m_routes;
    store_position m_routesPosition;
    std::map<std::string, known_server> m_servers;
    bool m_serversListed = false;
    std::map<std::string, known_evacuation> m_evacuations; ///< By failure domain.
    std::map<std::string, ended_evacuation> m_endedEvacuations; ///< By failure domain.
    std::optional<time_point> m_lapseGraceUntil; ///< End of the grace period after an outage.
    known_positions m_positions{};
    std::vector<directory_change> m_tokenChanges;
    store_position m_forgottenUpTo; ///< Departures up to it may have been removed.
};

} // namespace ebonyway
