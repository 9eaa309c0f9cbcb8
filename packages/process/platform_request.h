#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "core/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ebonyway {

/** GET /objects/<key>. Answered by platform_object, or NotFound. */
struct get_object
{
    std::string key;
};

/**
 * PUT /objects/<key>: create if absent when no version is given, else conditional update. Answered
 * by platform_version; Conflict if the condition failed; OutcomeUnknown if no answer came.
 */
struct put_object
{
    std::string key;
    std::string value;
    std::optional<std::string> ifVersion;
};

/** GET /objects?prefix=&after=. Answered by platform_listing. */
struct list_objects
{
    std::string prefix;
    std::string after;
};

/** GET /watch: waits for changes after a revision. Answered by platform_listing. */
struct watch_objects
{
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds timeout{0};
};

/** GET /instances. Answered by platform_instances. */
struct list_instances
{ };

using platform_request =
        std::variant<get_object, put_object, list_objects, watch_objects, list_instances>;

/** A stored object. */
struct platform_object
{
    std::string value;
    std::string version;
};

/** The version that a successful write gave an object. */
struct platform_version
{
    std::string version;
};

/** Keys of a prefix in order, or those changed during a watch. */
struct platform_listing
{
    std::uint64_t revision = 0;
    std::vector<std::string> keys;
};

/** The platform's lagging list of instances. */
struct platform_instances
{
    std::vector<endpoint> gossipEndpoints;
};

using platform_answer =
        std::variant<platform_object, platform_version, platform_listing, platform_instances>;

} // namespace ebonyway
