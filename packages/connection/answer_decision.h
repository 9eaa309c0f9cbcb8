#pragma once

#include "connection/routing_strategy.h"

#include <variant>

namespace ebonyway {

/** Send the answer to the caller through the fabric. */
struct pass_action
{ };

/** Drop an answer whose sender is not the flow's backend server: late or crossed. */
struct drop_crossed_action
{ };

/** What to do with a packet from a backend server; relay_action asks the slot's home. */
using answer_decision = std::variant<pass_action, drop_crossed_action, relay_action>;

} // namespace ebonyway
