#pragma once

#include "forwarding/process/store_call.h"

#include <string>

namespace ebonyway::platform {

/** Returns the path and query of a call to the platform's store. */
std::string encodeCall(const store_call &call);

/**
 * Reads the store's answer to a call. Objects that cannot be read are returned with a fault; the
 * others hold.
 */
store_answer decodeAnswer(const store_call &call, int httpStatus, const std::string &body);

/**
 * Returns the number that a backend server's id stands for in the prefix of a packet: its hex
 * digits. Nothing if it has none or more than 16.
 */
std::optional<server_key> decodeServerKey(const std::string &id);

} // namespace ebonyway::platform
