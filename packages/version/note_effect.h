#pragma once

#include <string>
#include <vector>

namespace ebonyway {

class route_plan;

/**
 * Describes in plain words what changes between two plans, one sentence a line, for the operators
 * who read a release note before it is accepted.
 */
std::vector<std::string> describeEffect(const route_plan &before, const route_plan &after);

} // namespace ebonyway
