#pragma once

#include <json/json.h>

#include <string>

namespace ebonyway::standins {

/** Writes a value as one line without a line end. */
std::string formatJsonLine(const Json::Value &value);

/** Prints the value on stdout as one line and flushes it. Not thread-safe. */
void printJsonLine(const Json::Value &value);

/** Prints an event: the fields with "event" set to the name. */
void printEvent(const std::string &name, Json::Value fields = Json::Value(Json::objectValue));

} // namespace ebonyway::standins
