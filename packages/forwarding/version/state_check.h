#pragma once

#include "forwarding/version/store_objects.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ebonyway {

/** Severity of a finding: an error makes the state unfit to be sent. */
enum class state_severity : std::uint8_t {
    Error,
    Warning,
};

/** A fault of a desired state. */
struct state_finding
{
    state_severity severity = state_severity::Error;
    std::string code; ///< Stable name of the kind of finding, for scripts.
    std::string place; ///< In the document, for example "routes[2].name".
    std::string message;
    std::string remedy;
};

/** Fields of a desired state that findings refer to. */
enum class state_field : std::uint8_t {
    Version,
    Name,
    Address,
    Shares,
    Goal,
    Timeout,
    ConnectionLimit,
    ColdDuration,
    ColdRate,
    IdleTimeout,
};

/** Returns the name of a field in the document. */
using state_field_namer = std::function<std::string(state_field)>;

/** A share as it is written; unlike those of `route`, it may have weight 0. */
struct drafted_share
{
    std::string place;
    std::string service;
    std::uint32_t weight = 1;
};

struct drafted_route
{
    std::string place;
    route item;
    std::vector<drafted_share> shares;
};

struct drafted_service
{
    std::string place;
    service_limits item;
};

/** What could be decoded of a desired state, with places in its document. */
struct state_draft
{
    std::uint64_t version = 0; ///< Zero if it could not be decoded.
    std::vector<drafted_route> routes;
    std::vector<drafted_service> services;
    std::chrono::milliseconds idleTimeout{0};
    bool isComplete = true; ///< Every route and service could be decoded.
};

/**
 * Returns the findings about a desired state by itself. Whether the services of routes are listed
 * and used is only checked if the draft is complete.
 */
std::vector<state_finding> checkState(const state_draft &draft, const state_field_namer &nameOf);

/** Returns the findings about a desired state that is to replace another. */
std::vector<state_finding> checkSuccession(const state_draft &inForce, const state_draft &next,
                                           const state_field_namer &nameOf);

/** One difference between two desired states. */
struct state_change
{
    enum class change_kind : std::uint8_t {
        Added,
        Removed,
        Changed,
    };

    change_kind kind = change_kind::Changed;
    std::string subject; ///< "route", "service" or "state".
    std::string name; ///< Of the route or service.
    std::string field; ///< Changed only.
    std::string before; ///< Changed only.
    std::string after; ///< Changed only.
    bool endsFlows = false; ///< Open flows of the route end.
    std::string text; ///< The change in plain words.
};

/** Returns the differences; routes and services are matched by name, and their order is ignored. */
std::vector<state_change> compareStates(const state_draft &inForce, const state_draft &next);

} // namespace ebonyway
