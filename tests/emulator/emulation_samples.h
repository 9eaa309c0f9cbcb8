#pragma once

#include "emulator/emulation.h"

#include <string>
#include <vector>

namespace ebonyway {

/** Scenarios for tests of whole deployments under virtual time. */
namespace samples {

/** Three failure domains with two instances each, a feed, orders and uploads, at a third of the
 * servers' capacity. */
inline scenario smallDeployment()
{
    scenario plan;
    scenario_service desk;
    desk.name = "desk";
    desk.servers = 12;
    scenario_service archive = desk;
    archive.name = "archive";
    archive.servers = 4;
    plan.services = {desk, archive};
    traffic_kind feed;
    feed.name = "feed";
    feed.service = "desk";
    feed.idempotent = true;
    feed.rate = 15;
    feed.requestsPerFlow = 15;
    feed.pause = std::chrono::milliseconds(700);
    traffic_kind order;
    order.name = "order";
    order.service = "desk";
    order.rate = 60;
    order.requestBytes = 900;
    traffic_kind upload;
    upload.name = "upload";
    upload.service = "archive";
    upload.rate = 15;
    upload.requestBytes = 80'000;
    upload.goal = std::chrono::milliseconds(800);
    upload.timeLimit = std::chrono::milliseconds(8'000);
    plan.traffic = {feed, order, upload};
    return plan;
}

inline scenario_event event(const std::string &kind, std::chrono::milliseconds at,
                            std::chrono::milliseconds length, std::uint32_t count = 1,
                            double strength = 1)
{
    scenario_event made;
    made.kind = kind;
    made.at = at;
    made.length = length;
    made.count = count;
    made.strength = strength;
    return made;
}

inline std::string brokenRules(const emulation_report &report)
{
    std::string text;
    for (const broken_rule &one : report.broken) {
        text += one.rule + " " + one.detail + "; ";
    }
    return text;
}

} // namespace samples

} // namespace ebonyway
