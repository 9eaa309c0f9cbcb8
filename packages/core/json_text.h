#pragma once

#include "core/result.h"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace ebonyway {

/**
 * Parses a JSON object with comments. Refuses duplicate keys, trailing text and deep nesting, so
 * that one text has one meaning. Fails with InvalidInput, naming the line.
 */
result<Json::Value> parseJsonObject(const std::string &text);

/** Returns the value on one line, shortened to at most 60 characters for messages. */
std::string shortJson(const Json::Value &value);

/** Returns the value as compact JSON without a trailing line break. */
std::string compactJson(const Json::Value &value);

/** Returns the value as indented JSON with a trailing line break. */
std::string indentedJson(const Json::Value &value);

} // namespace ebonyway
