#pragma once

#include "core/result.h"

#include <string>

namespace ebonyway {

/** Reads a whole file. Fails with NotFound if it cannot be read. */
result<std::string> readTextFile(const std::string &file);

} // namespace ebonyway
