#include "standins/request_line.h"

#include <array>
#include <charconv>
#include <sstream>
#include <utility>
#include <vector>

namespace ebonyway::standins {

namespace {

constexpr std::array<std::pair<request_verb, const char *>, 4> VerbNames{{
        {request_verb::Get, "GET"},
        {request_verb::Hold, "HOLD"},
        {request_verb::Put, "PUT"},
        {request_verb::Ping, "PING"},
}};

constexpr std::array<std::pair<answer_verdict, const char *>, 3> VerdictNames{{
        {answer_verdict::Done, "DONE"},
        {answer_verdict::NotRun, "NOTRUN"},
        {answer_verdict::Failed, "FAILED"},
}};

const std::string IdPrefix = "id=";
const std::string DeadlinePrefix = "deadline_ms=";

template <typename Table>
auto findByName(const Table &table, const std::string &name)
        -> std::optional<decltype(table.front().first)>
{
    for (const auto &entry : table) {
        if (name == entry.second) {
            return entry.first;
        }
    }
    return std::nullopt;
}

template <typename Table, typename Value>
std::string nameIn(const Table &table, Value value)
{
    for (const auto &entry : table) {
        if (entry.first == value) {
            return entry.second;
        }
    }
    return {};
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string> splitWords(const std::string &line)
{
    std::istringstream stream(line);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

std::string joinWords(const std::vector<std::string> &words, std::size_t first, std::size_t last)
{
    std::string text;
    for (std::size_t i = first; i < last; ++i) {
        text += (i == first ? "" : " ") + words[i];
    }
    return text;
}

/** Takes one word behind the verb; returns whether it is valid. */
bool addWord(request_line &request, const std::string &word)
{
    if (word.starts_with(DeadlinePrefix)) {
        const auto number = parseNumber(word.substr(DeadlinePrefix.size()));
        request.deadline = std::chrono::milliseconds(number.value_or(0));
        return number.has_value();
    }
    if (word.starts_with(IdPrefix)) {
        request.id = word.substr(IdPrefix.size());
        return !request.id.empty();
    }
    request.argument += (request.argument.empty() ? "" : " ") + word;
    return true;
}

} // namespace

std::optional<request_line> parseRequestLine(const std::string &line)
{
    const std::vector<std::string> words = splitWords(line);
    const auto verb = words.empty() ? std::nullopt : findByName(VerbNames, words.front());
    if (!verb) {
        return std::nullopt;
    }
    request_line request;
    request.verb = *verb;
    for (std::size_t i = 1; i < words.size(); ++i) {
        if (!addWord(request, words[i])) {
            return std::nullopt;
        }
    }
    if (request.verb == request_verb::Hold) {
        request.id = request.argument;
    }
    const bool needsNumber = request.verb == request_verb::Put;
    if (request.id.empty() || (needsNumber && !parseNumber(request.argument))) {
        return std::nullopt;
    }
    return request;
}

std::string formatRequestLine(const request_line &request)
{
    std::string line = nameIn(VerbNames, request.verb) + " " + request.argument;
    if (request.verb != request_verb::Hold) {
        line += " " + IdPrefix + request.id;
    }
    if (request.deadline) {
        line += " " + DeadlinePrefix + std::to_string(request.deadline->count());
    }
    return line;
}

std::uint64_t bodyLength(const request_line &request)
{
    return request.verb == request_verb::Put ? parseNumber(request.argument).value_or(0) : 0;
}

std::optional<answer_line> parseAnswerLine(const std::string &line)
{
    const std::vector<std::string> words = splitWords(line);
    if (words.size() < 5 || words.back() != "end") {
        return std::nullopt;
    }
    const auto verdict = findByName(VerdictNames, words[0]);
    if (!verdict) {
        return std::nullopt;
    }
    return answer_line{*verdict, words[1], words[2], words[3],
                       joinWords(words, 4, words.size() - 1)};
}

std::string formatAnswerLine(const answer_line &answer)
{
    return nameIn(VerdictNames, answer.verdict) + " " + answer.service + " " + answer.server + " "
           + answer.id + " " + answer.detail + " end";
}

} // namespace ebonyway::standins
