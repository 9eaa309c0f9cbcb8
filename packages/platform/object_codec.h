#pragma once

#include "core/result.h"
#include "forwarding/process/store_call.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ebonyway::platform {

/** Encodes the path and query of a call to the platform's object store. */
std::string encodeCall(const store_call &call);

/**
 * Decodes the store's answer to a call. Each object that cannot be decoded is returned with a fault
 * and does not affect the others.
 */
store_answer decodeAnswer(const store_call &call, int httpStatus, const std::string &body);

/**
 * Decodes the header in which the store tells its era; header names are in lower case. Returns zero
 * if there is none or it is not a number.
 */
std::uint64_t decodeEra(const std::map<std::string, std::string> &headers);

/**
 * Decodes the hexadecimal digits of a backend server's id into the key that the packet prefix
 * carries. Returns std::nullopt if there are no such digits or more than 16.
 */
std::optional<server_key> decodeServerKey(const std::string &id);

/**
 * Decodes a route's "pathPrefix", which holds the port between slashes, for example "/8443/".
 * Returns std::nullopt if it does not have this form or the port exceeds 65535.
 */
std::optional<std::uint16_t> decodeRoutePort(const std::string &text);

/** Decodes an entry of "routes". Backend shares with weight 0 are left out. */
result<route> decodeRoute(const Json::Value &object);

/** Decodes an entry of "services". */
result<service_limits> decodeServiceLimits(const Json::Value &object);

/** Decodes the idle timeout from the object "limits". Returns zero if it is missing. */
std::chrono::milliseconds decodeIdleTimeout(const Json::Value &limits);

} // namespace ebonyway::platform
