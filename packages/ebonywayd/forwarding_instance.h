#pragma once

#include <string>

/**
 * Runs a forwarding instance on the platform until a stop is requested. If `settingsFile` is empty,
 * the path is taken from the environment variable EBONYWAY_SETTINGS. With `checkOnly`, validates
 * the settings and returns. Returns the exit code.
 */
int runForwardingInstance(const std::string &settingsFile, bool checkOnly);
