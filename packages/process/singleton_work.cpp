#include "process/singleton_work.h"

#include "version/platform_notes.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr const char *LeaseKey = "leases/singleton_work";
constexpr const char *StatusPrefix = "status/";
/** Members change their note within seconds of each other; one write covers them all. */
constexpr duration StatusPeriod = 10s;

std::map<std::string, std::string> statusByDomain(const membership &members)
{
    std::map<std::string, Json::Value> domains;
    for (const member_record &record : members.members()) {
        Json::Value &status = domains[record.details.profile.failureDomain];
        Json::Value &count = status["members"][memberStateName(record.state)];
        count = count.asUInt() + 1;
        if (record.state == member_state::Dead) {
            continue;
        }
        const Json::UInt64 note = record.details.adoptedNote.value;
        Json::Value &lowest = status["lowest_note"];
        lowest = lowest.isNull() ? note : std::min(lowest.asUInt64(), note);
        Json::Value &highest = status["highest_note"];
        highest = highest.isNull() ? note : std::max(highest.asUInt64(), note);
    }
    std::map<std::string, std::string> texts;
    for (const auto &[name, status] : domains) {
        texts[name] = Json::writeString(Json::StreamWriterBuilder(), status);
    }
    return texts;
}

} // namespace

singleton_work::singleton_work(instance_id self, const intent_snapshots &snapshots,
                               std::uint64_t seed, time_point now)
    : m_snapshots(snapshots)
    , m_lease(LeaseKey, self, seed, now)
    , m_retry({}, seed + 2)
    , m_nextStatus(now)
    , m_nextWork(now)
{ }

void singleton_work::setCandidate(bool isCandidate)
{
    m_lease.setCandidate(isCandidate);
}

std::optional<platform_request> singleton_work::nextCall(const membership &members, time_point now)
{
    if (m_owner != call_owner::None) {
        return std::nullopt;
    }
    std::optional<platform_request> call = m_lease.nextCall(now);
    if (call) {
        m_owner = call_owner::Lease;
        return call;
    }
    if (!m_lease.isHeld(now) || now < m_nextWork) {
        return std::nullopt;
    }
    updateStatus(members, now);
    call = nextStatusCall();
    return call ? call : nextSnapshotCall();
}

void singleton_work::updateStatus(const membership &members, time_point now)
{
    if (now < m_nextStatus) {
        return;
    }
    m_nextStatus = now + StatusPeriod;
    for (const auto &[domain, text] : statusByDomain(members)) {
        const auto place = m_status.try_emplace(domain, StatusPrefix + domain).first;
        place->second.want(text, m_lease.epoch());
    }
}

std::optional<platform_request> singleton_work::nextStatusCall()
{
    for (auto &[domain, object] : m_status) {
        if (auto call = object.nextCall()) {
            m_owner = call_owner::Status;
            m_statusUnderWay = domain;
            return call;
        }
    }
    return std::nullopt;
}

std::optional<platform_request> singleton_work::nextSnapshotCall()
{
    if (m_listedEpoch != m_lease.epoch()) {
        m_owner = call_owner::SnapshotList;
        return list_objects{SnapshotKeyPrefix, snapshotKey(m_snapshotNote)};
    }
    const result<intent_snapshot> current = m_snapshots.current();
    if (!isOk(current) || valueOf(current).number.value < m_snapshotNote.value + NotesPerSnapshot) {
        return std::nullopt;
    }
    m_owner = call_owner::SnapshotWrite;
    m_snapshotUnderWay = valueOf(current).number;
    return put_object{snapshotKey(m_snapshotUnderWay), valueOf(current).bytes, std::nullopt};
}

void singleton_work::onResult(const result<platform_answer> &outcome, time_point now)
{
    const call_owner owner = std::exchange(m_owner, call_owner::None);
    if (owner == call_owner::Lease) {
        const bool isLost = m_lease.isHeld(now) && !isOk(outcome)
                            && errorOf(outcome).kind == error_kind::Conflict;
        if (isLost) {
            // The store came back from an older copy, and other writes under the lease may be lost.
            restartWrites();
        }
        m_lease.onResult(outcome, now);
        return;
    }
    const bool isAnswered = isOk(outcome) || errorOf(outcome).kind == error_kind::NotFound
                            || errorOf(outcome).kind == error_kind::Conflict;
    if (isAnswered) {
        m_retry.onSuccess();
    } else {
        m_nextWork = m_retry.onFailure(now);
    }
    if (owner == call_owner::Status) {
        m_status.at(m_statusUnderWay).onResult(outcome);
    } else if (owner != call_owner::None) {
        onSnapshotResult(outcome);
    }
}

void singleton_work::restartWrites()
{
    for (auto &[domain, object] : m_status) {
        object.restart();
    }
    m_listedEpoch = 0;
    m_snapshotNote = {};
}

void singleton_work::onSnapshotResult(const result<platform_answer> &outcome)
{
    if (!isOk(outcome)) {
        // A conflict means that the snapshot exists, with the same content.
        if (errorOf(outcome).kind == error_kind::Conflict) {
            m_snapshotNote = std::max(m_snapshotNote, m_snapshotUnderWay);
        }
        return;
    }
    if (const auto *listing = std::get_if<platform_listing>(&valueOf(outcome))) {
        m_listedEpoch = m_lease.epoch();
        for (const std::string &key : listing->keys) {
            const note_number number = numberInKey(key).value_or(note_number{});
            m_snapshotNote = std::max(m_snapshotNote, number);
        }
    } else if (std::holds_alternative<platform_version>(valueOf(outcome))) {
        m_snapshotNote = std::max(m_snapshotNote, m_snapshotUnderWay);
    }
}

} // namespace ebonyway
