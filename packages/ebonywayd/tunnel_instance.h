#pragma once

#include <string>

/**
 * Runs an instance that forwards encapsulated IP packets until a stop is requested. With
 * `checkOnly`, validates the settings and returns. Returns the exit code.
 */
int runTunnelInstance(const std::string &settingsFile, bool checkOnly);
