#pragma once

#include "core/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** One version of an object. The version is the revision of the write that made it. */
struct stored_object
{
    std::string value;
    std::uint64_t version = 0;
};

/** Key and version of an object, as listed. */
struct object_version
{
    std::string key;
    std::uint64_t version = 0;

    bool operator==(const object_version &) const = default;
};

/** Condition of a write. */
struct write_condition
{
    bool mustBeAbsent = false; ///< If-None-Match: *
    std::optional<std::uint64_t> mustBeVersion; ///< If-Match: "<version>"
};

/** Outcome of a write. */
enum class write_outcome : std::uint8_t {
    Created,
    Updated,
    PreconditionFailed,
    ConditionMissing, ///< The platform accepts only conditional writes.
    TooLarge,
};

/**
 * The platform's objects with their versions. Every write gets the next revision. A store that
 * comes back from an older copy gives revisions out again, in the next era.
 */
class platform_store
{
public:
    write_outcome put(const std::string &key, const std::string &value,
                      const write_condition &condition);
    /** Returns the object as it was at the revision, or nothing. */
    std::optional<stored_object> get(const std::string &key, std::uint64_t revision) const;
    /** Returns the objects below the prefix after a key, as they were at the revision. */
    std::vector<object_version> list(const std::string &prefix, const std::string &after,
                                     std::uint64_t revision) const;
    /** Returns the objects below the prefix that were written after the revision. */
    std::vector<object_version> changesAfter(const std::string &prefix,
                                             std::uint64_t revision) const;
    std::uint64_t revision() const { return m_revision; }
    std::uint64_t era() const { return m_era; }

    /** Takes the content of an older copy and begins the next era. */
    void restoreCopy(const platform_store &copy);

    /** Writes the latest versions as JSON. */
    std::string save() const;
    /** Replaces the content by a saved one. Fails with InvalidInput. */
    status load(const std::string &saved);

private:
    std::map<std::string, std::vector<stored_object>> m_objects; ///< Versions, oldest first.
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 1;
};

} // namespace ebonyway::standins
