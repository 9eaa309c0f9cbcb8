#include "process/membership.h"

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr duration MinInterval = 500ms;
constexpr duration IntervalPerMember = 4ms;
constexpr duration ResyncPingPeriod = 250ms;
constexpr std::size_t ResyncPings = 2; ///< Per period. One lost answer must not delay a join.
constexpr std::size_t ProbersPerMember = 3; ///< Bounds the pings that one silent member causes.
constexpr std::size_t ProbeHelpers = 2; ///< Members asked by each prober to ping as well.
/** Silence up to which a member is evidence that its failure domain is not cut off. */
constexpr int EvidenceIntervals = 1;
constexpr std::size_t NotePushes = 3;
constexpr std::size_t MaxPendingPings = 64;
constexpr std::size_t MaxWantedDetails = 1024;
constexpr std::size_t MaxIdsPerRequest = 32; ///< About as many details as fit into one answer.
constexpr std::size_t MaxRequestsPerTick = 4;
constexpr std::size_t MaxHints = 64;
/** Rumors per member: 3 + log2(members) messages reach everyone with high probability. */
constexpr std::size_t ExtraRumors = 3;
/** Intervals between pings to a seed that belongs to no live member; heals a split deployment. */
constexpr std::uint64_t SeedPingIntervals = 8;

bool isLive(const member_record &record)
{
    return record.state != member_state::Dead;
}

bool isServing(const member_record &record)
{
    return record.state == member_state::Joining || record.state == member_state::Ready;
}

member_state stateOf(announced_state state)
{
    switch (state) {
    case announced_state::Joining:
        return member_state::Joining;
    case announced_state::Ready:
        return member_state::Ready;
    case announced_state::Leaving:
        return member_state::Leaving;
    case announced_state::Left:
    case announced_state::Dead:
        return member_state::Dead;
    }
    return member_state::Dead;
}

bool isEnd(announced_state state)
{
    return state == announced_state::Left || state == announced_state::Dead;
}

