#include "process/intent_sync.h"

#include "process/overloaded.h"
#include "version/platform_notes.h"
#include "version/release_note.h"
#include "version/snapshot.h"

#include <algorithm>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration PeerTimeout = 2s;
constexpr duration PlatformTimeout = 3s;
constexpr duration WatchTime = 30s;
constexpr duration MinWatchTime = 1s; ///< A platform whose watches return at once is not flooded.
constexpr duration AvoidTime = 5s; ///< How long a peer that failed is not asked again.
constexpr duration PeerRetryDelay = 200ms;

digest_prefix prefixOf(const note_digest &digest)
{
    digest_prefix prefix;
    std::copy_n(digest.begin(), prefix.size(), prefix.begin());
    return prefix;
}

error invalid(const std::string &message)
{
    return {error_kind::InvalidInput, message, "Check that all instances run the same release"};
}

} // namespace

intent_sync::intent_sync(instance_id self, const intent_snapshots &snapshots, std::uint64_t seed,
                         time_point now)
    : m_self(self)
    , m_snapshots(snapshots)
    , m_random(seed)
    , m_nextPeerRequest(now)
    , m_nextCall(now)
    , m_platformRetry({}, seed ^ 0x9e3779b97f4a7c15U)
{ }

void intent_sync::setWatcher(bool isWatcher, time_point now)
{
    if (isWatcher && !m_isWatcher) {
        // What was listed as a watcher earlier may be out of date.
        m_haveNotesBeenListed = false;
        m_nextCall = std::max(m_nextCall, now);
    }
    m_isWatcher = isWatcher;
}

void intent_sync::onPeerHead(instance_id peer, note_number number, const digest_prefix &digest)
{
    const std::optional<note_digest> known = m_history.digestOf(number);
    if (number <= m_history.head()) {
        if (known && prefixOf(*known) != digest && number != note_number{}) {
            reportFork(peer, number);
        } else if (known) {
            m_forked.erase(peer);
        }
        return;
    }
    m_informer = peer;
}

void intent_sync::reportFork(instance_id peer, note_number number)
{
    const auto [place, isNew] = m_forked.try_emplace(peer, number);
    if (!isNew && place->second == number) {
        return;
    }
    place->second = number;
    m_events.push_back({"note_fork",
                        {{"peer", std::to_string(peer.value)},
                         {"note", std::to_string(number.value)},
                         {"remedy", "Compare the note of the peer with the platform's note"}}});
}

void intent_sync::onTick(const membership &members, time_point now)
{
    std::erase_if(m_avoided, [now](const auto &entry) { return entry.second <= now; });
    if (m_askedPeer && now > m_peerDeadline) {
        onPeerResult(error{error_kind::Unavailable, "no answer in time", "Wait"}, now);
    }
    if (m_step && now > m_callStarted + WatchTime + 2 * PlatformTimeout) {
        onPlatformResult(error{error_kind::Unavailable, "no answer in time", "Wait"}, now);
    }
    if (!m_askedPeer && now >= m_nextPeerRequest) {
        askPeer(members, now);
    }
    if (m_isWatcher && !m_step && now >= m_nextCall) {
        callPlatform(now);
    }
}

bool intent_sync::mayAsk(const member_record &record, const membership &members,
                         time_point now) const
{
    return record.details.id != m_self && record.details.adoptedNote > m_history.head()
           && members.isFresh(record, now) && !m_avoided.contains(record.details.id)
           && !m_forked.contains(record.details.id);
}

