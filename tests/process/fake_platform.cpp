#include "process/fake_platform.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

error unavailable()
{
    return {error_kind::Unavailable, "the platform refuses the connection", "Try again later"};
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

fake_platform::fake_platform(scheduler schedule)
    : m_schedule(std::move(schedule))
{ }

void fake_platform::answerLater(time_point at, answer done, result<platform_answer> outcome)
{
    m_schedule(at, [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void fake_platform::call(const platform_request &request, time_point now, time_point deadline,
                         answer done)
{
    callCount++;
    const time_point answered = now + faults.latency;
    if (faults.isDown) {
        answerLater(answered, std::move(done), unavailable());
        return;
    }
    if (const auto *watching = std::get_if<watch_objects>(&request)) {
        watch(*watching, now, std::move(done));
        return;
    }
    result<platform_answer> outcome = platform_instances{};
    const auto *write = std::get_if<put_object>(&request);
    if (write != nullptr) {
        outcome = put(*write, now);
    } else if (const auto *read = std::get_if<get_object>(&request)) {
        outcome = get(*read, now);
    } else if (const auto *listing = std::get_if<list_objects>(&request)) {
        outcome = list(listing->prefix, listing->after, now);
    }
    const bool isLost = answered > deadline || (faults.losesAnswers && write != nullptr);
    if (isLost) {
        const error_kind kind =
                write != nullptr ? error_kind::OutcomeUnknown : error_kind::Unavailable;
        outcome = error{kind, "no answer before the deadline", "Read the object"};
    }
    answerLater(isLost ? deadline : answered, std::move(done), std::move(outcome));
}

bool fake_platform::create(const std::string &key, const std::string &value, time_point now)
{
    return isOk(put({key, value, std::nullopt}, now));
}

void fake_platform::forgetNewest(const std::string &prefix)
{
    const std::vector<std::string> found = keys(prefix);
    if (!found.empty()) {
        m_objects.erase(found.back());
    }
}

void fake_platform::setDown(bool isDown, time_point now)
{
    faults.isDown = isDown;
    if (isDown) {
        cutWatches(now);
    }
}

void fake_platform::restoreCopy(std::uint64_t revision, time_point now)
{
    ++m_era;
    m_revision = revision;
    for (auto &[key, revisions] : m_objects) {
        std::erase_if(revisions, [revision](const revision_entry &entry) {
            return entry.revision > revision;
        });
    }
    std::erase_if(m_objects, [](const auto &object) { return object.second.empty(); });
    cutWatches(now);
}

std::string fake_platform::versionOf(std::uint64_t revision) const
{
    return std::to_string(m_era) + "/" + std::to_string(revision);
}

void fake_platform::cutWatches(time_point now)
{
    for (waiting_watch &waiting : std::exchange(m_watches, {})) {
        answerLater(now + faults.latency, std::move(waiting.done), unavailable());
    }
}

const std::string *fake_platform::value(const std::string &key) const
{
    const auto place = m_objects.find(key);
    return place == m_objects.end() ? nullptr : &place->second.back().value;
}

std::vector<std::string> fake_platform::keys(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[key, revisions] : m_objects) {
        if (hasPrefix(key, prefix)) {
            found.push_back(key);
        }
    }
    return found;
}

const fake_platform::revision_entry *fake_platform::find(const std::string &key,
                                                         time_point now) const
{
    const auto place = m_objects.find(key);
    if (place == m_objects.end()) {
        return nullptr;
    }
    const revision_entry *visible = nullptr;
    for (const revision_entry &entry : place->second) {
        if (entry.at <= now - faults.staleness) {
            visible = &entry;
        }
    }
    return visible;
}

result<platform_answer> fake_platform::put(const put_object &request, time_point now)
{
    const auto place = m_objects.find(request.key);
    const bool isAbsent = place == m_objects.end();
    const bool isAllowed =
            request.ifVersion
                    ? !isAbsent && versionOf(place->second.back().revision) == *request.ifVersion
                    : isAbsent;
    if (!isAllowed) {
        conflictCount++;
        return error{error_kind::Conflict, "the condition does not hold", "Read the object"};
    }
    m_objects[request.key].push_back({++m_revision, now, request.value});
    endWatches(request.key, now);
    return platform_answer{platform_version{versionOf(m_revision)}};
}

result<platform_answer> fake_platform::get(const get_object &request, time_point now) const
{
    const revision_entry *entry = find(request.key, now);
    if (entry == nullptr) {
        return error{error_kind::NotFound, request.key + " does not exist", "Check the key"};
    }
    return platform_answer{platform_object{entry->value, versionOf(entry->revision)}};
}

platform_listing fake_platform::list(const std::string &prefix, const std::string &after,
                                     time_point now) const
{
    platform_listing listing;
    for (const auto &[key, revisions] : m_objects) {
        const revision_entry *entry = find(key, now);
        if (entry == nullptr) {
            continue;
        }
        listing.revision = std::max(listing.revision, entry->revision);
        if (hasPrefix(key, prefix) && key > after) {
            listing.keys.push_back(key);
        }
    }
    return listing;
}

platform_listing fake_platform::changes(const watch_objects &request) const
{
    platform_listing listing;
    listing.revision = std::max(request.revision, m_revision);
    for (const auto &[key, revisions] : m_objects) {
        if (hasPrefix(key, request.prefix) && revisions.back().revision > request.revision) {
            listing.keys.push_back(key);
        }
    }
    return listing;
}

void fake_platform::watch(const watch_objects &request, time_point now, answer done)
{
    platform_listing listing = changes(request);
    if (!listing.keys.empty()) {
        answerLater(now + faults.latency, std::move(done), platform_answer{std::move(listing)});
        return;
    }
    const std::uint64_t id = ++m_watchCount;
    m_watches.push_back({request, std::move(done), id});
    m_schedule(now + request.timeout, [this, id] {
        const auto place =
                std::find_if(m_watches.begin(), m_watches.end(),
                             [id](const waiting_watch &waiting) { return waiting.id == id; });
        if (place != m_watches.end()) {
            const waiting_watch waiting = std::move(*place);
            m_watches.erase(place);
            waiting.done(platform_answer{platform_listing{waiting.request.revision, {}}});
        }
    });
}

void fake_platform::endWatches(const std::string &key, time_point now)
{
    for (waiting_watch &waiting : std::exchange(m_watches, {})) {
        if (!hasPrefix(key, waiting.request.prefix)) {
            m_watches.push_back(std::move(waiting));
            continue;
        }
        answerLater(now + faults.latency, std::move(waiting.done),
                    platform_answer{changes(waiting.request)});
    }
}

} // namespace ebonyway
