#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/seeded_random.h"
#include "core/time.h"
#include "process/platform_request.h"
#include "process/retry_policy.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ebonyway {

/** Time after its last renewal at which others may take a lease over. */
constexpr std::chrono::seconds LeaseTime{15};

/**
 * Holds or waits for a lease object. No clocks are compared: a candidate takes the lease over when
 * it has seen the same object version for LeaseTime on its own clock, and the holder stops when its
 * last successful renewal was sent LeaseTime ago. The epoch grows with each new holder. Because a
 * holder may be paused, writes under the lease go through fenced_object.
 */
class lease
{
public:
    lease(std::string key, instance_id holder, std::uint64_t seed, time_point now);

    /** Sets whether this instance should try to hold the lease. */
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }

    /** Returns the next call, if one is due and none is under way. */
    std::optional<platform_request> nextCall(time_point now);

    /** Takes the outcome of the call under way. */
    void onResult(const result<platform_answer> &outcome, time_point now);

    bool isHeld(time_point now) const;

    /** Epoch of the lease while it is held. */
    std::uint64_t epoch() const { return m_epoch; }

private:
    struct record
    {
        std::uint64_t epoch = 0;
        std::uint32_t holder = 0;
        std::string token; ///< Differs for each write; recognises a write whose answer was lost.
    };

    static std::string encode(const record &value);
    static std::optional<record> decode(const std::string &text);
    /** When another instance may take the lease over; in the past if it was never seen. */
    time_point freeAt() const;
    void onAbsent(time_point now);
    void onRead(const platform_object &object, time_point now);
    void onWritten(const std::string &version, time_point now);
    put_object makeWrite(std::uint64_t epoch);

    std::string m_key;
    instance_id m_self;
    seeded_random m_random;
    retry_policy m_retry;
    bool m_isCandidate = false;
    bool m_isCallUnderWay = false;
    bool m_isWriting = false;
    bool m_mustRead = true; ///< What the object holds is not known.
    bool m_isAbsent = false;
    std::string m_version; ///< Last version read or written; empty if absent.
    std::optional<time_point> m_versionSeen; ///< When that version or its absence was first seen.
    time_point m_writeSent; ///< When m_written was sent.
    time_point m_nextCall;
    record m_written; ///< The write under way or with unknown outcome.
    std::uint64_t m_seenEpoch = 0;
    std::uint64_t m_epoch = 0;
    std::optional<time_point> m_heldUntil;
};

} // namespace ebonyway
