#pragma once

#include "core/error.h"
#include "core/ip_address.h"
#include "request/flow_key.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace ebonyway {

/** Range of whole numbers, both ends included. */
struct number_range
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

/** Range of durations, both ends included. */
struct duration_range
{
    std::chrono::seconds least{0};
    std::chrono::seconds most{0};
};

/**
 * Reads the fields of one JSON object of a release note strictly. The first fault is kept and later
 * reads do nothing, so a caller reads all fields and then asks once for the fault.
 */
class note_fields
{
public:
    /**
     * @param object The object, which must outlive the reader.
     * @param place Path of the object for messages, for example "added.services[0]".
     * @param allowed All keys that may occur.
     * @param fault Receives the first fault; shared by the readers of one note.
     */
    note_fields(const Json::Value &object, std::string place,
                std::initializer_list<const char *> allowed, std::optional<error> &fault);

    /** Records a fault if one of the keys is missing. */
    void require(std::initializer_list<const char *> keys);

    std::optional<std::string> text(const char *key, std::size_t maxLength);
    std::optional<std::string> name(const char *key);
    std::optional<bool> flag(const char *key);
    std::optional<std::uint64_t> number(const char *key, number_range range);
    std::optional<double> ratio(const char *key);
    std::optional<std::chrono::seconds> duration(const char *key, duration_range range);
    std::optional<endpoint> address(const char *key);
    std::optional<std::vector<ip_address>> addresses(const char *key, std::size_t maxCount);
    std::optional<transport_protocol> protocol(const char *key);
    std::vector<std::string> names(const char *key);

    /** Returns the object under the key, or nullptr. */
    const Json::Value *object(const char *key);
    /** Returns the array under the key, or nullptr. */
    const Json::Value *array(const char *key);

    std::string placeOf(const char *key) const;
    bool failed() const { return m_fault.has_value(); }

private:
    const Json::Value *find(const char *key) const;
    void fail(const std::string &place, const Json::Value &value, const std::string &expected);
    bool isName(const std::string &place, const Json::Value &value);

    const Json::Value &m_object;
    std::string m_place;
    std::optional<error> &m_fault;
};

} // namespace ebonyway
