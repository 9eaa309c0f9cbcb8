#pragma once

#include "core/seeded_random.h"
#include "core/time.h"
#include "forwarding/process/peer_message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** A peer, which is another instance of the deployment, and its last heartbeat. */
struct peer_record
{
    peer_entry entry;
    known_positions positions{};
    std::vector<peer_server_load> loads;
    time_point heardAt; ///< Time of the peer's last message, or of its first mention by another.
    bool heardDirectly = false; ///< The peer has sent a message; otherwise only others reported it.
    std::optional<time_point>
            pullFailedAt; ///< Time of the last pull that this peer did not answer.
};

/** Recipients of a heartbeat. */
struct heartbeat_targets
{
    std::vector<endpoint> near; ///< Instances of the own failure domain, and seeds.
    std::vector<endpoint> far; ///< Some instances of each other domain of a large deployment.
};

/**
 * Tracks the peers of an instance: which are live, which one reads the store for a failure domain,
 * and which have newer knowledge. Performs no I/O and reads no clock.
 */
class peer_directory
{
public:
    peer_directory(peer_entry self, std::uint64_t seed);

    /** Sets the addresses that are contacted to discover other instances. */
    void setSeeds(std::vector<endpoint> seeds);
    void setStoreAnswers(bool answers) { m_self.storeAnswers = answers; }
    void setLeaving() { m_self.isLeaving = true; }
    const peer_entry &self() const { return m_self; }

    void onMessage(const peer_message &message, time_point now);

    /** Builds the next heartbeat. */
    peer_message heartbeat(const known_positions &positions, std::vector<peer_server_load> loads,
                           std::vector<service_demand> demands = {});
    /**
     * Returns the recipients of the next heartbeat. After a change, and always if this instance is
     * the store reader, they include all instances of the own failure domain.
     */
    heartbeat_targets targets(bool afterChange, time_point now);

    /**
     * Returns whether this instance reads the store itself. One instance per failure domain does,
     * and the others pull changes from it. An instance that knows of no other candidate for reader
     * in its domain reads the store itself.
     */
    bool isStoreReader(time_point now) const;

    /** Returns whether a live peer gets answers from the store. */
    bool hearsStoreReader(time_point now) const;

    /**
     * Returns the address of a live instance with a newer position of some kind: preferably one
     * that has not just failed to hand over its knowledge, then one in the own failure domain, and
     * among these a random one.
     */
    std::optional<endpoint> findPeerWithNewerPosition(const known_positions &own, time_point now);

    /**
     * Returns the address of a random live instance that started well before this one and whose
     * positions are not older than the given ones, preferably of the own failure domain.
     */
    std::optional<endpoint> findEarlierPeer(const known_positions &own, time_point now);
    /** Returns whether the instance at `address` started well before this one. */
    bool startedEarlier(const endpoint &address) const;

    /** Must be called when the instance at `address` has not handed over its knowledge. */
    void onPullFailed(const endpoint &address, time_point now);

    /**
     * Returns the other failure domains whose instances are all silent although some of them were
     * heard in the last minute: the domain is unreachable from here or has no instance left.
     */
    std::set<std::string> silentDomains(time_point now) const;

    /**
     * Returns the number of known instances, including this one. Silent instances count until they
     * are removed.
     */
    std::size_t knownInstanceCount(time_point now) const;
    /** Returns the names of these instances by failure domain. */
    std::map<std::string, std::vector<std::string>> knownInstances(time_point now) const;
    /**
     * Returns the number of instances, including this one, in each failure domain that seem to run:
     * they do not leave and were heard within the time in which nearly all peers are heard.
     */
    std::map<std::string, std::size_t> runningInstances(time_point now) const;
    /** Returns the load on each backend server, summed over the live peers. */
    std::vector<peer_server_load> peerLoads(time_point now) const;

private:
    bool isLive(const peer_record &peer, time_point now) const;
    bool startedEarlier(const peer_record &peer) const;
    void addReportedPeer(const peer_entry &entry, time_point now);

    peer_entry m_self;
    seeded_random m_random;
    std::vector<endpoint> m_seeds;
    std::map<std::string, peer_record> m_peers;
};

} // namespace ebonyway
