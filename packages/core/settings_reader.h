#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** Parses the text of a settings file. Fails with InvalidInput; the message names the file. */
result<Json::Value> parseSettingsText(const std::string &file, const std::string &text);

/**
 * Reads typed values from one JSON object of a settings file and remembers the first fault.
 * Every fault names the file, the key with its path, the value and the remedy. Keys that nobody has
 * asked for are reported by finish() as unknown.
 */
class settings_reader
{
public:
    /**
     * Reads from `object`, which must outlive the reader. `path` is empty for the root, otherwise
     * the key of the object, for example "listen".
     */
    settings_reader(std::string file, std::string path, const Json::Value &object);

    bool has(const std::string &key);

    /** Required text that is not empty. */
    std::string text(const std::string &key);
    /** Optional text that is one of the choices. */
    std::string choice(const std::string &key, const std::vector<std::string> &choices,
                       const std::string &fallback);
    /** Required integer within [least, most]. */
    std::uint64_t integer(const std::string &key, std::uint64_t least, std::uint64_t most);
    /** Optional integer within [least, most]. */
    std::uint64_t integerOr(const std::string &key, std::uint64_t least, std::uint64_t most,
                            std::uint64_t fallback);
    /** Optional number, whole or decimal, within [least, most]. */
    double numberOr(const std::string &key, double least, double most, double fallback);
    /** Optional true or false. */
    bool flagOr(const std::string &key, bool fallback);
    /** Required numeric IP address. */
    ip_address address(const std::string &key);
    /** Required address with port. */
    endpoint addressWithPort(const std::string &key);
    /** Optional list of addresses with ports. */
    std::vector<endpoint> addressesWithPort(const std::string &key);
    /** Optional duration written with a unit, "250ms", "2s" or "5m", within [least, most]. */
    std::chrono::milliseconds durationOr(const std::string &key, std::chrono::milliseconds least,
                                         std::chrono::milliseconds most,
                                         std::chrono::milliseconds fallback);
    /** Optional nested object; an empty object if it is absent. */
    settings_reader object(const std::string &key);

    /** Takes over the fault of a nested reader. */
    void adopt(const settings_reader &nested);

    /** Returns the first fault, which includes unknown keys of this object. */
    status finish();

private:
    const Json::Value *find(const std::string &key);
    std::string fullKey(const std::string &key) const;
    void fail(const std::string &key, const std::string &value, const std::string &remedy);

    std::string m_file;
    std::string m_path;
    const Json::Value *m_object;
    std::set<std::string> m_known;
    std::vector<error> m_faults;
};

/**
 * Parses a duration such as "250ms", "2s", "5m" or "1h". Fails with InvalidInput if the number or
 * the unit is missing.
 */
result<std::chrono::milliseconds> parseSettingDuration(const std::string &text);

} // namespace ebonyway
