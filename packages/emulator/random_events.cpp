#include "emulator/random_events.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace ebonyway {

namespace {

constexpr std::uint64_t LongestEvent = 8'000; // milliseconds
constexpr std::uint64_t ShortestEvent = 500; // milliseconds
constexpr std::uint64_t LongestGap = 1'500; // milliseconds
constexpr std::uint64_t MostCount = 4;
constexpr std::uint64_t MostFactor = 5;
constexpr std::uint64_t MostLoss = 40; // percent
constexpr std::uint64_t VariantSeed = 0x6275727374; // any constant
constexpr std::uint64_t MostTenths = 30; // of the strength beyond 1

/** Changes half of the bursts and of the events with slow servers into one of their variants. */
void drawVariant(const scenario &plan, seeded_random &random, scenario_event &event)
{
    const bool isBurst = event.kind == "burst";
    if ((!isBurst && event.kind != "server_slow") || random.below(2) == 0) {
        return;
    }
    event.strength = 1 + static_cast<double>(1 + random.below(MostTenths)) / 10;
    if (!isBurst) {
        // Up to half of all servers; otherwise `count` is small beside a large service.
        std::uint64_t servers = 0;
        for (const scenario_service &service : plan.services) {
            servers += service.servers;
        }
        event.strength *= 2;
        event.count = static_cast<std::uint32_t>(
                1 + random.below(std::max<std::uint64_t>(1, servers / 2)));
        return;
    }
    const std::uint64_t limits = 1 + random.below(3);
    if (limits != 2) {
        event.failureDomain = plan.failureDomains[random.below(plan.failureDomains.size())];
    }
    if (limits != 1) {
        event.traffic = plan.traffic[random.below(plan.traffic.size())].name;
    }
}

} // namespace

std::vector<scenario_event> drawEvents(const scenario &plan, std::uint32_t count,
                                       std::uint64_t seed)
{
    seeded_random random(seed);
    // Drawn apart, so that the other events of a seed stay as they were before there were variants.
    seeded_random variants(seed ^ VariantSeed);
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
        drawVariant(plan, variants, event);
        events.push_back(event);
    }
    return events;
}

std::string describeEvent(const scenario_event &event)
{
    std::ostringstream strength;
    strength << event.strength;
    return event.kind + " at " + std::to_string(event.at.count()) + " ms for "
           + std::to_string(event.length.count()) + " ms, count " + std::to_string(event.count)
           + ", strength " + strength.str()
           + (event.failureDomain.empty() ? "" : ", domain " + event.failureDomain)
           + (event.traffic.empty() ? "" : ", traffic " + event.traffic);
}

} // namespace ebonyway