endpoint gossipEndpoint(const member_record &record)
{
    return {record.details.profile.address, record.details.profile.gossipPort};
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

duration gossipInterval(std::size_t liveMembers)
{
    return std::max(MinInterval, IntervalPerMember * static_cast<std::int64_t>(liveMembers));
}

membership::membership(membership_settings settings, const keyed_hash &hash, std::uint64_t seed,
                       time_point now)
    : m_settings(std::move(settings))
    , m_hash(hash)
    , m_random(seed)
    , m_lastTime(now)
{
    member_record own;
    own.details.id = m_settings.self;
    own.details.incarnation = m_settings.incarnation;
    own.details.profile = m_settings.profile;
    own.check = profileCheck(own.details);
    own.lastHeard = now;
    own.silentSince = now;
    own.stateSince = now;
    m_members.push_back(own);
    desynchronise(now);
    // Instances that start together must not send in step.
    const auto phase = static_cast<std::int64_t>(m_random.below(MinInterval.count()));
    m_nextInterval = now + duration{phase};
}

const member_record *membership::find(instance_id id) const
{
    const auto place = std::lower_bound(m_members.begin(), m_members.end(), id,
                                        [](const member_record &record, instance_id wanted) {
                                            return record.details.id < wanted;
                                        });
    return place != m_members.end() && place->details.id == id ? &*place : nullptr;
}

member_record *membership::findMutable(instance_id id)
{
    return const_cast<member_record *>(std::as_const(*this).find(id));
}

member_record &membership::ownRecord()
{
    return *findMutable(m_settings.self);
}

const member_record &membership::self() const
{
    return *find(m_settings.self);
}

std::size_t membership::liveCount() const
{
    return m_liveCount;
}

duration membership::interval() const
{
    return gossipInterval(std::max({m_liveCount, m_reportedCount, m_reportedBefore}));
}

duration membership::freshnessLimit() const
{
    return interval() * FreshnessIntervals;
}

duration membership::suspicionLimit() const
{
    const bool isSmall = m_liveCount <= SmallDeployment;
    return interval() * (isSmall ? SuspicionIntervalsSmall : SuspicionIntervals);
}

bool membership::isFresh(const member_record &record, time_point now) const
{
    return now - record.lastHeard <= freshnessLimit();
}

note_number membership::newestNote() const
{
    note_number newest;
    for (const member_record &record : m_members) {
        newest = std::max(newest, record.details.adoptedNote);
    }
    return newest;
}

std::vector<const member_record *> membership::reachableMembers() const
{
    std::vector<const member_record *> reachable;
    for (const member_record &record : m_members) {
        if (!isLive(record) || record.details.id == m_settings.self || isHeldBack(record)) {
            continue;
        }
        reachable.push_back(&record);
    }
    return reachable;
}

std::vector<const member_record *> membership::randomReachable(std::size_t count)
{
    std::vector<const member_record *> reachable = reachableMembers();
    count = std::min(count, reachable.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(reachable[i], reachable[i + m_random.below(reachable.size() - i)]);
    }
    reachable.resize(count);
    return reachable;
}

void membership::noteTime(time_point now)
{
    // A process that was frozen missed heartbeats and notes; what it knows may be out of date.
    if (now - m_lastTime > freshnessLimit()) {
        desynchronise(now);
        report("clock_jumped", ownRecord());
    }
    m_lastTime = std::max(m_lastTime, now);
}

void membership::desynchronise(time_point now)
{
    m_isSynchronised = false;
    m_desynchronisedAt = now;
    m_nextResyncPing = now;
    m_resyncNonce = newNonce();
    m_revision++;
}

void membership::resynchronise(time_point now)
{
    m_isSynchronised = true;
    m_nextInterval = now; // Introduces this instance at once.
    m_revision++;
    for (member_record &record : m_members) {
        record.silentSince = std::max(record.silentSince, now);
    }
    report("synchronised", ownRecord());
}

void membership::onTick(time_point now)
{
    noteTime(now);
    if (!m_isSynchronised) {
        sendResyncPings(now);
    } else {
        judgeSilence(now);
        findPartitions(now);
    }
    removeOldTombstones(now);
    std::erase_if(m_pendingPings,
                  [now](const pending_ping &entry) { return entry.expires <= now; });
    sendDetailsRequests();
    if (now >= m_nextInterval) {
        startInterval(now);
    }
}

void membership::sendResyncPings(time_point now)
{
    const bool isAlone = reachableMembers().empty();
    if (isAlone && now - m_desynchronisedAt >= freshnessLimit()) {
        resynchronise(now);
        return;
    }
    if (now < m_nextResyncPing) {
        return;
    }
    m_nextResyncPing = now + ResyncPingPeriod;
    for (const member_record *record : randomReachable(ResyncPings)) {
        m_orders.emplace_back(ping_order{gossipEndpoint(*record), {m_resyncNonce}});
    }
    for (std::size_t i = 0; isAlone && i < ResyncPings; ++i) {
        pingUnknownEndpoint();
    }
}

void membership::pingUnknownEndpoint()
{
    std::vector<endpoint> unknown;
    for (const auto *list : {&m_settings.seeds, &m_hints}) {
        unknown.insert(unknown.end(), list->begin(), list->end());
    }
    std::erase_if(unknown, [this](const endpoint &candidate) {
        return std::any_of(m_members.begin(), m_members.end(), [&](const member_record &record) {
            return isLive(record) && gossipEndpoint(record) == candidate;
        });
    });
    if (unknown.empty()) {
        return;
    }
    const endpoint &to = unknown[m_random.below(unknown.size())];
    const std::uint32_t nonce = m_isSynchronised ? newNonce() : m_resyncNonce;
    m_orders.emplace_back(ping_order{to, {nonce}});
}

void membership::startInterval(time_point now)
{
    m_nextInterval = now + interval();
    m_intervalCount++;
    member_record &own = ownRecord();
    own.details.heartbeat = std::max(own.details.heartbeat + 1, m_highestRound);
    own.lastHeard = now;
    own.silentSince = now;
    m_highestRound = own.details.heartbeat;
    m_revision++;
    m_reportedBefore = std::exchange(m_reportedCount, 0);
    gossipToPeers();
    gossipToLostMembers();
    if (m_isSynchronised && m_intervalCount % SeedPingIntervals == 0) {
        pingUnknownEndpoint();
    }
}

void membership::gossipToPeers()
{
    // All members derive the same offsets from the round, so each receives as many messages as it
    // sends. Independent random choices would leave 13% of members without a message per interval.
    const std::vector<const member_record *> peers = reachableMembers();
    if (peers.empty()) {
        return;
    }
    const auto isBeforeSelf = [this](const member_record *record) {
        return record->details.id < m_settings.self;
    };
    const std::size_t position = std::count_if(peers.begin(), peers.end(), isBeforeSelf);
    const std::size_t count = std::min(GossipFanout, peers.size());
    const std::uint64_t first = m_hash(m_highestRound, 0) % peers.size();
    const std::uint64_t step = count < 2 ? 0 : 1 + m_hash(m_highestRound, 1) % (peers.size() - 1);
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t offset = (first + i * step) % peers.size();
        m_orders.emplace_back(gossip_order{
                gossipEndpoint(*peers[(position + offset) % peers.size()]), 0, true, {}});
    }
}

