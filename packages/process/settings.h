#pragma once

#include "core/ids.h"
#include "core/ip_address.h"
#include "core/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Offsets of an instance's ports from its base port. Peers derive each other's ports from them. */
enum class port_offset : std::uint16_t {
    Fabric = 0,
    Answer = 1,
    Relay = 2,
    Gossip = 3,
    Sync = 4,
    Status = 5,
};

/** Settings of one instance, read from a JSON file with comments. */
struct settings
{
    instance_id instance;
    std::string failureDomain; ///< Name as written in the release notes.

    ip_address address; ///< Where this instance listens and what its peers send to.
    std::uint16_t basePort = 0; ///< First of six consecutive ports, see port_offset.
    endpoint fabric; ///< Where packets for callers are sent.
    endpoint platform; ///< HTTP object API.
    std::vector<endpoint> seeds; ///< Gossip addresses of some other instances.

    std::vector<std::byte> deploymentKey; ///< Shared by all instances of the deployment.

    std::size_t trackedFlows = 300'000; ///< Capacity of the tracked flow table.
    std::size_t probationFlows = 65'536; ///< First packets remembered at the same time.
    unsigned trafficThreads = 1;

    std::chrono::milliseconds freshnessLimit{2000};
    std::chrono::milliseconds stopGrace{10'000}; ///< Longest graceful stop.

    std::string logLevel = "info";
    std::string logFile; ///< Empty for standard output.

    /** Returns the endpoint of one of this instance's ports. */
    endpoint listenOn(port_offset offset) const;
};

/**
 * Reads and checks a settings file and the deployment key file that it names. Fails with
 * InvalidInput or NotFound; the message names the file, the key, the value and the remedy.
 */
result<settings> readSettings(const std::string &file);

/** Checks settings text as if it had been read from `file`. The key file is not read. */
result<settings> parseSettings(const std::string &file, const std::string &text);

/** Returns the endpoint of another port of the instance whose gossip endpoint is given. */
endpoint peerPort(const endpoint &gossip, port_offset offset);

} // namespace ebonyway
