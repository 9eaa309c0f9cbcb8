#include "core/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>

namespace ebonyway {

namespace {

/** The deepest valid document has five levels; more would only cost stack. */
constexpr int MaxNesting = 32;

constexpr std::size_t ShownValueLength = 60;

error notJson(const std::string &reason)
{
    return {error_kind::InvalidInput, "the text is not valid JSON: " + reason,
            "Correct the text at this place; comments are allowed, trailing commas are not."};
}

/** Turns "* Line 3, Column 5\n  Missing ','\n" into "line 3, column 5: missing ','". */
std::string onOneLine(const std::string &report)
{
    std::string line;
    for (const char letter : report) {
        const bool space = letter == ' ' || letter == '\n' || letter == '*';
        if (!space) {
            line += letter;
        } else if (!line.empty() && line.back() != ' ') {
            line += ' ';
        }
    }
    while (!line.empty() && line.back() == ' ') {
        line.pop_back();
    }
    return line;
}

std::string write(const Json::Value &value, const std::string &indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["emitUTF8"] = true;
    builder["precision"] = 6;
    return Json::writeString(builder, value);
}

} // namespace

result<Json::Value> parseJsonObject(const std::string &text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowTrailingCommas"] = false;
    builder["strictRoot"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = MaxNesting;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string report;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, &report)) {
            return notJson(onOneLine(report));
        }
    } catch (const std::exception &failure) {
        return notJson(failure.what());
    }
    if (!root.isObject()) {
        return notJson("it is " + shortJson(root) + ", not an object");
    }
    return root;
}

std::string shortJson(const Json::Value &value)
{
    std::string text = compactJson(value);
    if (text.size() > ShownValueLength) {
        text = text.substr(0, ShownValueLength - 3) + "...";
    }
    return text;
}

std::string compactJson(const Json::Value &value)
{
    return write(value, "");
}

std::string indentedJson(const Json::Value &value)
{
    return write(value, "  ") + "\n";
}

} // namespace ebonyway
