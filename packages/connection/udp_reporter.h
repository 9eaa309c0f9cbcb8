#pragma once

#include "connection/engine_message.h"

#include <deque>
#include <vector>

namespace ebonyway {

class peer_exchange;
class route_plan;
class udp_seen_set;

/** Answers requests of homes for the UDP flows seen by this instance, at a limited rate. */
class udp_reporter
{
public:
    udp_reporter(const udp_seen_set &seen, peer_exchange &exchange);

    void addRequest(instance_id from, udp_request request);
    /** Sends the next part of the answer to the oldest request whose note is adopted. */
    void advance(const route_plan &plan, time_point now);

private:
    struct open_request
    {
        instance_id from;
        udp_request request;
        bool collected = false;
        std::vector<flow_hash> flows;
    };

    void sendPart(open_request &open);

    const udp_seen_set &m_seen;
    peer_exchange &m_exchange;
    std::deque<open_request> m_requests;
};

/** Returns the flows in the slots that were seen within the service's idle timeout. */
std::vector<flow_hash> seenInSlots(const udp_seen_set &seen, const route_plan &plan,
                                   service_id service, std::vector<std::uint16_t> slots,
                                   time_point now);

} // namespace ebonyway
