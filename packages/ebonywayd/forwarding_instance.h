#pragma once

#include <string>

/**
 * Runs an instance on the users' platform until it is told to stop. With an empty `settingsFile`
 * the platform's environment names the file. Returns the exit code.
 */
int runForwardingInstance(const std::string &settingsFile, bool checkOnly);
