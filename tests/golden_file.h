#pragma once

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace ebonyway {

inline std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

inline std::string markedLine(char mark, std::size_t index, const std::string &line)
{
    return mark + std::to_string(index + 1) + ": " + line + "\n";
}

/** Returns the lines that differ: "-" marks expected lines, "+" actual ones, with line numbers. */
inline std::string lineDifference(const std::string &expectedText, const std::string &actualText)
{
    const std::vector<std::string> expected = splitLines(expectedText);
    const std::vector<std::string> actual = splitLines(actualText);
    // common[i][j]: length of the longest common subsequence of the lines from i and j on.
    std::vector<std::vector<std::size_t>> common(expected.size() + 1,
                                                 std::vector<std::size_t>(actual.size() + 1, 0));
    for (std::size_t i = expected.size(); i-- > 0;) {
        for (std::size_t j = actual.size(); j-- > 0;) {
            common[i][j] = expected[i] == actual[j] ? common[i + 1][j + 1] + 1
                                                    : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string difference;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < expected.size() || j < actual.size()) {
        if (i < expected.size() && j < actual.size() && expected[i] == actual[j]) {
            ++i;
            ++j;
        } else if (j == actual.size()
                   || (i < expected.size() && common[i + 1][j] >= common[i][j + 1])) {
            difference += markedLine('-', i, expected[i]);
            ++i;
        } else {
            difference += markedLine('+', j, actual[j]);
            ++j;
        }
    }
    return difference;
}

/**
 * Compares text with the file tests/<path> and prints the lines that differ. With the environment
 * variable EBONYWAY_UPDATE_GOLDEN set, it also writes the file. The run that does so still fails,
 * so that updating never counts as passing.
 */
inline bool matchesGoldenFile(const std::string &path, const std::string &actual)
{
    const std::string file = "tests/" + path;
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream expected;
    expected << stream.rdbuf();
    if (stream && expected.str() == actual) {
        return true;
    }
    std::cout << file << " differs (-: expected, +: actual):\n"
              << lineDifference(expected.str(), actual);
    if (std::getenv("EBONYWAY_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(file, std::ios::binary) << actual;
        std::cout << file << " has been written; read it before committing it\n";
    }
    return false;
}

} // namespace ebonyway
