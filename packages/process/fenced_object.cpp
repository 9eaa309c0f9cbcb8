#include "process/fenced_object.h"

#include "core/json_text.h"

#include <json/json.h>

namespace ebonyway {

namespace {

constexpr std::size_t MaxObjectBytes = 1'000'000;

std::optional<Json::Value> parseObject(const std::string &text)
{
    if (text.size() > MaxObjectBytes) {
        return std::nullopt;
    }
    const result<Json::Value> json = parseJsonObject(text);
    return isOk(json) ? std::optional(valueOf(json)) : std::nullopt;
}

std::uint64_t epochOf(const std::string &text)
{
    const std::optional<Json::Value> json = parseObject(text);
    return json && (*json)["epoch"].isUInt64() ? (*json)["epoch"].asUInt64() : 0;
}

std::string withEpoch(const std::string &content, std::uint64_t epoch)
{
    Json::Value json = parseObject(content).value_or(Json::Value(Json::objectValue));
    json["epoch"] = Json::UInt64(epoch);
    return Json::writeString(Json::StreamWriterBuilder(), json);
}

} // namespace

fenced_object::fenced_object(std::string key)
    : m_key(std::move(key))
{ }

void fenced_object::want(const std::string &content, std::uint64_t epoch)
{
    if (epoch != m_epoch) {
        m_epoch = epoch;
        restart();
    }
    if (content != m_content) {
        m_content = content;
        m_isWritten = false;
    }
}

void fenced_object::restart()
{
    m_isRead = false;
    m_isSuperseded = false;
    m_isWritten = false;
}

std::optional<platform_request> fenced_object::nextCall()
{
    if (m_isWritten || m_isSuperseded) {
        return std::nullopt;
    }
    if (!m_isRead) {
        return get_object{m_key};
    }
    return put_object{m_key, withEpoch(m_content, m_epoch), m_version};
}

void fenced_object::onResult(const result<platform_answer> &outcome)
{
    if (!isOk(outcome)) {
        // After a conflict or an unknown outcome only a read tells what the object holds.
        const bool isAbsent = errorOf(outcome).kind == error_kind::NotFound && !m_isRead;
        m_isRead = isAbsent;
        m_version.reset();
        return;
    }
    if (const auto *object = std::get_if<platform_object>(&valueOf(outcome))) {
        m_isSuperseded = epochOf(object->value) > m_epoch;
        m_version = object->version;
        m_isRead = true;
    } else if (const auto *written = std::get_if<platform_version>(&valueOf(outcome))) {
        m_version = written->version;
        m_isWritten = true;
    }
}

} // namespace ebonyway
