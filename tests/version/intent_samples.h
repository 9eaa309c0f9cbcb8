#pragma once

#include "version/intent.h"

#include <string>

namespace ebonyway {

/** Adds a failure domain and returns its id. */
inline failure_domain_id addDomain(intent &target, const std::string &name)
{
    target.failureDomains.push_back({{target.nextFailureDomainId++}, name, true});
    return target.failureDomains.back().id;
}

/** Adds a TCP service on port 443 at 203.0.113.0 plus its id and returns its id. */
inline service_id addService(intent &target, const std::string &name)
{
    service added;
    added.id = {target.nextServiceId++};
    added.name = name;
    added.addresses = {ip_address::fromV4(0xcb007100U + added.id.value)};
    added.port = 443;
    target.services.push_back(added);
    return added.id;
}

/** Adds a backend server with weight 100 and returns its id. */
inline backend_server_id addServer(intent &target, service_id service, failure_domain_id domain)
{
    backend_server added;
    added.id = {target.nextBackendServerId++};
    added.service = service;
    added.failureDomain = domain;
    added.name = "server-" + std::to_string(added.id.value);
    added.tunnel = {ip_address::fromV4(0x0a000000U + added.id.value), 6080};
    target.backendServers.push_back(added);
    return added.id;
}

/** One service with the given number of backend servers, spread over three failure domains. */
inline intent sampleIntent(std::size_t servers)
{
    intent sample;
    sample.number = {1};
    for (const char *name : {"casa-ain", "casa-sidi", "casa-bouskoura"}) {
        addDomain(sample, name);
    }
    const service_id vitrine = addService(sample, "vitrine");
    for (std::size_t i = 0; i < servers; ++i) {
        addServer(sample, vitrine, {static_cast<std::uint16_t>(i % 3)});
    }
    return sample;
}

} // namespace ebonyway
