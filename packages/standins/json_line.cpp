#include "standins/json_line.h"

#include <iostream>
#include <utility>

namespace ebonyway::standins {

std::string formatJsonLine(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

void printJsonLine(const Json::Value &value)
{
    std::cout << formatJsonLine(value) << std::endl;
}

void printEvent(const std::string &name, Json::Value fields)
{
    fields["event"] = name;
    printJsonLine(fields);
}

} // namespace ebonyway::standins
