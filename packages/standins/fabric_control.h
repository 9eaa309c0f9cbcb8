#pragma once

#include <string>

namespace ebonyway::standins {

class fabric_model;

/**
 * Executes one line of the fabric's control port and returns the reply, "ok" or "error: ...".
 *
 * Commands: `add ID=ADDRESS:PORT@DOMAIN`, `remove ID`, `drop RATIO`, `delay MILLISECONDS`,
 * `reorder RATIO [MILLISECONDS]`, `cut DOMAIN DOMAIN`, `heal DOMAIN DOMAIN`,
 * `place CALLER_ADDRESS DOMAIN`. The domain `-` holds the callers that were not placed.
 */
std::string runFabricCommand(fabric_model &fabric, const std::string &line);

} // namespace ebonyway::standins
