#pragma once

#include "ebonyway/operator_commands.h"

#include <string>
#include <vector>

namespace ebonyway {

/** Runs `ebonyway experiment` with the words after it. Reads and writes files by the edges. */
command_outcome runExperimentCommand(const std::vector<std::string> &words,
                                     const command_edges &edges);

} // namespace ebonyway
