#include "emulator/random_events.h"

#include "core/seeded_random.h"

#include <chrono>

namespace ebonyway {

namespace {

constexpr std::uint64_t LongestEvent = 8'000; // milliseconds
constexpr std::uint64_t ShortestEvent = 500; // milliseconds
constexpr std::uint64_t LongestGap = 1'500; // milliseconds
constexpr std::uint64_t MostCount = 4;
constexpr std::uint64_t MostFactor = 5;
constexpr std::uint64_t MostLoss = 40; // percent

} // namespace

std::vector<scenario_event> drawEvents(const scenario &plan, std::uint32_t count,
                                       std::uint64_t seed)
{
    seeded_random random(seed);
    const auto &kinds = scenarioEventKinds();
    std::vector<scenario_event> events;
    for (std::uint32_t i = 0; i < count; ++i) {
        scenario_event event;
        event.kind = kinds[random.below(kinds.size())];
        const auto spread = static_cast<std::uint64_t>(plan.length.count()) * 2 / 3;
        event.at = std::chrono::milliseconds(random.below(spread));
        event.length = std::chrono::milliseconds(ShortestEvent
                                                 + random.below(LongestEvent - ShortestEvent));
        event.gap = std::chrono::milliseconds(1 + random.below(LongestGap));
        event.count = static_cast<std::uint32_t>(1 + random.below(MostCount));
        const bool isLoss = event.kind == "loss" || event.kind == "narrow_link";
        event.strength =
                static_cast<std::uint32_t>(1 + random.below(isLoss ? MostLoss : MostFactor));
        events.push_back(event);
    }
    return events;
}

std::string describeEvent(const scenario_event &event)
{
    return event.kind + " at " + std::to_string(event.at.count()) + " ms for "
           + std::to_string(event.length.count()) + " ms, count " + std::to_string(event.count)
           + ", strength " + std::to_string(event.strength);
}

} // namespace ebonyway
