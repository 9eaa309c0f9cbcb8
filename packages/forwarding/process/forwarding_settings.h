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
    std::string instance; ///< Instance name, used in logs and in messages to peers.
    std::string failureDomain;

    endpoint traffic; ///< UDP address that receives packets from callers.
    endpoint readiness; ///< HTTP address of the readiness check that routers poll.
    endpoint metrics; ///< HTTP address that serves counters and latencies.
    endpoint peers; ///< UDP and TCP address for peers; all instances use the same port.
    std::vector<endpoint> seeds; ///< First instances to contact; the peer port replaces their port.
    endpoint store;

    std::chrono::milliseconds heartbeat{1200}; ///< Interval of backend server reports.
    std::chrono::milliseconds stopGrace{6000}; ///< Time between SIGTERM and the kill.
    bool firstStart = false; ///< The whole deployment starts for the first time.
    std::uint32_t flowCapacity = 65'536; ///< Maximum number of tracked flows.
    std::string logLevel = "info";

    bool operator==(const forwarding_settings &) const = default;
};

/**
 * Parses and validates settings. `file` is used only in error messages. Fails with InvalidInput;
 * the message names the file, the key, the value and the remedy.
 */
result<forwarding_settings> parseForwardingSettings(const std::string &file,
                                                    const std::string &text);

} // namespace ebonyway
