#pragma once

#include "core/seeded_random.h"
#include "version/platform_store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ebonyway {

/** How often the fake platform misbehaves, in calls of 100. */
struct platform_faults
{
    std::uint64_t outage = 0; ///< The call is refused.
    std::uint64_t lostAnswer = 0; ///< A write takes effect, but its answer is lost.
    std::uint64_t lateWrite = 0; ///< A write times out and takes effect some calls later.
    std::uint64_t staleRead = 0; ///< A read misses objects of the last calls.
    std::uint64_t lateWriteLands = 30; ///< Late writes take effect at this call.
};

/** Platform in memory for tests. A seed repeats all faults. */
class fake_platform_store : public platform_store
{
public:
    explicit fake_platform_store(std::uint64_t seed = 1)
        : m_random(seed)
    { }

    platform_faults faults;
    std::function<void()> beforeCall; ///< Lets a test run another operator between two calls.
    std::uint64_t callCount = 0;

    result<stored_object> get(const std::string &key, timeout) override
    {
        if (!startCall()) {
            return outage();
        }
        const auto found = m_objects.find(key);
        if (found == m_objects.end() || isHidden(found->second)) {
            return error{error_kind::NotFound, key + " does not exist", "Check the key."};
        }
        return found->second.object;
    }

    result<std::string> createIfAbsent(const std::string &key, const std::string &value,
                                       timeout) override
    {
        return write({key, value, ""});
    }

    result<std::string> update(const std::string &key, const std::string &value,
                               const std::string &version, timeout) override
    {
        return write({key, value, version});
    }

    result<object_list> list(const std::string &prefix, const std::string &after, timeout) override
    {
        if (!startCall()) {
            return outage();
        }
        object_list listed{{}, callCount};
        for (const auto &[key, entry] : m_objects) {
            if (key.rfind(prefix, 0) == 0 && key > after && !isHidden(entry)) {
                listed.objects.push_back({key, entry.object.version});
            }
        }
        return listed;
    }

    result<object_list> watch(const std::string &, std::uint64_t revision, timeout) override
    {
        return object_list{{}, revision};
    }

    result<std::vector<platform_instance>> instances(timeout) override
    {
        return std::vector<platform_instance>{};
    }

    /** Lets all late writes take effect. */
    void settle()
    {
        for (const pending_write &late : m_late) {
            apply(late);
        }
        m_late.clear();
    }

    /** Returns the stored value without faults, or "". */
    std::string valueAt(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? "" : found->second.object.value;
    }

private:
    struct stored_entry
    {
        stored_object object;
        std::uint64_t writtenAt = 0;
    };
    struct pending_write
    {
        std::string key;
        std::string value;
        std::string version; ///< Empty for a creation.
    };

    static error outage()
    {
        return {error_kind::Unavailable, "the platform does not answer", "Try again later."};
    }

    bool happens(std::uint64_t percent) { return m_random.below(100) < percent; }

    bool startCall()
    {
        if (beforeCall) {
            beforeCall();
        }
        ++callCount;
        if (!m_late.empty() && happens(faults.lateWriteLands)) {
            settle();
        }
        return !happens(faults.outage);
    }

    bool isHidden(const stored_entry &candidate)
    {
        return candidate.writtenAt + 6 > callCount && happens(faults.staleRead);
    }

    result<std::string> write(const pending_write &wanted)
    {
        if (!startCall()) {
            return outage();
        }
        const error unknown{error_kind::OutcomeUnknown, "no answer to the write of " + wanted.key,
                            "Read it back."};
        if (happens(faults.lateWrite)) {
            m_late.push_back(wanted);
            return unknown;
        }
        result<std::string> outcome = apply(wanted);
        if (happens(faults.lostAnswer)) {
            return unknown;
        }
        return outcome;
    }

    result<std::string> apply(const pending_write &wanted)
    {
        const auto found = m_objects.find(wanted.key);
        const std::string current = found == m_objects.end() ? "" : found->second.object.version;
        if (current != wanted.version) {
            return error{error_kind::Conflict, wanted.key + " has another version", "Read it."};
        }
        std::string version = std::to_string(++m_versions);
        m_objects[wanted.key] = {{wanted.value, version}, callCount};
        return version;
    }

    seeded_random m_random;
    std::map<std::string, stored_entry> m_objects;
    std::vector<pending_write> m_late;
    std::uint64_t m_versions = 0;
};

} // namespace ebonyway