std::optional<instance_id> intent_sync::choosePeer(const membership &members, time_point now)
{
    // Asking whoever brought the news spreads the requests like the news; all others at random.
    if (m_informer) {
        const instance_id informer = *std::exchange(m_informer, std::nullopt);
        const bool isUsable = members.find(informer) != nullptr && !m_avoided.contains(informer)
                              && !m_forked.contains(informer);
        if (isUsable) {
            return informer;
        }
    }
    std::vector<instance_id> candidates;
    for (const member_record &record : members.members()) {
        if (mayAsk(record, members, now)) {
            candidates.push_back(record.details.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random.below(candidates.size())];
}

void intent_sync::askPeer(const membership &members, time_point now)
{
    const std::optional<instance_id> peer = choosePeer(members, now);
    if (!peer) {
        return;
    }
    peer_order order;
    order.peer = *peer;
    order.timeout = PeerTimeout;
    m_nonce = m_random.next();
    order.request.nonce = m_nonce;
    order.request.sender = m_self;
    order.request.recipient = *peer;
    if (m_wantsSnapshot) {
        order.request.body = snapshot_request{m_partSnapshot.number, m_partSnapshot.bytes.size()};
    } else {
        const bool isContinued = m_partNote.number.value == m_history.head().value + 1;
        order.request.body =
                notes_request{m_history.head(), isContinued ? m_partNote.bytes.size() : 0};
    }
    m_askedPeer = *peer;
    m_peerDeadline = now + PeerTimeout + PeerRetryDelay;
    m_orders.emplace_back(order);
}

void intent_sync::giveUpPeer(instance_id peer, const std::string &reason, time_point now)
{
    m_avoided[peer] = now + AvoidTime;
    m_nextPeerRequest = now + PeerRetryDelay;
    m_partSnapshot = {};
    m_partNote = {};
    m_events.push_back({"sync_failed", {{"peer", std::to_string(peer.value)}, {"reason", reason}}});
}

void intent_sync::onPeerResult(const result<sync_response> &outcome, time_point now)
{
    if (!m_askedPeer) {
        return;
    }
    const instance_id peer = *std::exchange(m_askedPeer, std::nullopt);
    if (!isOk(outcome)) {
        giveUpPeer(peer, errorOf(outcome).message, now);
        return;
    }
    const sync_response &response = valueOf(outcome);
    if (response.nonce != m_nonce || response.sender != peer) {
        giveUpPeer(peer, "the response belongs to another request", now);
        return;
    }
    const note_number before = m_history.head();
    status taken =
            std::visit(overloaded{[this](const notes_response &notes) { return takeNotes(notes); },
                                  [this](const snapshot_response &part) {
                                      return takeSnapshotPart(part);
                                  }},
                       response.body);
    if (!isOk(taken)) {
        if (errorOf(taken).kind == error_kind::Conflict) {
            reportFork(peer, before);
        }
        giveUpPeer(peer, errorOf(taken).message, now);
        return;
    }
    const bool isUnfinished = m_wantsSnapshot || !m_partNote.bytes.empty();
    if (isUnfinished || m_history.head() > before) {
        m_nextPeerRequest = now;
        m_informer = isUnfinished ? std::optional(peer) : std::nullopt;
        return;
    }
    m_avoided[peer] = now + AvoidTime;
}

status intent_sync::takeNotes(const notes_response &response)
{
    if (response.needsSnapshot) {
        m_wantsSnapshot = true;
        m_partSnapshot = {};
        return std::monostate{};
    }
    if (response.notes.empty()) {
        return std::monostate{};
    }
    // The response may have been overtaken by a note from the platform.
    const std::uint64_t first = response.notes.front().number.value;
    const std::optional<note_digest> known =
            m_history.digestOf(note_number{first == 0 ? 0 : first - 1});
    if (known && *known != response.previous) {
        return error{error_kind::Conflict, "the peer's notes continue another chain",
                     "Compare the notes of the peer with the platform's notes"};
    }
    for (const note_part &part : response.notes) {
        status taken = takeNotePart(part);
        if (!isOk(taken)) {
            return taken;
        }
    }
    return std::monostate{};
}

status intent_sync::takeNotePart(const note_part &part)
{
    if (part.number <= m_history.head()) {
        return std::monostate{};
    }
    if (part.size > MaxNoteBytes || part.text.size() > part.size) {
        return invalid("note " + std::to_string(part.number.value) + " is too long");
    }
    const bool isContinued = m_partNote.number == part.number && m_partNote.digest == part.digest
                             && m_partNote.size == part.size && !m_partNote.bytes.empty();
    std::string text = isContinued ? std::exchange(m_partNote, {}).bytes : std::string();
    text += part.text;
    if (text.size() < part.size) {
        if (part.text.empty()) {
            return invalid("a part of note " + std::to_string(part.number.value) + " is empty");
        }
        m_partNote = {part.number, part.digest, part.size, std::move(text)};
        return std::monostate{};
    }
    m_partNote = {};
    return adoptNote(part.number, part.digest, std::move(text));
}

status intent_sync::takeSnapshotPart(const snapshot_response &response)
{
    const bool isFirst = m_partSnapshot.bytes.empty();
    if (response.size == 0 || response.size > MaxSnapshotBytes || response.bytes.empty()
        || response.number <= m_history.head()) {
        m_wantsSnapshot = false;
        return invalid("the peer has no usable snapshot");
    }
    if (isFirst) {
        m_partSnapshot = {response.number, response.digest, response.size, {}};
    }
    const bool isNext = m_partSnapshot.number == response.number
                        && m_partSnapshot.size == response.size
                        && m_partSnapshot.bytes.size() == response.offset
                        && m_partSnapshot.bytes.size() + response.bytes.size() <= response.size;
    if (!isNext) {
        return invalid("the snapshot changed while it was fetched");
    }
    m_partSnapshot.bytes += response.bytes;
    if (m_partSnapshot.bytes.size() < m_partSnapshot.size) {
        return std::monostate{};
    }
    m_wantsSnapshot = false;
    partial_content whole = std::exchange(m_partSnapshot, {});
    return adoptSnapshotBytes(whole.number, whole.digest, std::move(whole.bytes));
}

status intent_sync::adoptNote(note_number number, const note_digest &digest, std::string text)
{
    status appended = m_history.append(number, digest, text);
    if (!isOk(appended)) {
        m_events.push_back(
                {"note_rejected",
                 {{"note", std::to_string(number.value)}, {"reason", errorOf(appended).message}}});
        return appended;
    }
    m_orders.emplace_back(adopt_note{number, digest, std::move(text)});
    return appended;
}

status intent_sync::adoptSnapshotBytes(note_number number, const std::optional<note_digest> &digest,
                                       std::string bytes)
{
    result<intent_snapshot> checked = m_snapshots.check(number, std::move(bytes));
    if (!isOk(checked)) {
        return errorOf(checked);
    }
    intent_snapshot &snapshot = valueOf(checked);
    if (digest && snapshot.digest != *digest) {
        return invalid("the snapshot does not have the announced digest");
    }
    status restarted = m_history.restart(number, snapshot.digest);
    if (isOk(restarted)) {
        m_orders.emplace_back(adopt_snapshot{number, snapshot.digest, std::move(snapshot.bytes)});
    }
    return restarted;
}

sync_response intent_sync::answer(const sync_request &request) const
{
    sync_response response;
    response.nonce = request.nonce;
    response.sender = m_self;
    if (const auto *notes = std::get_if<notes_request>(&request.body)) {
        response.body = answerNotes(*notes);
    } else {
        response.body = answerSnapshot(std::get<snapshot_request>(request.body));
    }
    return response;
}

notes_response intent_sync::answerNotes(const notes_request &request) const
{
    notes_response response;
    response.head = m_history.head();
    if (request.after >= m_history.head()) {
        return response;
    }
    const std::optional<note_digest> previous = m_history.digestOf(request.after);
    note_number next{request.after.value + 1};
    if (!previous || m_history.find(next) == nullptr) {
        response.needsSnapshot = true;
        return response;
    }
    response.previous = *previous;
    std::size_t room = MaxSyncChunkSize;
    std::uint64_t offset = request.offset;
    while (const chained_note *note = m_history.find(next)) {
        const std::size_t skipped = std::min<std::size_t>(offset, note->text.size());
        std::string text = note->text.substr(skipped, room);
        const bool isWhole = skipped + text.size() == note->text.size();
        room -= text.size();
        response.notes.push_back({next, note->digest, note->text.size(), std::move(text)});
        if (!isWhole || room == 0) {
            break;
        }
        offset = 0;
        next.value++;
    }
    return response;
}

snapshot_response intent_sync::answerSnapshot(const snapshot_request &request) const
{
    snapshot_response response;
    const result<intent_snapshot> current = m_snapshots.current();
    if (!isOk(current)) {
        return response;
    }
    const intent_snapshot &snapshot = valueOf(current);
    const bool isOther = request.number != note_number{} && request.number != snapshot.number;
    if (isOther || request.offset >= snapshot.bytes.size()) {
        return response;
    }
    response.number = snapshot.number;
    response.digest = snapshot.digest;
    response.size = snapshot.bytes.size();
    response.offset = request.offset;
    response.bytes = snapshot.bytes.substr(request.offset, MaxSyncChunkSize);
    return response;
}

intent_sync::platform_step intent_sync::nextStep() const
{
    if (m_history.head() == note_number{} && !m_haveSnapshotsBeenListed) {
        return platform_step::ListSnapshots;
    }
    if (m_listedSnapshot > m_history.head() && !m_haveNotesBeenListed) {
        return platform_step::GetSnapshot;
    }
    if (!m_haveNotesBeenListed) {
        return platform_step::ListNotes;
    }
    return m_listedNote > m_history.head() ? platform_step::GetNote : platform_step::Watch;
}

platform_request intent_sync::requestFor(platform_step step) const
{
    switch (step) {
    case platform_step::ListSnapshots:
        return list_objects{SnapshotKeyPrefix, ""};
    case platform_step::GetSnapshot:
        return get_object{snapshotKey(m_listedSnapshot)};
    case platform_step::ListNotes:
        return list_objects{NoteKeyPrefix, noteKey(m_history.head())};
    case platform_step::GetNote:
        return get_object{noteKey(note_number{m_history.head().value + 1})};
    case platform_step::Watch:
        break;
    }
    return watch_objects{NoteKeyPrefix, m_revision,
                         std::chrono::duration_cast<std::chrono::milliseconds>(WatchTime)};
}

void intent_sync::callPlatform(time_point now)
{
    const platform_step step = nextStep();
    const duration watchTime = step == platform_step::Watch ? WatchTime : duration{0};
    m_step = step;
    m_callStarted = now;
    m_requestedNote = note_number{m_history.head().value + 1};
    m_orders.emplace_back(platform_order{requestFor(step), watchTime + PlatformTimeout});
}

void intent_sync::onPlatformResult(const result<platform_answer> &outcome, time_point now)
{
    if (!m_step) {
        return;
    }
    const platform_step step = *std::exchange(m_step, std::nullopt);
    status taken =
            isOk(outcome) ? takeAnswer(step, valueOf(outcome), now) : status{errorOf(outcome)};
    if (isOk(taken)) {
        m_platformRetry.onSuccess();
        m_nextCall = std::max(m_nextCall, now);
        return;
    }
    if (m_platformRetry.failures() == 0) {
        m_events.push_back({"platform_unavailable", {{"reason", errorOf(taken).message}}});
    }
    m_platformProblem = errorOf(taken).message;
    m_haveNotesBeenListed = false;
    m_nextCall = m_platformRetry.onFailure(now);
}

status intent_sync::takeAnswer(platform_step step, const platform_answer &answer, time_point now)
{
    if (const auto *listing = std::get_if<platform_listing>(&answer)) {
        return takeListing(step, *listing, now);
    }
    if (const auto *object = std::get_if<platform_object>(&answer)) {
        return takeObject(step, *object);
    }
    return invalid("the platform's answer has the wrong type");
}

status intent_sync::takeListing(platform_step step, const platform_listing &listing, time_point now)
{
    const bool isOfSnapshots = step == platform_step::ListSnapshots;
    const std::string prefix = isOfSnapshots ? SnapshotKeyPrefix : NoteKeyPrefix;
    note_number &highest = isOfSnapshots ? m_listedSnapshot : m_listedNote;
    for (const std::string &key : listing.keys) {
        const auto number = key.starts_with(prefix) ? numberInKey(key) : std::nullopt;
        highest = std::max(highest, number.value_or(note_number{}));
    }
    if (isOfSnapshots) {
        m_haveSnapshotsBeenListed = true;
        return std::monostate{};
    }
    if (step == platform_step::Watch) {
        if (listing.revision < m_revision) {
            // The platform was restored to an earlier state; its revisions start over.
            m_events.push_back({"platform_went_back", {}});
            m_haveNotesBeenListed = false;
        }
        if (listing.keys.empty()) {
            m_nextCall = std::max(now, m_callStarted + MinWatchTime);
        }
    } else {
        m_haveNotesBeenListed = true;
        m_platformProblem = "it has no release note";
    }
    m_revision = listing.revision;
    return std::monostate{};
}

status intent_sync::takeObject(platform_step step, const platform_object &object)
{
    if (step == platform_step::GetSnapshot) {
        const note_number number = std::exchange(m_listedSnapshot, {});
        status adopted = number <= m_history.head()
                                 ? status{}
                                 : adoptSnapshotBytes(number, std::nullopt, object.value);
        if (!isOk(adopted)) {
            m_events.push_back({"snapshot_rejected",
                                {{"note", std::to_string(number.value)},
                                 {"reason", errorOf(adopted).message}}});
        }
        // Without the snapshot the notes are folded from the first one.
        return std::monostate{};
    }
    // A peer may have delivered the note in the meantime; then the text belongs to an older number
    // than the next one, and fetching goes on from the current head.
    const note_number next{m_history.head().value + 1};
    if (m_requestedNote != next) {
        return std::monostate{};
    }
    if (object.value.size() > MaxNoteBytes) {
        return invalid("note " + std::to_string(next.value) + " of the platform is too long");
    }
    return adoptNote(next, digestNote(m_history.headDigest(), object.value), object.value);
}

std::vector<intent_order> intent_sync::takeOrders()
{
    return std::exchange(m_orders, {});
}

std::vector<log_event> intent_sync::takeEvents()
{
    return std::exchange(m_events, {});
}

std::optional<std::string> intent_sync::noSourceReason(const membership &members) const
{
    if (m_history.head() != note_number{}) {
        return std::nullopt;
    }
    const std::size_t peers = members.liveCount() - 1;
    std::string reason = peers == 0 ? "no peer answers"
                                    : "none of " + std::to_string(peers) + " peers has a note";
    reason += m_isWatcher ? "; platform: " + m_platformProblem
                          : "; other instances of this failure domain watch the platform";
    return reason;
}

} // namespace ebonyway
