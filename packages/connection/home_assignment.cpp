#include "connection/home_assignment.h"

#include <algorithm>

namespace ebonyway {

namespace {

/**
 * Number of groups into which slots are hashed. With 480 instances, each is home of about 17
 * groups, and recomputing the assignment takes about 4 million hash computations.
 */
constexpr std::size_t GroupCount = 8192;

} // namespace

home_assignment::home_assignment(std::vector<home_candidate> candidates, const keyed_hash &hash,
                                 backup_placement placement)
    : m_candidates(std::move(candidates))
    , m_hash(hash)
    , m_placement(placement)
    , m_groups(GroupCount)
{
    for (std::size_t group = 0; group < GroupCount; ++group) {
        m_groups[group] = chooseOwners(successionOf(group));
    }
}

std::size_t home_assignment::groupOf(slot_id slot)
{
    const std::size_t mixed = (std::size_t{slot.service.value} * 0x9e3779b1U) ^ slot.index;
    return mixed % GroupCount;
}

std::vector<std::uint16_t> home_assignment::successionOf(std::size_t group) const
{
    std::vector<std::pair<std::uint64_t, std::uint16_t>> scores;
    scores.reserve(m_candidates.size());
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const std::uint64_t score = (*m_hash)(group, m_candidates[index].id.value);
        scores.emplace_back(score, static_cast<std::uint16_t>(index));
    }
    std::sort(scores.begin(), scores.end(), std::greater<>());
    std::vector<std::uint16_t> succession;
    succession.reserve(scores.size());
    for (const auto &[score, index] : scores) {
        succession.push_back(index);
    }
    return succession;
}

home_assignment::group_owners
home_assignment::chooseOwners(const std::vector<std::uint16_t> &succession) const
{
    if (succession.empty()) {
        return {};
    }
    group_owners owners;
    std::size_t position = 0;
    if (m_candidates[succession[0]].role == candidate_role::Eligible) {
        owners.home = static_cast<std::int16_t>(succession[0]);
    } else {
        // The backup of the dead home holds the copies of its flows and becomes home.
        owners.home = backupOf(succession, 0);
        const auto found = std::find(succession.begin(), succession.end(), owners.home);
        position = static_cast<std::size_t>(found - succession.begin());
    }
    if (owners.home >= 0) {
        owners.backup = backupOf(succession, position);
    }
    return owners;
}

std::int16_t home_assignment::backupOf(const std::vector<std::uint16_t> &succession,
                                       std::size_t position) const
{
    const failure_domain_id domain = m_candidates[succession[position]].failureDomain;
    std::int16_t fallback = -1;
    for (std::size_t step = 1; step < succession.size(); ++step) {
        // Wraps around, because after a death the home may be near the end of the list.
        const std::uint16_t index = succession[(position + step) % succession.size()];
        const home_candidate &candidate = m_candidates[index];
        if (candidate.role != candidate_role::Eligible) {
            continue;
        }
        const bool sameDomain = candidate.failureDomain == domain;
        const bool wanted = m_placement == backup_placement::NextInList
                            || sameDomain == (m_placement == backup_placement::SameDomain);
        if (wanted) {
            return static_cast<std::int16_t>(index);
        }
        if (fallback < 0) {
            fallback = static_cast<std::int16_t>(index);
        }
    }
    return fallback;
}

slot_owners home_assignment::owners(slot_id slot) const
{
    if (m_groups.empty()) {
        return {};
    }
    const group_owners &group = m_groups[groupOf(slot)];
    slot_owners owners;
    if (group.home >= 0) {
        owners.home = m_candidates[static_cast<std::size_t>(group.home)].id;
    }
    if (group.backup >= 0) {
        owners.backup = m_candidates[static_cast<std::size_t>(group.backup)].id;
    }
    return owners;
}

std::optional<instance_id>
home_assignment::firstOutside(slot_id slot, std::span<const failure_domain_id> domains) const
{
    if (!m_hash) {
        return std::nullopt;
    }
    for (const std::uint16_t index : successionOf(groupOf(slot))) {
        const home_candidate &candidate = m_candidates[index];
        const bool excluded =
                std::find(domains.begin(), domains.end(), candidate.failureDomain) != domains.end();
        if (candidate.role == candidate_role::Eligible && !excluded) {
            return candidate.id;
        }
    }
    return std::nullopt;
}

} // namespace ebonyway
