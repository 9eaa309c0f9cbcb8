#pragma once

#include <string>

namespace ebonyway {

/** Returns the number with a fixed count of decimals, for example "14.4". */
std::string decimalText(double value, int decimals);

/** Returns a share as a percentage with as many decimals as it needs, for example "99.95%". */
std::string percentText(double share);

} // namespace ebonyway
