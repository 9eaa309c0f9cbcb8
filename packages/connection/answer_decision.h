#pragma once

#include "connection/routing_strategy.h"

#include <variant>

namespace ebonyway {

/** Forward the answer to the caller through the fabric. */
struct pass_action
{ };

/**
 * Drop an answer whose sender is not the flow's backend server. Such an answer is late, or another
 * server sent it by mistake; the metrics call it crossed.
 */
struct drop_crossed_action
{ };

/** What to do with a packet from a backend server; relay_action lets the slot's home decide. */
using answer_decision = std::variant<pass_action, drop_crossed_action, relay_action>;

} // namespace ebonyway
