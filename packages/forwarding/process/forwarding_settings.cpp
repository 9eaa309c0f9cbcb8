#include "forwarding/process/forwarding_settings.h"

#include "core/settings_reader.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t MinFlowCapacity = 1'024;
constexpr std::uint64_t MaxFlowCapacity = 2'000'000;

} // namespace

result<forwarding_settings> parseForwardingSettings(const std::string &file,
                                                    const std::string &text)
{
    const result<Json::Value> root = parseSettingsText(file, text);
    if (!isOk(root)) {
        return errorOf(root);
    }
    settings_reader reader(file, "", valueOf(root));
    forwarding_settings settings;
    settings.instance = reader.text("instance");
    settings.failureDomain = reader.text("failure_domain");
    settings.traffic = reader.addressWithPort("traffic");
    settings.readiness = reader.addressWithPort("readiness");
    settings.metrics = reader.addressWithPort("metrics");
    settings.peers = reader.addressWithPort("peers");
    settings.seeds = reader.addressesWithPort("seeds");
    for (endpoint &seed : settings.seeds) {
        seed.port = settings.peers.port;
    }
    settings.store = reader.addressWithPort("store");
    settings.heartbeat = reader.durationOr("heartbeat", 50ms, 60s, settings.heartbeat);
    settings.stopGrace = reader.durationOr("stop_grace", 100ms, 10min, settings.stopGrace);
    settings.firstStart = reader.flagOr("first_start", settings.firstStart);
    settings.flowCapacity = static_cast<std::uint32_t>(reader.integerOr(
            "flow_capacity", MinFlowCapacity, MaxFlowCapacity, settings.flowCapacity));
    settings.logLevel =
            reader.choice("log_level", {"debug", "info", "warn", "error"}, settings.logLevel);
    const status outcome = reader.finish();
    if (!isOk(outcome)) {
        return errorOf(outcome);
    }
    return settings;
}

} // namespace ebonyway
