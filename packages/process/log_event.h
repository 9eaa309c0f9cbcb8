#pragma once

#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

/** A log line with a stable name and fields, to be written by the process edge. */
struct log_event
{
    std::string name; ///< Lower case with underscores, for example "member_suspected".
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace ebonyway
