#include "core/settings_reader.h"

#include "core/duration_text.h"
#include "core/json_text.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

namespace ebonyway {

namespace {

const Json::Value &emptyObject()
{
    static const Json::Value Empty(Json::objectValue);
    return Empty;
}

std::string joined(const std::vector<std::string> &choices)
{
    std::string text;
    for (const std::string &choice : choices) {
        text += text.empty() ? choice : ", " + choice;
    }
    return text;
}

} // namespace

result<std::chrono::milliseconds> parseSettingDuration(const std::string &text)
{
    const bool inMilliseconds = text.size() > 2 && text.compare(text.size() - 2, 2, "ms") == 0;
    // "250ms" is read as "250s" and scaled, so that both units share one parser.
    const std::optional<std::chrono::seconds> parsed =
            parseNoteDuration(inMilliseconds ? text.substr(0, text.size() - 2) + "s" : text);
    if (!parsed) {
        return error{error_kind::InvalidInput, "'" + text + "' is not a duration",
                     "Write a whole number with a unit: ms, s, m, h or d, for example \"2s\"."};
    }
    if (inMilliseconds) {
        return std::chrono::milliseconds(parsed->count());
    }
    return std::chrono::milliseconds(*parsed);
}

result<Json::Value> parseSettingsText(const std::string &file, const std::string &text)
{
    result<Json::Value> root = parseJsonObject(text);
    if (!isOk(root)) {
        error fault = errorOf(root);
        fault.message = file + ": " + fault.message;
        return fault;
    }
    return root;
}

settings_reader::settings_reader(std::string file, std::string path, const Json::Value &object)
    : m_file(std::move(file))
    , m_path(std::move(path))
    , m_object(&object)
{
    if (!object.isObject()) {
        m_object = &emptyObject();
        fail("", compactJson(object), "Write a JSON object in braces.");
    }
}

std::string settings_reader::fullKey(const std::string &key) const
{
    if (m_path.empty()) {
        return key;
    }
    return key.empty() ? m_path : m_path + "." + key;
}

void settings_reader::fail(const std::string &key, const std::string &value,
                           const std::string &remedy)
{
    m_faults.push_back({error_kind::InvalidInput,
                        m_file + ": key '" + fullKey(key) + "' has the value " + value, remedy});
}

const Json::Value *settings_reader::find(const std::string &key)
{
    m_known.insert(key);
    return m_object->find(key.data(), key.data() + key.size());
}

bool settings_reader::has(const std::string &key)
{
    return find(key) != nullptr;
}

std::string settings_reader::text(const std::string &key)
{
    const Json::Value *value = find(key);
    if (!value) {
        fail(key, "(missing)", "Add the key with a text value.");
        return {};
    }
    if (!value->isString() || value->asString().empty()) {
        fail(key, compactJson(*value), "Write a text in double quotes that is not empty.");
        return {};
    }
    return value->asString();
}

std::string settings_reader::choice(const std::string &key, const std::vector<std::string> &choices,
                                    const std::string &fallback)
{
    const Json::Value *value = find(key);
    if (!value) {
        return fallback;
    }
    const bool known =
            value->isString()
            && std::find(choices.begin(), choices.end(), value->asString()) != choices.end();
    if (!known) {
        fail(key, compactJson(*value), "Write one of: " + joined(choices) + ".");
        return fallback;
    }
    return value->asString();
}

std::uint64_t settings_reader::integer(const std::string &key, std::uint64_t least,
                                       std::uint64_t most)
{
    const std::string range = std::to_string(least) + " to " + std::to_string(most);
    const Json::Value *value = find(key);
    if (!value) {
        fail(key, "(missing)", "Add the key with a whole number from " + range + ".");
        return least;
    }
    const bool fits = value->isIntegral() && value->isUInt64() && value->asUInt64() >= least
                      && value->asUInt64() <= most;
    if (!fits) {
        fail(key, compactJson(*value), "Write a whole number from " + range + ".");
        return least;
    }
    return value->asUInt64();
}

std::uint64_t settings_reader::integerOr(const std::string &key, std::uint64_t least,
                                         std::uint64_t most, std::uint64_t fallback)
{
    return has(key) ? integer(key, least, most) : fallback;
}

double settings_reader::numberOr(const std::string &key, double least, double most, double fallback)
{
    const Json::Value *value = find(key);
    if (!value) {
        return fallback;
    }
    if (!value->isNumeric() || value->asDouble() < least || value->asDouble() > most) {
        std::ostringstream remedy;
        remedy << "Write a number from " << least << " to " << most << ", without quotes.";
        fail(key, compactJson(*value), remedy.str());
        return fallback;
    }
    return value->asDouble();
}

bool settings_reader::flagOr(const std::string &key, bool fallback)
{
    const Json::Value *value = find(key);
    if (!value) {
        return fallback;
    }
    if (!value->isBool()) {
        fail(key, compactJson(*value), "Write true or false, without quotes.");
        return fallback;
    }
    return value->asBool();
}

ip_address settings_reader::address(const std::string &key)
{
    const std::string written = text(key);
    if (written.empty()) {
        return {};
    }
    const result<ip_address> parsed = ip_address::parse(written);
    if (!isOk(parsed)) {
        fail(key, "\"" + written + "\"", errorOf(parsed).remedy);
        return {};
    }
    return valueOf(parsed);
}

endpoint settings_reader::addressWithPort(const std::string &key)
{
    const std::string written = text(key);
    if (written.empty()) {
        return {};
    }
    const result<endpoint> parsed = endpoint::parse(written);
    if (!isOk(parsed)) {
        fail(key, "\"" + written + "\"", errorOf(parsed).remedy);
        return {};
    }
    return valueOf(parsed);
}

std::vector<endpoint> settings_reader::addressesWithPort(const std::string &key)
{
    const Json::Value *value = find(key);
    if (!value) {
        return {};
    }
    if (!value->isArray()) {
        fail(key, compactJson(*value), "Write a list in brackets of \"ADDRESS:PORT\" texts.");
        return {};
    }
    std::vector<endpoint> endpoints;
    for (const Json::Value &entry : *value) {
        const result<endpoint> parsed = endpoint::parse(entry.isString() ? entry.asString() : "");
        if (!isOk(parsed)) {
            fail(key, compactJson(entry), errorOf(parsed).remedy);
            continue;
        }
        endpoints.push_back(valueOf(parsed));
    }
    return endpoints;
}

std::chrono::milliseconds settings_reader::durationOr(const std::string &key,
                                                      std::chrono::milliseconds least,
                                                      std::chrono::milliseconds most,
                                                      std::chrono::milliseconds fallback)
{
    const Json::Value *value = find(key);
    if (!value) {
        return fallback;
    }
    const result<std::chrono::milliseconds> parsed =
            parseSettingDuration(value->isString() ? value->asString() : "");
    if (!isOk(parsed)) {
        fail(key, compactJson(*value), errorOf(parsed).remedy);
        return fallback;
    }
    if (valueOf(parsed) < least || valueOf(parsed) > most) {
        fail(key, compactJson(*value),
             "Write a duration from " + std::to_string(least.count()) + "ms to "
                     + std::to_string(most.count()) + "ms.");
        return fallback;
    }
    return valueOf(parsed);
}

settings_reader settings_reader::object(const std::string &key)
{
    const Json::Value *value = find(key);
    return {m_file, fullKey(key), value ? *value : emptyObject()};
}

void settings_reader::adopt(const settings_reader &nested)
{
    settings_reader copy = nested;
    const status outcome = copy.finish();
    if (!isOk(outcome)) {
        m_faults.push_back(errorOf(outcome));
    }
}

status settings_reader::finish()
{
    if (!m_faults.empty()) {
        return m_faults.front();
    }
    for (const std::string &key : m_object->getMemberNames()) {
        if (m_known.count(key) > 0) {
            continue;
        }
        const std::vector<std::string> known(m_known.begin(), m_known.end());
        fail(key, compactJson((*m_object)[key]),
             "Remove this unknown key or write one of: " + joined(known) + ".");
        return m_faults.front();
    }
    return std::monostate{};
}

} // namespace ebonyway
