#pragma once

#include <string>

/** Runs an instance that forwards encapsulated IP packets until it is told to stop. Returns the
 * exit code. */
int runTunnelInstance(const std::string &settingsFile, bool checkOnly);