void membership::gossipToLostMembers()
{
    std::vector<const member_record *> lost;
    for (const member_record &record : m_members) {
        if (isLive(record) && record.details.id != m_settings.self && isHeldBack(record)) {
            lost.push_back(&record);
        }
    }
    if (!lost.empty()) {
        m_orders.emplace_back(
                gossip_order{gossipEndpoint(*lost[m_random.below(lost.size())]), 0, true, {}});
    }
}

void membership::judgeSilence(time_point now)
{
    for (member_record &record : m_members) {
        if (record.details.id != m_settings.self && isLive(record)) {
            judgeMember(record, now);
        }
    }
}

void membership::judgeMember(member_record &record, time_point now)
{
    const duration silence = now - record.silentSince;
    if (record.state != member_state::Suspect && silence > suspicionLimit()) {
        setState(record, member_state::Suspect, now);
        report("member_suspected", record);
        probe(record, now);
        return;
    }
    const bool isOverdue = silence > interval() * DeathIntervals;
    if (record.state == member_state::Suspect && isOverdue && mayDeclareDead(record, now)) {
        setState(record, member_state::Dead, now);
        report("member_dead", record);
        spread(record);
    }
}

bool membership::mayDeclareDead(const member_record &record, time_point now) const
{
    if (isHeldBack(record)) {
        return false;
    }
    const std::string &domain = record.details.profile.failureDomain;
    if (domain == m_settings.profile.failureDomain || contains(m_domainsOutOfService, domain)) {
        return true;
    }
    // A crash is told from a cut by other members of the domain that are still heard. After a cut,
    // their last heartbeats go on circulating on this side for a few intervals.
    bool hasOthers = false;
    for (const member_record &other : m_members) {
        const bool isNeighbour = other.details.profile.failureDomain == domain
                                 && other.details.id != record.details.id && isLive(other);
        if (!isNeighbour) {
            continue;
        }
        if (now - other.silentSince <= interval() * EvidenceIntervals) {
            return true;
        }
        hasOthers = true;
    }
    return !hasOthers;
}

void membership::findPartitions(time_point now)
{
    std::map<std::string, std::vector<const member_record *>> domains;
    std::vector<const member_record *> others;
    for (const member_record &record : m_members) {
        const bool isLeaving = record.details.state == announced_state::Leaving;
        if (!isLive(record) || isLeaving || record.details.id == m_settings.self) {
            continue;
        }
        others.push_back(&record);
        domains[record.details.profile.failureDomain].push_back(&record);
    }
    domains.erase(m_settings.profile.failureDomain);
    m_isIsolated = domains.size() > 1 && fellSilentTogether(others, now);
    std::vector<std::string> found;
    for (const auto &[name, group] : domains) {
        if (!contains(m_domainsOutOfService, name) && fellSilentTogether(group, now)) {
            found.push_back(name);
        }
    }
    for (const std::string &name : found) {
        if (!contains(m_partitions, name)) {
            m_events.push_back({"partition_suspected", {{"failure_domain", name}}});
        }
    }
    for (const std::string &name : m_partitions) {
        if (contains(found, name)) {
            continue;
        }
        m_events.push_back({"partition_ended", {{"failure_domain", name}}});
        for (member_record &record : m_members) {
            // The members of the domain get time to be heard again one after another.
            if (record.details.profile.failureDomain == name) {
                record.silentSince = now;
            }
        }
    }
    if (found != m_partitions) {
        m_partitions = std::move(found);
        m_revision++;
    }
}

bool membership::fellSilentTogether(const std::vector<const member_record *> &group,
                                    time_point now) const
{
    // A single silent member is judged to have crashed: crashes are far more frequent than cuts.
    if (group.size() < 2) {
        return false;
    }
    // Members that died earlier are not in the group. All others fell silent within the time that
    // death takes, which is what "together" means here.
    return std::all_of(group.begin(), group.end(), [this, now](const member_record *record) {
        return now - record->silentSince > freshnessLimit();
    });
}

