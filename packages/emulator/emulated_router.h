#pragma once

#include "emulator/emulated_packet.h"
#include "emulator/scenario.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** The routers: send callers' packets to the instances that answered that they are ready. */
class emulated_router
{
public:
    explicit emulated_router(router_hash hash);

    void add(std::uint64_t instance, const std::string &failureDomain);
    /** Asks every instance once. Call it twice a second. */
    void poll(const std::function<bool(std::uint64_t)> &isReady);
    /** Returns the instance for a packet of the flow, if there is any. */
    std::optional<std::uint64_t> choose(const flow_id &flow,
                                        const std::string &failureDomain) const;

private:
    struct member
    {
        std::string failureDomain;
        std::uint32_t misses = 0;
        bool inRotation = true;
    };

    std::vector<std::uint64_t> membersOf(const std::string &failureDomain) const;

    router_hash m_hash;
    std::map<std::uint64_t, member> m_members;
};

} // namespace ebonyway
