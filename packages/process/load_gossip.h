#pragma once

#include "connection/admission_policy.h"
#include "process/gossip_message.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/**
 * Spreads health and load reports of backend servers. A report is sent a few times when it is
 * learned; reports that change little are not spread, which bounds the bytes at large sizes.
 */
class load_gossip
{
public:
    explicit load_gossip(instance_id self);

    /** Takes the result of a probe by this instance in the given round. */
    void onProbe(const load_report &report, std::uint64_t round, std::size_t memberCount);

    /**
     * Merges the summaries of a message. Returns the reports that are newer than those known, for
     * the admission policy.
     */
    std::vector<load_report> merge(const gossip_message &message, std::size_t memberCount);

    /**
     * Adds summaries of at most the given encoded size, changes of health first. message.round must
     * be set.
     */
    void fill(gossip_message &message, std::size_t budget);

    /** Forgets backend servers that are not in the list. */
    void keepOnly(const std::vector<backend_server_id> &backendServers);

    /** Returns about how many bytes the reports take. */
    std::size_t stateBytes() const;

private:
    struct known_report
    {
        load_summary summary;
        std::uint64_t round = 0; ///< Round of the probe.
        std::uint8_t rumorsLeft = 0;
        bool isUrgent = false; ///< Tells a change of health, which is sent before load changes.
    };
    struct told_report
    {
        load_summary summary;
        std::uint64_t round = 0;
    };

    static bool hasHealthChanged(const load_summary &before, const load_summary &after);
    static bool isWorthTelling(const load_summary &before, const load_summary &after);

    instance_id m_self;
    std::unordered_map<backend_server_id, known_report> m_reports;
    std::unordered_map<backend_server_id, told_report> m_told; ///< Own reports as last spread.
};

} // namespace ebonyway
