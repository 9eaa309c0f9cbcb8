#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** What the operators' command is asked to do. */
struct command_options
{
    std::string command; ///< A subcommand, or empty.
    std::vector<std::string> arguments; ///< What follows the subcommand.
    endpoint platform; ///< Port 0 if it is not given.
    std::vector<endpoint> instances; ///< Status addresses.
    std::string author;
    std::string svgFile; ///< Where `burn` writes its image; empty for none.
    std::string against; ///< File that `check-state` compares with; empty for none.
    std::uint32_t count = 10; ///< Notes that `history` shows.
    bool json = false;
    bool help = false;
};

/**
 * Parses a command line without the program's name. Fails with InvalidInput.
 *
 * @param defaultPlatform ADDRESS:PORT to use without --platform; may be empty.
 */
result<command_options> parseCommandLine(const std::vector<std::string> &words,
                                         const std::string &defaultPlatform);

/** Returns the help of a subcommand, or of the whole command if the name is empty or unknown. */
std::string helpText(const std::string &command);

/** Returns whether there is such a subcommand. */
bool isCommand(const std::string &name);

/** Returns whether the subcommand calls the platform. */
bool needsPlatform(const std::string &name);

} // namespace ebonyway
