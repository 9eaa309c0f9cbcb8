#include "core/text_file.h"

#include <fstream>
#include <sstream>

namespace ebonyway {

result<std::string> readTextFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return error{error_kind::NotFound, "cannot read '" + file + "'",
                     "Check the path and the permissions of the file."};
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

} // namespace ebonyway
