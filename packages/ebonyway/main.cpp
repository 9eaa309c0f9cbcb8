#include "ebonyway/command_options.h"
#include "ebonyway/experiment_command.h"
#include "ebonyway/operator_commands.h"
#include "process/edge/http_platform_store.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace ebonyway {

namespace {

constexpr std::chrono::milliseconds PageTimeout{3000};

result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        return error{error_kind::NotFound, "the file " + path + " cannot be read",
                     "Check the path and its permissions."};
    }
    return content.str();
}

status writeFile(const std::string &path, const std::string &content)
{
    std::ofstream stream(path, std::ios::binary);
    stream << content;
    stream.close();
    if (!stream) {
        return error{error_kind::Internal, "the file " + path + " cannot be written",
                     "Check the path and its permissions."};
    }
    return {};
}

command_edges makeEdges()
{
    command_edges edges;
    edges.readFile = readFile;
    edges.writeFile = writeFile;
    edges.readPage = [](const endpoint &instance, const std::string &path) {
        return readHttpPage(instance, path, PageTimeout);
    };
    edges.wait = [](std::chrono::milliseconds length) {
        std::this_thread::sleep_for(length);
    };
    edges.seed = std::random_device{}();
    edges.now = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    return edges;
}

command_outcome runCommand(const std::vector<std::string> &words)
{
    if (!words.empty() && words.front() == "experiment") {
        return runExperimentCommand({words.begin() + 1, words.end()}, makeEdges());
    }
    const char *platform = std::getenv("EBONYWAY_PLATFORM");
    const auto options = parseCommandLine(words, platform == nullptr ? "" : platform);
    if (!isOk(options)) {
        return failureOutcome(errorOf(options), false, UsageExitCode);
    }
    const command_options &read = valueOf(options);
    if (read.platform.port == 0 && !read.help && needsPlatform(read.command)) {
        const error missing{error_kind::InvalidInput, "the platform's address is not given",
                            "Use --platform ADDRESS:PORT or set EBONYWAY_PLATFORM."};
        return failureOutcome(missing, read.json, UsageExitCode);
    }
    http_platform_store store(read.platform);
    return operator_commands(store, makeEdges()).run(read);
}

} // namespace

} // namespace ebonyway

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const ebonyway::command_outcome outcome = ebonyway::runCommand(words);
    std::cout << outcome.output;
    std::cerr << outcome.errors;
    return outcome.exitCode;
}
