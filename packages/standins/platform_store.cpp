#include "standins/platform_store.h"

#include <json/json.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace ebonyway::standins {

namespace {

/** Values of up to 1 MB (design section 2). */
constexpr std::size_t LargestValue = 1'000'000;
/** Earlier versions kept per object for stale reads. */
constexpr std::size_t KeptVersions = 8;

/** Values may hold any bytes, which JSON strings cannot. */
std::string toHex(const std::string &bytes)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(Digits[value >> 4]);
        text.push_back(Digits[value & 0xf]);
    }
    return text;
}

std::optional<std::string> fromHex(const std::string &text)
{
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const char *begin = text.data() + i;
        const char *end = text.data() + std::min(i + 2, text.size());
        const auto parsed = std::from_chars(begin, end, value, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != begin + 2) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

error unreadableState(const std::string &problem)
{
    return {error_kind::InvalidInput, "the saved objects are not readable: " + problem,
            "Remove the state file to start with an empty platform."};
}

const stored_object *versionAt(const std::vector<stored_object> &versions, std::uint64_t revision)
{
    for (auto version = versions.rbegin(); version != versions.rend(); ++version) {
        if (version->version <= revision) {
            return &*version;
        }
    }
    return nullptr;
}

bool conditionHolds(const write_condition &condition, const std::vector<stored_object> *versions)
{
    if (condition.mustBeAbsent) {
        return versions == nullptr;
    }
    return versions != nullptr && versions->back().version == *condition.mustBeVersion;
}

} // namespace

write_outcome platform_store::put(const std::string &key, const std::string &value,
                                  const write_condition &condition)
{
    if (!condition.mustBeAbsent && !condition.mustBeVersion) {
        return write_outcome::ConditionMissing;
    }
    if (value.size() > LargestValue) {
        return write_outcome::TooLarge;
    }
    const auto found = m_objects.find(key);
    if (!conditionHolds(condition, found == m_objects.end() ? nullptr : &found->second)) {
        return write_outcome::PreconditionFailed;
    }
    std::vector<stored_object> &versions = m_objects[key];
    versions.push_back({value, ++m_revision});
    if (versions.size() > KeptVersions) {
        versions.erase(versions.begin());
    }
    return condition.mustBeAbsent ? write_outcome::Created : write_outcome::Updated;
}

std::optional<stored_object> platform_store::get(const std::string &key,
                                                 std::uint64_t revision) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return std::nullopt;
    }
    const stored_object *object = versionAt(found->second, revision);
    return object == nullptr ? std::nullopt : std::optional(*object);
}

std::vector<object_version> platform_store::list(const std::string &prefix,
                                                 const std::string &after,
                                                 std::uint64_t revision) const
{
    std::vector<object_version> listed;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        const stored_object *object = versionAt(entry->second, revision);
        if (object != nullptr && entry->first > after) {
            listed.push_back({entry->first, object->version});
        }
    }
    return listed;
}

std::vector<object_version> platform_store::changesAfter(const std::string &prefix,
                                                         std::uint64_t revision) const
{
    std::vector<object_version> changed = list(prefix, {}, m_revision);
    std::erase_if(changed,
                  [revision](const object_version &object) { return object.version <= revision; });
    return changed;
}

void platform_store::restoreCopy(const platform_store &copy)
{
    const std::uint64_t next = m_era + 1;
    *this = copy;
    m_era = next;
}

std::string platform_store::save() const
{
    Json::Value saved(Json::objectValue);
    saved["era"] = Json::UInt64(m_era);
    saved["revision"] = Json::UInt64(m_revision);
    saved["objects"] = Json::Value(Json::objectValue);
    for (const auto &[key, versions] : m_objects) {
        Json::Value object;
        object["value_hex"] = toHex(versions.back().value);
        object["version"] = Json::UInt64(versions.back().version);
        saved["objects"][key] = object;
    }
    return Json::writeString(Json::StreamWriterBuilder(), saved);
}

status platform_store::load(const std::string &saved)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value root;
    std::string problem;
    const char *end = saved.data() + saved.size();
    if (!reader->parse(saved.data(), end, &root, &problem) || !root["objects"].isObject()) {
        return unreadableState(problem);
    }
    m_objects.clear();
    m_revision = root["revision"].asUInt64();
    m_era = root.get("era", 1).asUInt64();
    for (const std::string &key : root["objects"].getMemberNames()) {
        const Json::Value &object = root["objects"][key];
        const std::optional<std::string> value = fromHex(object["value_hex"].asString());
        if (!value) {
            return unreadableState("the value of " + key);
        }
        m_objects[key] = {{*value, object["version"].asUInt64()}};
    }
    return std::monostate{};
}

} // namespace ebonyway::standins
