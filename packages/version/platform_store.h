#pragma once

#include "core/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** An object of the platform and the version that a conditional update names. */
struct stored_object
{
    std::string value;
    std::string version;
};

/** An object in a list, without its value. */
struct listed_object
{
    std::string key;
    std::string version;
};

/** Objects in key order, and the revision from which a watch continues. */
struct object_list
{
    std::vector<listed_object> objects;
    std::uint64_t revision = 0;
};

/** An instance in the platform's list, which lags. */
struct platform_instance
{
    std::uint32_t id = 0;
    bool leaving = false;
    std::string failureDomain;
    std::string gossip; ///< ADDRESS:PORT of its gossip port.
};

/**
 * The platform's object API (section 7 of the design page). Calls block for at most their timeout.
 *
 * Any call fails with Unavailable if the platform is certain not to have taken it, for example
 * because the connection was refused. A write whose answer was lost fails with OutcomeUnknown.
 * Reads may be stale.
 */
class platform_store
{
public:
    using timeout = std::chrono::milliseconds;

    virtual ~platform_store() = default;

    /** Reads an object. Fails with NotFound, or Unavailable. */
    virtual result<stored_object> get(const std::string &key, timeout limit) = 0;

    /** Creates an object and returns its version. Fails with Conflict if it exists. */
    virtual result<std::string> createIfAbsent(const std::string &key, const std::string &value,
                                               timeout limit) = 0;

    /** Replaces an object and returns its new version. Fails with Conflict on another version. */
    virtual result<std::string> update(const std::string &key, const std::string &value,
                                       const std::string &version, timeout limit) = 0;

    /** Lists the objects whose keys start with the prefix and follow `after` in key order. */
    virtual result<object_list> list(const std::string &prefix, const std::string &after,
                                     timeout limit) = 0;

    /** Waits for changes after the revision. Returns an empty list if there is none in time. */
    virtual result<object_list> watch(const std::string &prefix, std::uint64_t revision,
                                      timeout limit) = 0;

    /** Lists the instances that the platform knows of. */
    virtual result<std::vector<platform_instance>> instances(timeout limit) = 0;
};

} // namespace ebonyway
