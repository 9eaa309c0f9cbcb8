#pragma once

#include "emulator/scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyway {

/** Draws events of all kinds, spread over the first two thirds of the day; they may overlap. */
std::vector<scenario_event> drawEvents(const scenario &plan, std::uint32_t count,
                                       std::uint64_t seed);

/** Returns the event on one line, for messages. */
std::string describeEvent(const scenario_event &event);

} // namespace ebonyway
