#include "process/lease.h"

#include "core/json_text.h"

#include <json/json.h>

#include <memory>

namespace ebonyway {

namespace {

constexpr duration RenewalPeriod = LeaseTime / 3;
constexpr duration ObservationPeriod = LeaseTime / 2;
constexpr std::size_t MaxLeaseBytes = 4096;

} // namespace

lease::lease(std::string key, instance_id holder, std::uint64_t seed, time_point now)
    : m_key(std::move(key))
    , m_self(holder)
    , m_random(seed)
    , m_retry({}, seed + 1)
    , m_nextCall(now)
{ }

bool lease::isHeld(time_point now) const
{
    return m_heldUntil && now < *m_heldUntil;
}

std::optional<platform_request> lease::nextCall(time_point now)
{
    if (!m_isCandidate || m_isCallUnderWay || now < m_nextCall) {
        return std::nullopt;
    }
    m_isCallUnderWay = true;
    m_isWriting = !m_mustRead && (isHeld(now) || now >= freeAt());
    if (!m_isWriting) {
        return get_object{m_key};
    }
    m_writeSent = now;
    return makeWrite(isHeld(now) ? m_epoch : m_seenEpoch + 1);
}

time_point lease::freeAt() const
{
    return m_versionSeen ? *m_versionSeen + LeaseTime : time_point{};
}

put_object lease::makeWrite(std::uint64_t epoch)
{
    m_written = {epoch, m_self.value, std::to_string(m_random.next())};
    put_object write{m_key, encode(m_written), std::nullopt};
    if (!m_isAbsent) {
        write.ifVersion = m_version;
    }
    return write;
}

void lease::onResult(const result<platform_answer> &outcome, time_point now)
{
    m_isCallUnderWay = false;
    if (isOk(outcome)) {
        m_retry.onSuccess();
        if (const auto *object = std::get_if<platform_object>(&valueOf(outcome))) {
            onRead(*object, now);
        } else if (const auto *written = std::get_if<platform_version>(&valueOf(outcome))) {
            onWritten(written->version, now);
        }
        return;
    }
    switch (errorOf(outcome).kind) {
    case error_kind::NotFound:
        onAbsent(now);
        return;
    case error_kind::Conflict:
        // Another instance has written. If an earlier write of this one took effect and only its
        // answer was lost, reading the token shows it.
        m_mustRead = true;
        m_nextCall = now;
        return;
    default:
        m_mustRead = m_mustRead || m_isWriting;
        m_nextCall = m_retry.onFailure(now);
        return;
    }
}

void lease::onAbsent(time_point now)
{
    m_mustRead = false;
    m_isAbsent = true;
    if (!m_version.empty()) {
        // The store came back from a copy without the lease, and its holder may not know that yet.
        m_version.clear();
        m_versionSeen = now;
    }
    m_nextCall = isHeld(now) ? now : std::max(now, freeAt());
}

void lease::onRead(const platform_object &object, time_point now)
{
    m_mustRead = false;
    m_isAbsent = false;
    const std::optional<record> seen = decode(object.value);
    // An older copy of the store may hold an epoch that has been given out again since.
    m_seenEpoch = std::max(m_seenEpoch, seen ? seen->epoch : 0);
    if (seen && seen->holder == m_self.value && seen->token == m_written.token) {
        // The answer to the last write was lost, but the write took effect after it was sent.
        onWritten(object.version, now);
        return;
    }
    m_heldUntil.reset();
    if (object.version != m_version) {
        m_version = object.version;
        m_versionSeen = now;
    }
    const duration left = freeAt() - now;
    const duration wait = std::min<duration>(ObservationPeriod, std::max<duration>(left, {}));
    // Spreads the candidates, so that one of them usually wins without a conflict.
    const auto jitter = m_random.below(static_cast<std::uint64_t>(duration(RenewalPeriod).count()));
    m_nextCall =
            now + wait + (wait == left ? duration{static_cast<duration::rep>(jitter)} : duration{});
}

void lease::onWritten(const std::string &version, time_point now)
{
    m_version = version;
    m_versionSeen = now;
    m_isAbsent = false;
    m_epoch = m_written.epoch;
    m_seenEpoch = m_written.epoch;
    m_heldUntil = m_writeSent + LeaseTime;
    m_nextCall = m_writeSent + RenewalPeriod;
}

std::string lease::encode(const record &value)
{
    Json::Value json;
    json["epoch"] = Json::UInt64(value.epoch);
    json["holder"] = value.holder;
    json["token"] = value.token;
    return Json::writeString(Json::StreamWriterBuilder(), json);
}

std::optional<lease::record> lease::decode(const std::string &text)
{
    if (text.size() > MaxLeaseBytes) {
        return std::nullopt;
    }
    const result<Json::Value> parsed = parseJsonObject(text);
    if (!isOk(parsed)) {
        return std::nullopt;
    }
    const Json::Value &json = valueOf(parsed);
    if (!json["epoch"].isUInt64() || !json["holder"].isUInt() || !json["token"].isString()) {
        return std::nullopt;
    }
    return record{json["epoch"].asUInt64(), json["holder"].asUInt(), json["token"].asString()};
}

} // namespace ebonyway
