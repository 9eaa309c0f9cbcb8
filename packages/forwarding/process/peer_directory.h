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

/** A live instance and what it said last. */
struct known_peer
{
    peer_entry entry;
    known_revisions revisions{};
    std::vector<peer_server_load> loads;
    time_point heardAt; ///< Of its own last message, or of the first word of it from others.
    bool heard = false;
};

/**
 * The other instances of the deployment: who lives, who reads the store for a failure domain, and
 * who knows more than this instance. Pure.
 */
class peer_directory
{
public:
    peer_directory(peer_entry self, std::uint64_t seed);

    /** Sets addresses that are contacted until instances are known by their messages. */
    void setSeeds(std::vector<endpoint> seeds);
    void setStoreAnswers(bool answers) { m_self.storeAnswers = answers; }
    void setLeaving() { m_self.leaving = true; }

    void onMessage(const peer_message &message, time_point now);

    /** Builds the next heartbeat. */
    peer_message heartbeat(const known_revisions &revisions, std::vector<peer_server_load> loads);
    /** Returns where the next heartbeat goes. After a change it also goes to the whole domain. */
    std::vector<endpoint> targets(bool afterChange, time_point now);

    /**
     * Returns whether this instance reads the store itself. In each failure domain one instance
     * does; the others learn of changes from it. An instance that hears of no reader reads itself.
     */
    bool isReader(time_point now) const;

    /** Returns the address of a live instance that knows a newer object of some kind. */
    std::optional<endpoint> betterInformed(const known_revisions &own, time_point now) const;

    /**
     * Failure domains whose instances are all silent although some were heard in the last minute:
     * the domain is cut off from here, or has no instance left.
     */
    std::set<std::string> silentDomains(time_point now) const;

    /** Live instances, this one included. */
    std::size_t liveCount(time_point now) const;
    /** Sum of what the other live instances send to each backend server. */
    std::vector<peer_server_load> peerLoads(time_point now) const;

private:
    bool isLive(const known_peer &peer, time_point now) const;
    void learn(const peer_entry &entry, time_point now);

    peer_entry m_self;
    seeded_random m_random;
    std::vector<endpoint> m_seeds;
    std::map<std::string, known_peer> m_peers;
};

} // namespace ebonyway
