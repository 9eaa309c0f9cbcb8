#include "version/note_fields.h"

#include "core/duration_text.h"
#include "core/json_text.h"
#include "version/release_note.h"

#include <algorithm>
#include <string_view>

namespace ebonyway {

namespace {

bool isNameLetter(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-'
           || letter == '.' || letter == '_';
}

bool isControl(char letter)
{
    return static_cast<unsigned char>(letter) < 0x20 || letter == 0x7f;
}

std::string listKeys(std::initializer_list<const char *> keys)
{
    std::string list;
    for (const char *key : keys) {
        list += (list.empty() ? "" : ", ") + std::string(key);
    }
    return list;
}

} // namespace

note_fields::note_fields(const Json::Value &object, std::string place,
                         std::initializer_list<const char *> allowed, std::optional<error> &fault)
    : m_object(object)
    , m_place(std::move(place))
    , m_fault(fault)
{
    if (!m_object.isObject()) {
        fail(m_place, m_object, "Write an object with the keys " + listKeys(allowed) + ".");
        return;
    }
    for (const std::string &key : m_object.getMemberNames()) {
        const bool known = std::any_of(allowed.begin(), allowed.end(),
                                       [&key](const char *name) { return key == name; });
        if (!known && !failed()) {
            m_fault = error{error_kind::InvalidInput,
                            placeOf(key.c_str()) + " is an unknown key with the value "
                                    + shortJson(m_object[key]),
                            "Use only the keys " + listKeys(allowed) + " here."};
        }
    }
}

void note_fields::require(std::initializer_list<const char *> keys)
{
    for (const char *key : keys) {
        if (!failed() && find(key) == nullptr) {
            m_fault = error{error_kind::InvalidInput, placeOf(key) + " is missing",
                            "Add the key '" + std::string(key) + "'."};
        }
    }
}

std::optional<std::string> note_fields::text(const char *key, std::size_t maxLength)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const std::string expected = "Write a text of 1 to " + std::to_string(maxLength)
                                 + " bytes without control characters.";
    if (!value->isString()) {
        fail(placeOf(key), *value, expected);
        return std::nullopt;
    }
    std::string read = value->asString();
    const bool printable = std::none_of(read.begin(), read.end(), isControl);
    if (read.empty() || read.size() > maxLength || !printable) {
        fail(placeOf(key), *value, expected);
        return std::nullopt;
    }
    return read;
}

std::optional<std::string> note_fields::name(const char *key)
{
    const Json::Value *value = find(key);
    if (value == nullptr || !isName(placeOf(key), *value)) {
        return std::nullopt;
    }
    return value->asString();
}

std::optional<bool> note_fields::flag(const char *key)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->isBool()) {
        fail(placeOf(key), *value, "Write true or false.");
        return std::nullopt;
    }
    return value->asBool();
}

std::optional<std::uint64_t> note_fields::number(const char *key, number_range range)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const bool whole = value->type() == Json::intValue || value->type() == Json::uintValue;
    if (!whole || !value->isUInt64() || value->asUInt64() < range.least
        || value->asUInt64() > range.most) {
        fail(placeOf(key), *value,
             "Write a whole number from " + std::to_string(range.least) + " to "
                     + std::to_string(range.most) + ".");
        return std::nullopt;
    }
    return value->asUInt64();
}

std::optional<double> note_fields::ratio(const char *key)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->type() != Json::realValue || !(value->asDouble() > 0.0 && value->asDouble() < 1.0)) {
        fail(placeOf(key), *value, "Write a share between 0 and 1, for example 0.999.");
        return std::nullopt;
    }
    return value->asDouble();
}

std::optional<std::chrono::seconds> note_fields::duration(const char *key, duration_range range)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto read = value->isString() ? parseNoteDuration(value->asString()) : std::nullopt;
    if (!read || *read < range.least || *read > range.most) {
        fail(placeOf(key), *value,
             "Write a duration from \"" + durationText(range.least) + "\" to \""
                     + durationText(range.most) + "\" with the unit s, m, h or d.");
        return std::nullopt;
    }
    return read;
}

std::optional<endpoint> note_fields::address(const char *key)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const result<endpoint> read = endpoint::parse(value->isString() ? value->asString() : "");
    if (!isOk(read)) {
        fail(placeOf(key), *value, errorOf(read).remedy);
        return std::nullopt;
    }
    return valueOf(read);
}

std::optional<std::vector<ip_address>> note_fields::addresses(const char *key, std::size_t maxCount)
{
    const Json::Value *value = array(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (value->empty() || value->size() > maxCount) {
        fail(placeOf(key), *value, "List 1 to " + std::to_string(maxCount) + " IP addresses.");
        return std::nullopt;
    }
    std::vector<ip_address> list;
    for (const Json::Value &item : *value) {
        const result<ip_address> read = ip_address::parse(item.isString() ? item.asString() : "");
        if (!isOk(read)) {
            fail(placeOf(key), item, errorOf(read).remedy);
            return std::nullopt;
        }
        list.push_back(valueOf(read));
    }
    return list;
}

std::optional<transport_protocol> note_fields::protocol(const char *key)
{
    const Json::Value *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (*value == Json::Value("tcp")) {
        return transport_protocol::Tcp;
    }
    if (*value == Json::Value("udp")) {
        return transport_protocol::Udp;
    }
    fail(placeOf(key), *value, "Write \"tcp\" or \"udp\".");
    return std::nullopt;
}

std::vector<std::string> note_fields::names(const char *key)
{
    std::vector<std::string> list;
    const Json::Value *value = array(key);
    if (value == nullptr) {
        return list;
    }
    for (const Json::Value &item : *value) {
        if (!isName(placeOf(key), item)) {
            return list;
        }
        list.push_back(item.asString());
    }
    return list;
}

const Json::Value *note_fields::object(const char *key)
{
    const Json::Value *value = find(key);
    if (value != nullptr && !value->isObject()) {
        fail(placeOf(key), *value, "Write an object.");
        return nullptr;
    }
    return value;
}

const Json::Value *note_fields::array(const char *key)
{
    const Json::Value *value = find(key);
    if (value != nullptr && !value->isArray()) {
        fail(placeOf(key), *value, "Write a list in square brackets.");
        return nullptr;
    }
    return value;
}

std::string note_fields::placeOf(const char *key) const
{
    return m_place.empty() ? key : m_place + "." + key;
}

const Json::Value *note_fields::find(const char *key) const
{
    if (failed()) {
        return nullptr;
    }
    return m_object.find(key, key + std::string_view(key).size());
}

void note_fields::fail(const std::string &place, const Json::Value &value,
                       const std::string &expected)
{
    if (!failed()) {
        m_fault = error{error_kind::InvalidInput, place + " is " + shortJson(value), expected};
    }
}

bool note_fields::isName(const std::string &place, const Json::Value &value)
{
    const std::string read = value.isString() ? value.asString() : "";
    if (!read.empty() && read.size() <= MaxNameLength
        && std::all_of(read.begin(), read.end(), isNameLetter)) {
        return true;
    }
    fail(place, value,
         "Write a name of 1 to " + std::to_string(MaxNameLength)
                 + " lower-case letters, digits, '-', '.' or '_'.");
    return false;
}

} // namespace ebonyway