bool membership::isHeldBack(const member_record &record) const
{
    return record.state == member_state::Suspect
           && (m_isIsolated || contains(m_partitions, record.details.profile.failureDomain));
}

void membership::removeOldTombstones(time_point now)
{
    const std::size_t before = m_members.size();
    std::erase_if(m_members, [now](const member_record &record) {
        return !isLive(record) && now - record.stateSince >= TombstoneTime;
    });
    if (m_members.size() != before) {
        noteTopologyChange();
    }
}

void membership::setState(member_record &record, member_state state, time_point now)
{
    if (record.state == state) {
        return;
    }
    record.state = state;
    record.stateSince = now;
    noteTopologyChange();
}

void membership::noteTopologyChange()
{
    m_revision++;
    m_topologyRevision++;
    m_liveCount =
            static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), isLive));
}

void membership::heard(member_record &record, time_point now)
{
    const bool wasSilent =
            record.state == member_state::Suspect || record.state == member_state::Dead;
    record.lastHeard = now;
    record.silentSince = now;
    setState(record, stateOf(record.details.state), now);
    m_revision++;
    if (wasSilent) {
        report("member_recovered", record);
    }
}

bool membership::onGossip(instance_id sender, std::uint64_t incarnation, const endpoint &from,
                          const gossip_message &message, time_point now)
{
    noteTime(now);
    if (!m_isSynchronised) {
        // After a freeze the receive buffer still holds old messages. The answer to a ping that was
        // sent after the freeze is queued behind them.
        if (message.echoedNonce != m_resyncNonce) {
            return false;
        }
        resynchronise(now);
    }
    m_reportedCount = std::max<std::size_t>(m_reportedCount, message.memberCount);
    m_highestRound = std::max(m_highestRound, message.round);
    for (const member_details &details : message.details) {
        learnDetails(details, now);
    }
    const member_record *known = find(sender);
    if (known == nullptr || known->details.incarnation < incarnation) {
        wantDetails(sender, from);
    }
    for (const heartbeat_entry &entry : message.heartbeats) {
        learnHeartbeat(message, entry, from, now);
    }
    compareChecks(message, from);
    if (message.echoedNonce != 0) {
        onEcho(sender, message.echoedNonce, now);
    }
    return true;
}

void membership::learnHeartbeat(const gossip_message &message, const heartbeat_entry &entry,
                                const endpoint &from, time_point now)
{
    if (entry.id == m_settings.self || entry.age > message.round) {
        return;
    }
    member_record *record = findMutable(entry.id);
    if (record == nullptr) {
        wantDetails(entry.id, from);
        return;
    }
    const std::uint64_t heartbeat = message.round - entry.age;
    if (record->hasLeft || heartbeat <= record->details.heartbeat) {
        return;
    }
    record->details.heartbeat = heartbeat;
    record->details.state = entry.state;
    const std::uint64_t newest = message.newestNote.value;
    const note_number note{newest - std::min(newest, entry.noteLag)};
    record->details.adoptedNote = std::max(record->details.adoptedNote, note);
    heard(*record, now);
}

void membership::learnDetails(const member_details &details, time_point now)
{
    if (details.id == m_settings.self) {
        learnAboutSelf(details, now);
        return;
    }
    member_record *record = findMutable(details.id);
    if (record == nullptr) {
        // A replayed message must not bring back a member that ended long ago.
        const bool isRecent = details.heartbeat + MaxHeartbeatAge >= m_highestRound;
        if (!isEnd(details.state) && isRecent) {
            addMember(details, now);
        }
        return;
    }
    if (details.incarnation < record->details.incarnation) {
        return;
    }
    if (details.incarnation > record->details.incarnation) {
        adoptDetails(*record, details, now);
        return;
    }
    if (details.state == announced_state::Left && !record->hasLeft) {
        record->hasLeft = true;
        record->details.state = details.state;
        setState(*record, member_state::Dead, now);
        report("member_left", *record);
        spread(*record);
        return;
    }
    if (details.state == announced_state::Dead) {
        if (details.heartbeat >= record->details.heartbeat) {
            believeDeath(*record, now);
        }
        return;
    }
    if (record->hasLeft || details.heartbeat <= record->details.heartbeat) {
        return;
    }
    record->details.heartbeat = details.heartbeat;
    record->details.state = details.state;
    record->details.adoptedNote = std::max(record->details.adoptedNote, details.adoptedNote);
    heard(*record, now);
}

