#include "version/route_plan.h"
#include "version/slot_mover.h"
#include "version/slot_shares.h"

#include <algorithm>

namespace ebonyway {

namespace {

constexpr std::uint32_t SlotsPerBackendServer = 64;
constexpr std::uint32_t MinSlots = 64;
constexpr std::uint32_t MaxSlots = 65536;

slot_table emptyTable(service_id service, std::uint32_t slotCount, note_number number)
{
    slot_table table;
    table.service = service;
    table.targets.assign(slotCount, NoBackendServer);
    table.changedAt.assign(slotCount, number);
    return table;
}

/** Appends the former targets of a slot that are still worth keeping. */
void appendHistory(const slot_table &previous, std::uint16_t slot, bool changed, note_number number,
                   std::vector<earlier_target> &kept)
{
    const auto former = previous.earlierTargetsOf(slot);
    std::vector<earlier_target> history(former.begin(), former.end());
    if (changed) {
        history.push_back({previous.changedAt[slot], slot, previous.targets[slot]});
    }
    const std::size_t surplus =
            history.size() > EarlierTargetLimit ? history.size() - EarlierTargetLimit : 0;
    for (std::size_t i = surplus; i < history.size(); ++i) {
        const bool last = i + 1 == history.size();
        const note_number lastChange = changed ? number : previous.changedAt[slot];
        const note_number replacedAt = last ? lastChange : history[i + 1].since;
        if (replacedAt.value + EarlierTargetNotes > number.value) {
            kept.push_back(history[i]);
        }
    }
}

/** Writes new targets into a copy of the table, with their notes and history. */
slot_table withTargets(const slot_table &previous, std::vector<backend_server_id> targets,
                       note_number number)
{
    slot_table table;
    table.service = previous.service;
    table.changedAt = previous.changedAt;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const bool changed = targets[index] != previous.targets[index];
        appendHistory(previous, static_cast<std::uint16_t>(index), changed, number,
                      table.earlierTargets);
        if (changed) {
            table.changedAt[index] = number;
        }
    }
    table.earlierTargets.shrink_to_fit();
    table.targets = std::move(targets);
    return table;
}

} // namespace

std::span<const earlier_target> slot_table::earlierTargetsOf(std::uint16_t index) const
{
    const auto first = std::lower_bound(
            earlierTargets.begin(), earlierTargets.end(), index,
            [](const earlier_target &entry, std::uint16_t slot) { return entry.slot < slot; });
    const auto last =
            std::find_if(first, earlierTargets.end(),
                         [index](const earlier_target &entry) { return entry.slot != index; });
    return {first, last};
}

std::optional<backend_server_id> slot_table::targetAt(std::uint16_t index, note_number at) const
{
    if (at >= changedAt[index]) {
        return targets[index];
    }
    const auto history = earlierTargetsOf(index);
    for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
        if (at >= entry->since) {
            return entry->target;
        }
    }
    return std::nullopt;
}

std::uint32_t slotCountFor(std::size_t backendServerCount)
{
    std::uint32_t slots = MinSlots;
    while (slots < MaxSlots && slots < backendServerCount * SlotsPerBackendServer) {
        slots *= 2;
    }
    return slots;
}

slot_table nextSlotTable(const slot_table *previous, const intent &next, service_id service)
{
    const service_shares input = sharesOf(next, service);
    if (previous != nullptr) {
        return withTargets(*previous, slot_mover(*previous, input.shares).moveSlots(), next.number);
    }
    slot_table table = emptyTable(service, slotCountFor(input.backendServerCount), next.number);
    table.targets = slot_mover(table, input.shares).moveSlots();
    return table;
}

} // namespace ebonyway
