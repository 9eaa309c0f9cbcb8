#include "forwarding/process/startup_plan.h"

#include <chrono>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

// How long an instance that restarts asks the seeds before it lists the store as well. A seed that
// runs answers within milliseconds and one whose process is down refuses the connection; only a
// seed that is cut off or whose machine is down costs this time.
constexpr duration SeedPullTime = 150ms;

// On the first start of a deployment: how long to wait for a sign of life of any instance. All
// instances start within 300 ms of each other, and a slow one takes as long again.
constexpr duration FirstContactTime = 1s;

// On the first start of a deployment: how long to wait for the knowledge of peers that read the
// store. They have it as soon as the first desired state is written.
constexpr duration FirstKnowledgeTime = 4s;

// How long after its start an instance leaves the reading to others. The reader of a failure domain
// is heard four times a second, so an instance knows it by then.
constexpr duration ReaderDiscoveryTime = 1s;

} // namespace

startup_plan::startup_plan(bool isFirstStart)
    : m_isFirstStart(isFirstStart)
{ }

void startup_plan::start(std::vector<endpoint> seeds, bool isSeed, time_point now)
{
    m_isSeed = isSeed;
    m_startedAt = now;
    if (!m_isFirstStart) {
        m_seedsLeft = std::move(seeds);
    }
}

std::optional<endpoint> startup_plan::nextSeed()
{
    if (m_seedsLeft.empty()) {
        return std::nullopt;
    }
    const endpoint seed = m_seedsLeft.back();
    m_seedsLeft.pop_back();
    return seed;
}

bool startup_plan::mayListStore(bool readerHeard, bool isPulling, time_point now) const
{
    const duration sinceStart = now - m_startedAt;
    if (!m_isFirstStart) {
        return (m_seedsLeft.empty() && !isPulling) || sinceStart >= SeedPullTime;
    }
    return m_isSeed || sinceStart >= (readerHeard ? FirstKnowledgeTime : FirstContactTime);
}

bool startup_plan::mayBecomeReader(bool knowsPeers, time_point now) const
{
    return m_isSeed || !knowsPeers || now - m_startedAt >= ReaderDiscoveryTime;
}

} // namespace ebonyway
