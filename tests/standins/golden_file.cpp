#include "standins/golden_file.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

namespace ebonyway::standins {

namespace {

/** Lines shown before and after the first difference. */
constexpr std::size_t ContextBefore = 3;
constexpr std::size_t ContextAfter = 8;

std::vector<std::string> splitLines(std::istream &stream)
{
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::string excerpt(const std::vector<std::string> &lines, std::size_t first, std::size_t last,
                    const std::string &mark)
{
    std::string text;
    for (std::size_t i = first; i < std::min(last, lines.size()); ++i) {
        text += mark + std::to_string(i + 1) + ": " + lines[i] + "\n";
    }
    return text;
}

} // namespace

std::string differenceFromGolden(const std::string &name, const std::string &text)
{
    const std::string path = "tests/standins/golden/" + name + ".txt";
    if (std::getenv("EBONYWAY_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
        return {};
    }
    std::ifstream file(path);
    if (!file) {
        return path + " is missing; run with EBONYWAY_UPDATE_GOLDEN=1 to write it";
    }
    std::istringstream actualText(text);
    const std::vector<std::string> expected = splitLines(file);
    const std::vector<std::string> actual = splitLines(actualText);
    const auto difference =
            std::mismatch(expected.begin(), expected.end(), actual.begin(), actual.end());
    if (difference.first == expected.end() && difference.second == actual.end()) {
        return {};
    }
    const auto at = static_cast<std::size_t>(difference.first - expected.begin());
    const std::size_t before = at - std::min(at, ContextBefore);
    return path + " differs from line " + std::to_string(at + 1) + " on\n"
           + excerpt(expected, before, at, "  ")
           + excerpt(expected, at, at + ContextAfter, "- expected ")
           + excerpt(actual, at, at + ContextAfter, "+ actual   ");
}

} // namespace ebonyway::standins