void membership::learnAboutSelf(const member_details &details, time_point now)
{
    member_record &own = ownRecord();
    const bool isRefutable = isEnd(details.state) && !isEnd(own.details.state)
                             && details.incarnation >= own.details.incarnation;
    if (!isRefutable && details.incarnation <= own.details.incarnation) {
        return;
    }
    own.details.incarnation = details.incarnation + 1;
    own.check = profileCheck(own.details);
    own.lastHeard = now;
    report("incarnation_raised", own);
    spread(own);
}

void membership::addMember(const member_details &details, time_point now)
{
    member_record record;
    record.details = details;
    record.check = profileCheck(details);
    record.state = stateOf(details.state);
    record.lastHeard = now;
    record.silentSince = now;
    record.stateSince = now;
    const auto place = std::lower_bound(
            m_members.begin(), m_members.end(), details.id,
            [](const member_record &other, instance_id id) { return other.details.id < id; });
    member_record &added = *m_members.insert(place, std::move(record));
    noteTopologyChange();
    report("member_joined", added);
    spread(added);
}

void membership::adoptDetails(member_record &record, const member_details &details, time_point now)
{
    record.details = details;
    record.check = profileCheck(details);
    record.hasLeft = details.state == announced_state::Left;
    if (isEnd(details.state)) {
        setState(record, member_state::Dead, now);
        return;
    }
    // Gossip may still carry heartbeats and notes of the earlier incarnation. They are not newer
    // than the highest known round, so they are ignored from here on.
    record.details.heartbeat = std::max(details.heartbeat, m_highestRound);
    heard(record, now);
    report("member_restarted", record);
    spread(record);
}

void membership::believeDeath(member_record &record, time_point now)
{
    if (!isLive(record)) {
        return;
    }
    if (now - record.silentSince <= suspicionLimit()) {
        return;
    }
    if (!mayDeclareDead(record, now)) {
        return;
    }
    setState(record, member_state::Dead, now);
    report("member_dead", record);
    spread(record);
}

void membership::spread(member_record &record)
{
    record.rumorsLeft = static_cast<std::uint8_t>(ExtraRumors + std::bit_width(m_members.size()));
}

void membership::wantDetails(instance_id id, const endpoint &from)
{
    const auto isSame = [id](const auto &wanted) {
        return wanted.first == id;
    };
    if (m_wantedDetails.size() >= MaxWantedDetails
        || std::any_of(m_wantedDetails.begin(), m_wantedDetails.end(), isSame)) {
        return;
    }
    m_wantedDetails.emplace_back(id, from);
}

void membership::sendDetailsRequests()
{
    for (std::size_t i = 0; i < MaxRequestsPerTick && !m_wantedDetails.empty(); ++i) {
        details_request_order order;
        order.to = m_wantedDetails.front().second;
        std::erase_if(m_wantedDetails, [&order](const auto &wanted) {
            if (wanted.second != order.to || order.message.ids.size() >= MaxIdsPerRequest) {
                return false;
            }
            order.message.ids.push_back(wanted.first);
            return true;
        });
        m_orders.emplace_back(std::move(order));
    }
}

void membership::onDetailsRequest(const endpoint &from, const details_request &message)
{
    gossip_order order;
    order.to = from;
    order.withHeartbeats = false;
    for (const instance_id id : message.ids) {
        if (find(id) != nullptr && order.details.size() < MaxIdsPerRequest) {
            order.details.push_back(id);
        }
    }
    if (!order.details.empty()) {
        m_orders.emplace_back(std::move(order));
    }
}

void membership::onPing(instance_id sender, const endpoint &from, const ping_message &message,
                        time_point now)
{
    noteTime(now);
    gossip_order order;
    order.to = from;
    order.echoedNonce = message.nonce;
    order.details.push_back(m_settings.self);
    if (const member_record *known = find(sender); known != nullptr && !isLive(*known)) {
        // Shows the sender that it is taken for dead, so that it refutes.
        order.details.push_back(sender);
    }
    m_orders.emplace_back(std::move(order));
}

void membership::onPingRequest(const endpoint &from, const ping_request &message, time_point now)
{
    noteTime(now);
    if (const member_record *target = find(message.target); target != nullptr) {
        ping(*target, from, now);
    }
}

