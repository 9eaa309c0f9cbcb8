#pragma once

#include "core/ids.h"
#include "core/ip_address.h"
#include "request/flow_key.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** SHA-256 over a release note and the digest of its predecessor. */
using note_digest = std::array<std::uint8_t, 32>;

/** Service-level objective of a service, for the burn report. */
struct service_objective
{
    double goodFlowRatio = 0.999; ///< Share of flows that must be good, in (0, 1).
    std::chrono::seconds window{30 * 24 * 3600}; ///< Length of the budget period.

    bool operator==(const service_objective &) const = default;
};

/** A service as it is in force. */
struct service
{
    service_id id;
    std::string name;
    std::vector<ip_address> addresses;
    transport_protocol protocol = transport_protocol::Tcp;
    std::uint16_t port = 0;
    std::chrono::seconds idleTimeout{900}; ///< A flow silent for longer has ended.
    service_objective objective;

    bool operator==(const service &) const = default;
};

/** A backend server as it is in force. */
struct backend_server
{
    backend_server_id id;
    service_id service;
    failure_domain_id failureDomain;
    std::string name;
    endpoint tunnel; ///< Where IP-in-UDP packets are sent.
    endpoint health; ///< HTTP health and load endpoint; port 0 if there is none.
    std::uint32_t weight = 100; ///< Relative share of new flows, 0..10000.
    std::uint32_t connectionLimit = 2000; ///< Most open flows it can hold.
    std::uint32_t slotLimit = 4; ///< Most requests it works on at the same time.
    bool draining = false; ///< Gets no new flows; its open flows run out.

    bool operator==(const backend_server &) const = default;
};

/** A failure domain as it is in force. */
struct failure_domain
{
    failure_domain_id id;
    std::string name;
    bool inService = true; ///< False after operators have taken it out.

    bool operator==(const failure_domain &) const = default;
};

/**
 * Everything that the accepted release notes 1..number add up to. Withdrawn objects are removed and
 * their ids are not reused.
 */
struct intent
{
    note_number number;
    note_digest digest{};
    std::vector<service> services; ///< Ordered by id.
    std::vector<backend_server> backendServers; ///< Ordered by id.
    std::vector<failure_domain> failureDomains; ///< Ordered by id.
    std::uint16_t nextServiceId = 0;
    std::uint16_t nextBackendServerId = 0;
    std::uint16_t nextFailureDomainId = 0;

    bool operator==(const intent &) const = default;
};

/** Returns the object with the id, or nullptr. The pointer is valid until the intent changes. */
const service *findService(const intent &current, service_id id);
const backend_server *findBackendServer(const intent &current, backend_server_id id);
const failure_domain *findFailureDomain(const intent &current, failure_domain_id id);

/** Returns whether a backend server may receive new flows by the operators' intent. */
bool acceptsNewFlows(const intent &current, const backend_server &server);

/** Returns whether a backend server may receive any packet by the operators' intent. */
bool acceptsPackets(const intent &current, const backend_server &server);

} // namespace ebonyway
