#pragma once

#include <string>

namespace ebonyway::standins {

/**
 * Compares text with tests/standins/golden/<name>.txt. Returns an empty string if they are equal,
 * else the lines around the first difference. If the environment variable EBONYWAY_UPDATE_GOLDEN
 * is set, the file is written instead; review the change before it is committed.
 */
std::string differenceFromGolden(const std::string &name, const std::string &text);

} // namespace ebonyway::standins
