#include "standins/server_work.h"

#include <algorithm>
#include <utility>

namespace ebonyway::standins {

server_work::server_work(const work_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{ }

void server_work::submit(const work_item &item, time_point now)
{
    m_waiting.push_back(item);
    startWaiting(now);
    if (m_waiting.size() > m_settings.queueLimit) {
        m_finished.push_back({m_waiting.back().id, work_outcome::Shed});
        m_waiting.pop_back();
    }
    const bool cold = capacityShare() < 1.0;
    m_failed = m_failed || (cold && m_waiting.size() > m_settings.coldQueueLimit);
}

void server_work::cancel(work_id id, time_point now)
{
    std::erase_if(m_waiting, [id](const work_item &item) { return item.id == id; });
    const auto aborted = std::erase_if(
            m_running, [id](const running_item &running) { return running.item.id == id; });
    m_cancelledRuns += aborted;
    startWaiting(now);
}

void server_work::onTimer(time_point now)
{
    endRuns(now);
    expireWaiting(now);
    startWaiting(now);
}

void server_work::endRuns(time_point now)
{
    for (const running_item &running : m_running) {
        if (running.endsAt <= now) {
            m_finished.push_back({running.item.id, work_outcome::Done});
            ++m_warmth;
        } else if (running.item.deadline <= now) {
            m_finished.push_back({running.item.id, work_outcome::ExpiredRunning});
        }
    }
    std::erase_if(m_running, [now](const running_item &running) {
        return running.endsAt <= now || running.item.deadline <= now;
    });
}

void server_work::expireWaiting(time_point now)
{
    for (const work_item &item : m_waiting) {
        if (item.deadline <= now) {
            m_finished.push_back({item.id, work_outcome::ExpiredWaiting});
        }
    }
    std::erase_if(m_waiting, [now](const work_item &item) { return item.deadline <= now; });
}

void server_work::startWaiting(time_point now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slotLimit) {
        const work_item item = std::move(m_waiting.front());
        m_waiting.pop_front();
        countRun(item.countedId);
        // Times vary by half around the mean so that runs do not end in lockstep.
        const double factor = (0.5 + m_random.unit()) / capacityShare();
        const auto length = std::chrono::duration_cast<duration>(m_settings.serviceTime * factor);
        m_running.push_back({item, now + length});
    }
}

void server_work::countRun(const std::string &countedId)
{
    if (countedId.empty()) {
        return;
    }
    const std::uint32_t count = ++m_runs[countedId];
    m_repeatedRuns += count == 2 ? 1 : 0;
}

time_point server_work::nextTimer() const
{
    time_point next = time_point::max();
    for (const running_item &running : m_running) {
        next = std::min({next, running.endsAt, running.item.deadline});
    }
    for (const work_item &item : m_waiting) {
        next = std::min(next, item.deadline);
    }
    return next;
}

std::vector<finished_work> server_work::takeFinished()
{
    return std::exchange(m_finished, {});
}

void server_work::restart()
{
    m_waiting.clear();
    m_running.clear();
    m_finished.clear();
    m_warmth = 0;
    m_failed = false;
}

double server_work::capacityShare() const
{
    if (m_settings.warmupRequests == 0) {
        return 1.0;
    }
    const double grown = static_cast<double>(m_warmth) / m_settings.warmupRequests;
    return std::min(1.0, m_settings.coldShare + grown);
}

} // namespace ebonyway::standins
