#pragma once

#include "core/ip_address.h"
#include "core/time.h"

#include <optional>
#include <vector>

namespace ebonyway {

/**
 * Decides where an instance that has just started gets its knowledge from: from another instance,
 * or, if none can give it, from the store. Without it a fleet that starts, or a rolling restart,
 * makes every instance list and watch all kinds of objects at once.
 */
class startup_plan
{
public:
    /** `isFirstStart` is true if the whole deployment starts for the first time. */
    explicit startup_plan(bool isFirstStart);

    /** Sets the seeds without this instance; `isSeed` tells whether it is one of them. */
    void start(std::vector<endpoint> seeds, bool isSeed, time_point now);

    /**
     * Returns the next seed to pull knowledge from, each seed once. Returns nothing on the first
     * start of a deployment, because no instance has knowledge then.
     */
    std::optional<endpoint> nextSeed();

    /**
     * Returns whether the instance may list the store while its knowledge is incomplete.
     * `readerHeard` tells whether a live peer gets answers from the store and so will have the
     * knowledge soon; `isPulling` whether a pull is under way.
     */
    bool mayListStore(bool readerHeard, bool isPulling, time_point now) const;

    /**
     * Returns whether the instance may watch the store for its failure domain. Shortly after its
     * start it has not heard of the instance that already does, unless it knows no other at all.
     */
    bool mayBecomeReader(bool knowsPeers, time_point now) const;

private:
    bool m_isFirstStart;
    bool m_isSeed = false;
    std::vector<endpoint> m_seedsLeft;
    time_point m_startedAt;
};

} // namespace ebonyway
