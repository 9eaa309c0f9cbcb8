#include "process/membership.h"

#include <algorithm>

namespace ebonyway {

namespace {

/** When not all heartbeats fit, older ones are left out: their receivers mostly know newer ones. */
constexpr std::uint64_t RecentAge = 12;
constexpr std::size_t MaxChecks = 24; ///< Per message; a full rotation at 480 members takes 10 s.
constexpr std::size_t MaxEntrySize = 16; ///< Largest encoded heartbeat entry.
constexpr std::size_t MaxCheckSize = 6;
constexpr std::size_t MaxRumorSize = 160; ///< Bytes of unasked details per message.

} // namespace

heartbeat_entry membership::entryOf(const member_record &record,
                                    const gossip_message &message) const
{
    heartbeat_entry entry;
    entry.id = record.details.id;
    entry.age = static_cast<std::uint8_t>(message.round - record.details.heartbeat);
    entry.state = record.details.state;
    entry.noteLag = message.newestNote.value - record.details.adoptedNote.value;
    return entry;
}

void membership::fill(gossip_message &message, const gossip_order &order, std::size_t budget)
{
    message.round = m_highestRound;
    message.echoedNonce = order.echoedNonce;
    message.memberCount = static_cast<std::uint16_t>(liveCount());
    message.newestNote = newestNote();
    fillDetails(message, order, budget);
    if (order.withHeartbeats) {
        fillHeartbeats(message, budget);
        fillChecks(message, budget);
    }
}

void membership::fillDetails(gossip_message &message, const gossip_order &order,
                             std::size_t &budget)
{
    const auto include = [&](const member_record &record, std::size_t limit) {
        member_details details = record.details;
        if (record.state == member_state::Dead && !record.hasLeft) {
            details.state = announced_state::Dead;
        }
        const std::size_t size = encodeBounded(details).size();
        if (size > limit) {
            return false;
        }
        budget -= size;
        message.details.push_back(std::move(details));
        return true;
    };
    for (const instance_id id : order.details) {
        if (const member_record *record = find(id); record != nullptr) {
            include(*record, budget);
        }
    }
    if (!order.withHeartbeats) {
        return;
    }
    std::vector<member_record *> rumors;
    for (member_record &record : m_members) {
        if (record.rumorsLeft > 0) {
            rumors.push_back(&record);
        }
    }
    std::sort(rumors.begin(), rumors.end(),
              [](const member_record *left, const member_record *right) {
                  return left->rumorsLeft > right->rumorsLeft;
              });
    const std::size_t reserve = budget - std::min(budget, MaxRumorSize);
    for (member_record *record : rumors) {
        if (!include(*record, budget - reserve)) {
            return;
        }
        record->rumorsLeft--;
    }
}

void membership::fillHeartbeats(gossip_message &message, std::size_t &budget)
{
    std::vector<heartbeat_entry> entries;
    std::size_t total = 0;
    instance_id previous;
    for (const member_record &record : m_members) {
        const bool isTold = record.state != member_state::Dead
                            && record.details.state <= announced_state::Leaving
                            && m_highestRound - record.details.heartbeat <= MaxHeartbeatAge;
        if (!isTold) {
            continue;
        }
        entries.push_back(entryOf(record, message));
        total += encodedSize(entries.back(), previous);
        previous = entries.back().id;
    }
    if (total <= budget) {
        budget -= total;
        message.heartbeats = std::move(entries);
        return;
    }
    std::erase_if(entries, [this](const heartbeat_entry &entry) {
        return entry.age > RecentAge && entry.id != m_settings.self;
    });
    // Takes a window that moves on with each message. The own heartbeat is always included.
    std::vector<heartbeat_entry> chosen;
    std::size_t left = budget - std::min(budget, 2 * MaxEntrySize);
    const std::size_t start = entries.empty() ? 0 : m_heartbeatCursor % entries.size();
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const heartbeat_entry &entry = entries[(start + i) % entries.size()];
        const std::size_t before = (start + i + entries.size() - 1) % entries.size();
        const std::size_t size = encodedSize(
                entry, entries[before].id < entry.id ? entries[before].id : instance_id{});
        if (size > left) {
            break;
        }
        left -= size;
        chosen.push_back(entry);
    }
    m_heartbeatCursor = start + chosen.size();
    const auto isOwn = [this](const heartbeat_entry &entry) {
        return entry.id == m_settings.self;
    };
    if (std::none_of(chosen.begin(), chosen.end(), isOwn)) {
        const auto own = std::find_if(entries.begin(), entries.end(), isOwn);
        if (own != entries.end()) {
            chosen.push_back(*own);
        }
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const heartbeat_entry &first, const heartbeat_entry &second) {
                  return first.id < second.id;
              });
    message.heartbeats = std::move(chosen);
    budget = left;
}

void membership::fillChecks(gossip_message &message, std::size_t &budget)
{
    const std::size_t room = std::min({MaxChecks, budget / MaxCheckSize, m_members.size()});
    for (std::size_t i = 0; i < room; ++i) {
        const member_record &record = m_members[(m_checkCursor + i) % m_members.size()];
        if (record.state != member_state::Dead) {
            message.checks.push_back({record.details.id, record.check});
        }
    }
    m_checkCursor = (m_checkCursor + room) % m_members.size();
    budget -= message.checks.size() * MaxCheckSize;
    std::sort(message.checks.begin(), message.checks.end(),
              [](const profile_check &left, const profile_check &right) {
                  return left.id < right.id;
              });
}

void membership::compareChecks(const gossip_message &message, const endpoint &from)
{
    for (const profile_check &check : message.checks) {
        const member_record *record = find(check.id);
        const bool isOther = check.id != m_settings.self;
        if (record != nullptr && isOther && record->check != check.check) {
            wantDetails(check.id, from);
        }
    }
}

} // namespace ebonyway
