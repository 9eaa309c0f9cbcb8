#include "forwarding/process/startup_plan.h"

#include <chrono>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// On a first start: how long to wait for a peer that gets answers from the store. The platform
// starts all instances within 300 ms of each other, and a slow one takes as long again.
constexpr duration FirstContactTime = 1s;

// On a first start: how long to wait for the knowledge of such a peer. It is complete as soon as
// the operator has written the first desired state.
constexpr duration FirstKnowledgeTime = 4s;

// How long after its start an instance leaves the reading to others. The reader of a failure domain
// is heard four times a second, so an instance knows it by then.
constexpr duration ReaderDiscoveryTime = 1s;

} // namespace

startup_plan::startup_plan(bool isFirstStart)
    : m_isFirstStart(isFirstStart)
{ }

void startup_plan::start(bool isSeed, time_point now)
{
    m_isSeed = isSeed;
    m_startedAt = now;
}

bool startup_plan::mayListStore(bool readerHeard, time_point now) const
{
    const duration wait = readerHeard ? FirstKnowledgeTime : FirstContactTime;
    return !m_isFirstStart || m_isSeed || now - m_startedAt >= wait;
}

bool startup_plan::mayBecomeReader(time_point now) const
{
    return m_isSeed || now - m_startedAt >= ReaderDiscoveryTime;
}

} // namespace ebonyway
