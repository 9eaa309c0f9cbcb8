#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Settings of a forwarding instance, read from a JSON file with comments. */
struct forwarding_settings
{
    std::string instance; ///< Name, for logs and peers.
    std::string failureDomain;

    endpoint traffic; ///< UDP: packets of callers arrive here.
    endpoint readiness; ///< HTTP: routers ask here whether this instance takes packets.
    endpoint metrics; ///< HTTP: counters and latencies.
    endpoint peers; ///< UDP and TCP: messages of other instances, on the same port everywhere.
    std::vector<endpoint> seeds; ///< Some other instances; the port in the file does not matter.
    endpoint store;

    std::chrono::milliseconds heartbeat{1200}; ///< Interval of the backend servers' reports.
    std::chrono::milliseconds stopGrace{6000}; ///< After SIGTERM the process is killed.
    std::uint32_t flowCapacity = 65'536; ///< Flows that are remembered at the same time.
    std::string logLevel = "info";

    bool operator==(const forwarding_settings &) const = default;
};

/**
 * Checks settings text as if it had been read from `file`. Fails with InvalidInput; the message
 * names the file, the key, the value and the remedy.
 */
result<forwarding_settings> parseForwardingSettings(const std::string &file,
                                                    const std::string &text);

} // namespace ebonyway
