#pragma once

#include "core/time.h"

namespace ebonyway {

/**
 * Decides when an instance that has just started uses the store. Without it, each of many instances
 * that start together lists all kinds of objects and then watches them until it knows the reader
 * of its failure domain.
 */
class startup_plan
{
public:
    /** `isFirstStart` is true if the whole deployment starts for the first time. */
    explicit startup_plan(bool isFirstStart);

    /** `isSeed` is true if other instances contact this one first. */
    void start(bool isSeed, time_point now);

    /**
     * Returns whether the instance may list the store while its knowledge is incomplete. On a first
     * start only the seeds list it, and the others wait for their knowledge; later an instance
     * must serve as soon as possible. `readerHeard` tells whether a live peer gets answers from
     * the store.
     */
    bool mayListStore(bool readerHeard, time_point now) const;

    /**
     * Returns whether the instance may watch the store for its failure domain. Shortly after its
     * start it has not heard of the instance that already does; the seeds watch meanwhile.
     */
    bool mayBecomeReader(time_point now) const;

private:
    bool m_isFirstStart;
    bool m_isSeed = false;
    time_point m_startedAt;
};

} // namespace ebonyway
