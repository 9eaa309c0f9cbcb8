#pragma once

#include "ebonyway/operator_commands.h"

namespace ebonyway {

/** Exit code of `check-state` if there are warnings but no errors. */
constexpr int WarningsExitCode = 10;

/** Runs `ebonyway check-state`: checks a desired state before it is sent to the store. */
command_outcome runCheckState(const command_options &options, const command_edges &edges);

} // namespace ebonyway
