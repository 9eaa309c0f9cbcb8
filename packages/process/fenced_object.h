#pragma once

#include "core/result.h"
#include "process/platform_request.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ebonyway {

/**
 * A platform object that only the holder of a lease writes. The object carries the epoch of its
 * writer, and each write is conditional on the version that was read under the writer's own epoch.
 * A new holder rewrites the object first, so a late write of a paused earlier holder fails.
 */
class fenced_object
{
public:
    explicit fenced_object(std::string key);

    /** Sets what the object should contain: a JSON object, written under the epoch. */
    void want(const std::string &content, std::uint64_t epoch);

    /** Has the object read and written again, because the store may have lost it. */
    void restart();

    /** Returns the next call, if something has to be read or written. */
    std::optional<platform_request> nextCall();

    /** Takes the outcome of the call that nextCall() returned. */
    void onResult(const result<platform_answer> &outcome);

    /** Returns whether the wanted content was written under the wanted epoch. */
    bool isWritten() const { return m_isWritten; }

    /** Returns whether a holder with a higher epoch has written; nothing is written any more. */
    bool isSuperseded() const { return m_isSuperseded; }

private:
    std::string m_key;
    std::string m_content;
    std::uint64_t m_epoch = 0;
    bool m_isWritten = true;
    bool m_isSuperseded = false;
    bool m_isRead = false; ///< m_version was read under m_epoch.
    std::optional<std::string> m_version; ///< Empty if the object is absent.
};

} // namespace ebonyway