void membership::onEcho(instance_id sender, std::uint32_t nonce, time_point now)
{
    const auto place = std::find_if(m_pendingPings.begin(), m_pendingPings.end(),
                                    [&](const pending_ping &entry) {
                                        return entry.nonce == nonce && entry.target == sender;
                                    });
    member_record *record = findMutable(sender);
    if (place == m_pendingPings.end() || record == nullptr) {
        return;
    }
    if (!record->hasLeft) {
        heard(*record, now);
    }
    if (place->requester) {
        m_orders.emplace_back(gossip_order{*place->requester, 0, false, {sender}});
    }
    m_pendingPings.erase(place);
}

void membership::ping(const member_record &record, std::optional<endpoint> requester,
                      time_point now)
{
    if (m_pendingPings.size() >= MaxPendingPings) {
        return;
    }
    const std::uint32_t nonce = newNonce();
    m_pendingPings.push_back({nonce, record.details.id, requester, now + interval()});
    m_orders.emplace_back(ping_order{gossipEndpoint(record), {nonce}});
}

void membership::probe(const member_record &record, time_point now)
{
    if (!isProberOf(record.details.id)) {
        return;
    }
    ping(record, std::nullopt, now);
    for (const member_record *helper : randomReachable(ProbeHelpers)) {
        if (helper->details.id != record.details.id) {
            m_orders.emplace_back(ping_request_order{gossipEndpoint(*helper), {record.details.id}});
        }
    }
}

bool membership::isProberOf(instance_id id) const
{
    const std::uint64_t ownScore = m_hash(m_settings.self.value, id.value);
    std::size_t better = 0;
    for (const member_record &record : m_members) {
        if (isServing(record) && record.details.id != id
            && m_hash(record.details.id.value, id.value) > ownScore) {
            better++;
        }
    }
    return better < ProbersPerMember;
}

std::size_t membership::ownRank(std::uint64_t task) const
{
    const member_record &own = self();
    const std::uint64_t ownScore = m_hash(own.details.id.value, task);
    std::size_t better = 0;
    for (const member_record &record : m_members) {
        const bool isRanked =
                isServing(record)
                && record.details.profile.failureDomain == own.details.profile.failureDomain;
        if (isRanked && (!isServing(own) || m_hash(record.details.id.value, task) > ownScore)) {
            better++;
        }
    }
    return better;
}

void membership::addHints(const std::vector<endpoint> &gossipEndpoints)
{
    for (const endpoint &hint : gossipEndpoints) {
        const bool isKnown = std::find(m_hints.begin(), m_hints.end(), hint) != m_hints.end();
        if (!isKnown && m_hints.size() < MaxHints) {
            m_hints.push_back(hint);
        }
    }
}

void membership::announce(announced_state state, time_point now)
{
    member_record &own = ownRecord();
    if (isEnd(own.details.state) || own.details.state == state) {
        return;
    }
    // Peers believe a state only together with a newer heartbeat.
    own.details.heartbeat = std::max(own.details.heartbeat, m_highestRound) + 1;
    m_highestRound = own.details.heartbeat;
    own.details.state = state;
    own.hasLeft = state == announced_state::Left;
    setState(own, stateOf(state), now);
    spread(own);
    for (const member_record *peer : randomReachable(NotePushes)) {
        m_orders.emplace_back(gossip_order{gossipEndpoint(*peer), 0, false, {m_settings.self}});
    }
}

void membership::setAdoptedNote(note_number note)
{
    member_record &own = ownRecord();
    own.details.adoptedNote = std::max(own.details.adoptedNote, note);
    m_revision++;
}

void membership::setDomainsOutOfService(std::vector<std::string> names)
{
    m_domainsOutOfService = std::move(names);
}

void membership::pushNote()
{
    for (const member_record *peer : randomReachable(NotePushes)) {
        sendNoteTo(gossipEndpoint(*peer));
    }
}

void membership::sendNoteTo(const endpoint &to)
{
    gossip_order order;
    order.to = to;
    order.withHeartbeats = false;
    m_orders.emplace_back(std::move(order));
}

std::vector<membership_order> membership::takeOrders()
{
    return std::exchange(m_orders, {});
}

std::vector<log_event> membership::takeEvents()
{
    return std::exchange(m_events, {});
}

std::uint32_t membership::newNonce()
{
    const auto nonce = static_cast<std::uint32_t>(m_random.next());
    return nonce == 0 ? 1 : nonce;
}

void membership::report(std::string name, const member_record &record)
{
    m_events.push_back({std::move(name),
                        {{"member", std::to_string(record.details.id.value)},
                         {"incarnation", std::to_string(record.details.incarnation)},
                         {"failure_domain", record.details.profile.failureDomain}}});
}

} // namespace ebonyway
